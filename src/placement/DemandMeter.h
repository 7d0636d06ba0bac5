#ifndef APRICOTTRACK_PLACEMENT_DEMANDMETER_H
#define APRICOTTRACK_PLACEMENT_DEMANDMETER_H

#include "engine/ReplicaBudget.h"

#include <optional>
#include <string>

namespace apricottrack {

/// Measures the demand that arrives at one node, for each model and for each
/// service without models, as exponentially weighted means of requests and
/// tokens per second. The planner divides the targets among the models by the
/// sum over all nodes. Each serving node has one.
class DemandMeter
{
public:
  struct Options
  {
    /// Time constant: the weight of a request falls to 1/e in this time.
    Duration timeConstant = seconds(3);
  };

  explicit DemandMeter(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records one request and its tokens.
  void OnRequest(const std::string& aModel,
                 int aPromptTokens,
                 int aOutputTokens,
                 Instant aNow);

  /// Returns requests and tokens per second, by model. Empty until one time
  /// constant after the first request.
  ModelDemands Demands(Instant aNow) const;

private:
  struct Entry
  {
    /// Decayed sums of requests and tokens as of `decayedAt`.
    ModelDemand sums;
    Instant decayedAt;
  };

  /// Decays the sums of an entry from its `decayedAt` to `aNow`.
  void Decay(Entry& aEntry, Instant aNow) const;

  Options options;
  std::map<std::string, Entry, std::less<>> entries;
  /// Time of the first request for any model. A start time for each model
  /// would delay the first demand of rarely requested models.
  std::optional<Instant> startedAt;
};

} // namespace apricottrack

#endif
