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

Placement::Placement(Options aOptions,
                     const LoadBook& aLoads,
                     const StallDetector& aStalls,
                     std::string aAvailabilityZone)
  : options(aOptions)
  , loads(aLoads)
  , stalls(aStalls)
  , availabilityZone(std::move(aAvailabilityZone))
{
}

Duration
Placement::StayOf(double aRequests, double aRate) const
{
  if (aRate <= 0) {
    return this->options.evenAfter;
  }
  return std::clamp(FromSeconds(aRequests / aRate),
                    this->options.leastStay,
                    this->options.evenAfter);
}

Placement::Survey
Placement::Look(const std::vector<Candidate>& aCandidates,
                const std::set<std::string>& aTried,
                double aRate,
                Instant aNow) const
{
  struct Sight
  {
    const Candidate* candidate = nullptr;
    std::optional<LoadBook::Others> others;
  };
  std::vector<Sight> sights;
  double known = 0;
  double sum = 0;
  double slots = 0;
  Duration ages = Duration::zero();
  for (const Candidate& candidate : aCandidates) {
    if (aTried.contains(candidate.id) ||
        this->stalls.Avoids(candidate.id, aNow)) {
      continue;
    }
    sights.push_back({ &candidate, this->loads.OthersAt(candidate.id, aNow) });
    slots += candidate.slots;
    if (const auto& others = sights.back().others) {
      known += 1;
      sum += others->usual;
      ages += others->age;
    }
  }
  // The estimate for a target moves from its last report towards the mean of
  // all targets as the report ages.
  const double mean = known > 0 ? sum / known : 0;
  const auto count = static_cast<double>(sights.size());
  const Duration stay = this->StayOf(mean * count, aRate);
  const double age = known > 0 ? ToSeconds(ages) / known : 0;
  Survey survey;
  survey.unseen = std::max(this->options.leastUnseen * count,
                           aRate > 0 ? aRate * std::max(age, ToSeconds(stay))
                                     : this->options.unknownShare * slots);
  for (const auto& [candidate, others] : sights) {
    const double own = this->loads.Own(candidate->id);
    // Fraction of the requests of other nodes that is still running. A target
    // that receives no requests sends no reports either, so it would count as
    // full until its report expires.
    const auto left = [&](Duration aAge) {
      return std::exp2(-ToSeconds(aAge) / ToSeconds(this->options.halfLife));
    };
    double elsewhere = mean * left(this->options.unheard);
    double stillThere = elsewhere;
    if (others) {
      elsewhere = mean + (others->requests - mean) *
                           std::exp2(-ToSeconds(others->age) / ToSeconds(stay));
      stillThere = elsewhere * left(others->age);
    }
    const bool doubted = this->stalls.Doubts(candidate->id, aNow);
    const bool near = candidate->availabilityZone == this->availabilityZone;
    survey.targets.push_back(
      { .candidate = candidate,
        .load = own + stillThere,
        .cost = own + elsewhere + (near ? 0 : this->options.crossZoneLoad) +
                (doubted ? candidate->slots : 0) });
  }
  return survey;
}

bool
Placement::IsFull(const Ranked& aTarget) const
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
  Survey survey = this->Look(aCandidates, aTried, aRate, aNow);
  std::vector<Ranked>& targets = survey.targets;
  if (targets.empty()) {
    return { .refusal = PlacementRefusal::kNoTarget };
  }
  std::sort(targets.begin(),
            targets.end(),
            [](const Ranked& aLeft, const Ranked& aRight) {
              return aLeft.cost < aRight.cost;
            });
  const double least = targets.front().load;
  std::erase_if(targets,
                [&](const Ranked& aTarget) { return this->IsFull(aTarget); });
  if (targets.empty()) {
    return { .refusal = PlacementRefusal::kFull, .load = least };
  }
  std::vector<double> heights;
  heights.reserve(targets.size());
  for (const Ranked& target : targets) {
    heights.push_back(target.cost);
  }
  const double level = WaterLevel(heights, survey.unseen);
  std::vector<double> rooms;
  rooms.reserve(heights.size());
  for (const double height : heights) {
    rooms.push_back(std::max(0.0, level - height));
  }
  std::discrete_distribution<std::size_t> pick(rooms.begin(), rooms.end());
  const Ranked& chosen = targets[pick(aRandom)];
  return { .refusal = PlacementRefusal::kNone,
           .target = *chosen.candidate,
           .load = chosen.load };
}

} // namespace apricottrack
