#include "placement/Placement.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

namespace {

/// Returns the common level reached when `aAmount` is added to the lowest of
/// `aHeights` first. `aHeights` must be sorted in ascending order.
double
WaterLevel(const std::vector<double>& aHeights, double aAmount)
{
  double sum = 0;
  double level = 0;
  for (std::size_t i = 0; i < aHeights.size(); ++i) {
    sum += aHeights[i];
    level = (aAmount + sum) / static_cast<double>(i + 1);
    if (i + 1 < aHeights.size() && level <= aHeights[i + 1]) {
      break;
    }
  }
  return level;
}

} // namespace

Placement::Options
Placement::Options::ForBatches()
{
  // Each place in the queue costs some 40 to 60 ms; a longer queue would make
  // all of its requests late. Requests that end are replaced while nodes send
  // to a target, so that its reports stay valid for longer than a request.
  return { .queueShare = 0.1, .reportHalfLife = seconds(3) };
}

Placement::Placement(Options aOptions,
                     const LoadTracker& aLoads,
                     const StallDetector& aStalls,
                     std::string aAvailabilityZone)
  : options(aOptions)
  , loads(aLoads)
  , stalls(aStalls)
  , availabilityZone(std::move(aAvailabilityZone))
{
}

Duration
Placement::ResidenceTime(double aRequests, double aRate) const
{
  if (aRate <= 0) {
    return this->options.maxResidenceTime;
  }
  return std::clamp(FromSeconds(aRequests / aRate),
                    this->options.minResidenceTime,
                    this->options.maxResidenceTime);
}

Placement::LoadEstimates
Placement::EstimateLoads(const std::vector<Candidate>& aCandidates,
                         const std::set<std::string>& aTried,
                         double aRate,
                         Instant aNow) const
{
  struct Observation
  {
    const Candidate* candidate = nullptr;
    std::optional<LoadTracker::OtherRequests> others;
  };
  std::vector<Observation> observations;
  double reportCount = 0;
  double sum = 0;
  double slots = 0;
  Duration totalAge = Duration::zero();
  for (const Candidate& candidate : aCandidates) {
    if (aTried.contains(candidate.id) ||
        this->stalls.IsAvoided(candidate.id, aNow)) {
      continue;
    }
    observations.push_back(
      { &candidate, this->loads.OtherRequestsAt(candidate.id, aNow) });
    slots += candidate.slots;
    if (const auto& others = observations.back().others) {
      reportCount += 1;
      sum += others->meanRequests;
      totalAge += others->age;
    }
  }
  // The estimate for a target moves from its last report towards the mean of
  // all targets as the report ages.
  const double mean = reportCount > 0 ? sum / reportCount : 0;
  const auto count = static_cast<double>(observations.size());
  const Duration residenceTime = this->ResidenceTime(mean * count, aRate);
  const double age = reportCount > 0 ? ToSeconds(totalAge) / reportCount : 0;
  LoadEstimates estimates;
  // The requests that all nodes sent within the mean age of the reports, or
  // within the residence time if that is longer.
  estimates.unreportedRequests =
    std::max(this->options.minUnreportedPerTarget * count,
             aRate > 0 ? aRate * std::max(age, ToSeconds(residenceTime))
                       : this->options.unreportedShare * slots);
  for (const auto& [candidate, others] : observations) {
    const double ownRequests = this->loads.OwnRequests(candidate->id);
    // Fraction of the reported requests of other nodes that is assumed to be
    // still running. A target that is skipped as full sends no reports; without
    // this decay it would count as full until its last report expires.
    const auto remainingShare = [&](Duration aAge) {
      return std::exp2(-ToSeconds(aAge) /
                       ToSeconds(this->options.reportHalfLife));
    };
    double otherRequests =
      mean * remainingShare(this->options.assumedReportAge);
    double otherRemaining = otherRequests;
    if (others) {
      otherRequests =
        mean + (others->requests - mean) *
                 std::exp2(-ToSeconds(others->age) / ToSeconds(residenceTime));
      otherRemaining = otherRequests * remainingShare(others->age);
    }
    const bool suspected = this->stalls.IsSuspected(candidate->id, aNow);
    const bool sameZone = candidate->availabilityZone == this->availabilityZone;
    estimates.targets.push_back(
      { .candidate = candidate,
        .load = ownRequests + otherRemaining,
        .cost = ownRequests + otherRequests +
                (sameZone ? 0 : this->options.crossZonePenalty) +
                (suspected ? candidate->slots : 0) });
  }
  return estimates;
}

bool
Placement::IsFull(const RankedTarget& aTarget) const
{
  return aTarget.load >=
         aTarget.candidate->slots * (1 + this->options.queueShare);
}

PlacementChoice
Placement::Choose(const std::vector<Candidate>& aCandidates,
                  const std::set<std::string>& aTried,
                  double aRate,
                  Instant aNow,
                  std::mt19937_64& aRandom) const
{
  LoadEstimates estimates =
    this->EstimateLoads(aCandidates, aTried, aRate, aNow);
  std::vector<RankedTarget>& targets = estimates.targets;
  if (targets.empty()) {
    return { .refusal = PlacementRefusal::kNoTarget };
  }
  std::sort(targets.begin(),
            targets.end(),
            [](const RankedTarget& aLeft, const RankedTarget& aRight) {
              return aLeft.cost < aRight.cost;
            });
  const double lowestCostLoad = targets.front().load;
  std::erase_if(targets, [&](const RankedTarget& aTarget) {
    return this->IsFull(aTarget);
  });
  if (targets.empty()) {
    return { .refusal = PlacementRefusal::kFull, .load = lowestCostLoad };
  }
  std::vector<double> heights;
  heights.reserve(targets.size());
  for (const RankedTarget& target : targets) {
    heights.push_back(target.cost);
  }
  const double level = WaterLevel(heights, estimates.unreportedRequests);
  std::vector<double> weights;
  weights.reserve(heights.size());
  for (const double height : heights) {
    weights.push_back(std::max(0.0, level - height));
  }
  std::discrete_distribution<std::size_t> randomIndex(weights.begin(),
                                                      weights.end());
  const RankedTarget& chosen = targets[randomIndex(aRandom)];
  return { .refusal = PlacementRefusal::kNone,
           .target = *chosen.candidate,
           .load = chosen.load };
}

} // namespace apricottrack
