#ifndef APRICOTTRACK_PLACEMENT_DEMANDMETER_H
#define APRICOTTRACK_PLACEMENT_DEMANDMETER_H

#include "engine/ReplicaBudget.h"

#include <optional>
#include <string>

namespace apricottrack {

/// Measures the demand for each model, and for each service without models,
/// at one node, as a mean that fades.
class DemandMeter
{
public:
  struct Options
  {
    /// Time in which a past request's weight falls to 1/e.
    Duration memory = seconds(3);
  };

  explicit DemandMeter(Options aOptions)
    : options(aOptions)
  {
  }

  void OnRequest(const std::string& aModel,
                 int aPromptTokens,
                 int aOutputTokens,
                 Instant aNow);

  ModelDemands Demands(Instant aNow) const;

private:
  struct Entry
  {
    ModelDemand sums;
    Instant fadedAt;
  };

  void Fade(Entry& aEntry, Instant aNow) const;

  Options options;
  std::map<std::string, Entry, std::less<>> entries;
  /// When the first request for any model came. A model that few ask for would
  /// otherwise seem to have no demand for longer than the others.
  std::optional<Instant> startedAt;
};

} // namespace apricottrack

#endif
