#include "placement/Placement.h"

#include <algorithm>

namespace apricottrack {

namespace {

struct Ranked
{
  const Candidate* candidate = nullptr;
  double load = 0;
  /// Load as a share of the slots, with the cost of distance.
  double cost = 0;
};

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

PlacementChoice
Placement::Choose(const std::vector<Candidate>& aCandidates,
                  const std::set<std::string>& aTried,
                  Instant aNow,
                  std::mt19937_64& aRandom) const
{
  std::vector<Ranked> ranked;
  for (const Candidate& candidate : aCandidates) {
    if (aTried.contains(candidate.id) ||
        this->stalls.Avoids(candidate.id, aNow)) {
      continue;
    }
    const double load = this->loads.Estimate(candidate.id, aNow);
    const bool doubted = this->stalls.Doubts(candidate.id, aNow);
    const bool near = candidate.availabilityZone == this->availabilityZone;
    ranked.push_back({ .candidate = &candidate,
                       .load = load,
                       .cost = load + (near ? 0 : this->options.crossZoneLoad) +
                               (doubted ? candidate.slots : 0) });
  }
  if (ranked.empty()) {
    return { .refusal = PlacementRefusal::kNoTarget };
  }
  const auto best =
    std::min_element(ranked.begin(),
                     ranked.end(),
                     [](const Ranked& aLeft, const Ranked& aRight) {
                       return aLeft.cost < aRight.cost;
                     });
  const double slots = best->candidate->slots;
  if (best->load >= slots * (1 + this->options.queueShare)) {
    return { .refusal = PlacementRefusal::kFull, .load = best->load };
  }
  const double limit = best->cost + this->options.tieWidth;
  std::erase_if(ranked,
                [&](const Ranked& aRanked) { return aRanked.cost >= limit; });
  std::uniform_int_distribution<std::size_t> pick(0, ranked.size() - 1);
  const Ranked& chosen = ranked[pick(aRandom)];
  return { .refusal = PlacementRefusal::kNone,
           .target = *chosen.candidate,
           .load = chosen.load };
}

} // namespace apricottrack
