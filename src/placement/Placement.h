#ifndef APRICOTTRACK_PLACEMENT_PLACEMENT_H
#define APRICOTTRACK_PLACEMENT_PLACEMENT_H

#include "placement/Candidate.h"
#include "placement/LoadTracker.h"
#include "placement/StallDetector.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// Why no target was chosen.
enum class PlacementRefusal
{
  kNone,
  /// No candidate remains after those already tried and those avoided for
  /// failures or stalls.
  kNoTarget,
  /// Every remaining candidate holds as many requests as it may hold.
  kFull,
};

/// The result of Placement::Choose.
struct PlacementChoice
{
  PlacementRefusal refusal = PlacementRefusal::kNone;
  /// Set if `refusal` is kNone.
  Candidate target;
  /// Estimated number of requests at the target; with kFull, at the target of
  /// least cost; zero with kNoTarget.
  double load = 0;

  friend bool operator==(const PlacementChoice&,
                         const PlacementChoice&) = default;
};

/// Chooses the target at which a request is expected to wait least. Built for
/// high load where reports lag and many nodes choose concurrently, so that
/// nodes do not all pick the target with the lowest report. The estimated
/// number of requests not yet in any report is distributed over the least
/// loaded targets up to a common level (water filling). A target is then drawn
/// with a probability proportional to its distance below that level.
class Placement
{
public:
  struct Options
  {
    /// Requests that may queue at a target, as a fraction of its slots. A
    /// negative value keeps that fraction of the slots free.
    double queueShare = 0.15;
    /// Minimum number of unreported requests assumed per target: nodes that
    /// choose concurrently do not see each other's choices.
    double minUnreportedPerTarget = 1.0;
    /// Requests added to the cost of a target in another availability zone.
    double crossZonePenalty = 0.5;
    /// Upper bound of the estimated time that a request spends at a target, and
    /// its value while the request rate is unknown. The estimated time is also
    /// the half-life with which a report's difference from the mean of all
    /// targets decays. A shorter bound would send bursts of prompts to a
    /// target that holds few requests by chance.
    Duration maxResidenceTime = milliseconds(1000);
    /// Half-life assumed for reported requests of other nodes when IsFull
    /// compares them with the slots.
    Duration reportHalfLife = milliseconds(1000);
    /// Report age assumed for targets without a report; equal to
    /// LoadTracker::Options::maxReportAge.
    Duration assumedReportAge = milliseconds(2000);
    /// Lower bound of the estimated time that a request spends at a target.
    Duration minResidenceTime = milliseconds(50);
    /// Unreported requests assumed while the request rate is unknown, as a
    /// fraction of the slots of all candidates.
    double unreportedShare = 0.5;

    /// Returns the options for targets that run requests in batches.
    static Options ForBatches();
  };

  /// `aLoads` and `aStalls` must outlive the object.
  Placement(Options aOptions,
            const LoadTracker& aLoads,
            const StallDetector& aStalls,
            std::string aAvailabilityZone);

  /// Chooses one of `aCandidates` that is not in `aTried`, the ids of targets
  /// that the request was already sent to. `aRate` is the number of requests
  /// per second that all nodes together send to the candidates, or zero while
  /// unknown.
  PlacementChoice Choose(const std::vector<Candidate>& aCandidates,
                         const std::set<std::string>& aTried,
                         double aRate,
                         Instant aNow,
                         std::mt19937_64& aRandom) const;

private:
  struct RankedTarget
  {
    const Candidate* candidate = nullptr;
    /// Estimated requests at the target, which must stay below the limit that
    /// IsFull checks. Those of other nodes decay with the age of the report, by
    /// `reportHalfLife`.
    double load = 0;
    /// Ranking value, in requests: this node's requests and an estimate of the
    /// others' that tends to the mean of all targets, plus the penalties for
    /// another availability zone and for a suspected stall.
    double cost = 0;
  };

  struct LoadEstimates
  {
    std::vector<RankedTarget> targets;
    /// Estimated requests at the targets that no report includes yet.
    double unreportedRequests = 0;
  };

  /// Estimates the load of each candidate that may be chosen.
  LoadEstimates EstimateLoads(const std::vector<Candidate>& aCandidates,
                              const std::set<std::string>& aTried,
                              double aRate,
                              Instant aNow) const;
  /// Mean time that a request spends at a target, by Little's law from the
  /// number of requests at all targets and their rate, within bounds.
  Duration ResidenceTime(double aRequests, double aRate) const;
  /// True if the target holds all the requests that `queueShare` allows.
  bool IsFull(const RankedTarget& aTarget) const;

  Options options;
  const LoadTracker& loads;
  const StallDetector& stalls;
  std::string availabilityZone;
};

} // namespace apricottrack

#endif
