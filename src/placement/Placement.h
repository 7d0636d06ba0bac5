#ifndef APRICOTTRACK_PLACEMENT_PLACEMENT_H
#define APRICOTTRACK_PLACEMENT_PLACEMENT_H

#include "placement/Candidate.h"
#include "placement/LoadBook.h"
#include "placement/StallDetector.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

enum class PlacementRefusal
{
  kNone,
  /// Nothing is there that could run the request.
  kNoTarget,
  /// All slots are taken and too many requests wait for them.
  kFull,
};

struct PlacementChoice
{
  PlacementRefusal refusal = PlacementRefusal::kNone;
  Candidate target;
  /// Requests that the target is thought to hold.
  double load = 0;

  friend bool operator==(const PlacementChoice&,
                         const PlacementChoice&) = default;
};

/// Chooses the target that a request will wait least for. Answers bursts of
/// traffic on a fleet whose reports lag: many nodes choose at once, so near
/// equals are chosen among at random.
class Placement
{
public:
  struct Options
  {
    /// Requests that may wait at a target, as a share of its slots.
    double queueShare = 0.15;
    /// Candidates whose loads differ by less are equals.
    double tieWidth = 1.0;
    /// Added to the load of a target in another availability zone.
    double crossZoneLoad = 0.5;
  };

  Placement(Options aOptions,
            const LoadBook& aLoads,
            const StallDetector& aStalls,
            std::string aAvailabilityZone);

  /// `aTried` holds targets that the request was sent to before.
  PlacementChoice Choose(const std::vector<Candidate>& aCandidates,
                         const std::set<std::string>& aTried,
                         Instant aNow,
                         std::mt19937_64& aRandom) const;

private:
  Options options;
  const LoadBook& loads;
  const StallDetector& stalls;
  std::string availabilityZone;
};

} // namespace apricottrack

#endif
