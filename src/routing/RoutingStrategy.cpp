#include "routing/RoutingStrategy.h"

#include "base/Hash.h"

#include <algorithm>
#include <cassert>

namespace apricottrack {

namespace {

/// A preferred target may have a load up to this multiple of the mean load,
/// plus kImbalanceMargin.
constexpr double kImbalanceFactor = 1.25;
/// Requests per slot added to the bound, so that the first requests of an idle
/// service still go to the preferred target.
constexpr double kImbalanceMargin = 0.25;
/// Requests per slot added to the cost of a target in another availability
/// zone.
constexpr double kCrossZoneCost = 0.1;

/// Load to compare candidates by, in requests per slot.
double
Cost(const RoutingCandidate& aCandidate)
{
  return aCandidate.estimatedLoad + (aCandidate.sameZone ? 0 : kCrossZoneCost);
}

/// Rendezvous hash: the candidate of highest rank is preferred for the prefix.
std::uint64_t
Rank(std::uint64_t aPrefixHash, const RoutingCandidate& aCandidate)
{
  const std::uint64_t pair[2] = { aPrefixHash, aCandidate.identity };
  return StableHash({ reinterpret_cast<const char*>(pair), sizeof pair });
}

/// Maximum load, in requests per slot, of a target that is chosen by prefix
/// affinity.
double
LoadBound(std::span<const RoutingCandidate> aCandidates)
{
  double total = 0;
  for (const RoutingCandidate& candidate : aCandidates) {
    total += candidate.estimatedLoad;
  }
  return kImbalanceFactor * total / static_cast<double>(aCandidates.size()) +
         kImbalanceMargin;
}

std::size_t
LessLoadedOfTwo(std::span<const RoutingCandidate> aCandidates, Random& aRandom)
{
  std::uniform_int_distribution<std::size_t> randomIndex(
    0, aCandidates.size() - 1);
  const std::size_t first = randomIndex(aRandom);
  const std::size_t second = randomIndex(aRandom);
  return Cost(aCandidates[second]) < Cost(aCandidates[first]) ? second : first;
}

class AffinityStrategy final : public RoutingStrategy
{
public:
  std::size_t Pick(std::span<const RoutingCandidate> aCandidates,
                   const RouteKey& aKey,
                   Random& aRandom) override
  {
    if (aKey.prefix == 0) {
      return LessLoadedOfTwo(aCandidates, aRandom);
    }
    const double bound = LoadBound(aCandidates);
    std::size_t best = aCandidates.size();
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const std::uint64_t rank = Rank(aKey.prefix, aCandidates[i]);
      const bool fits = aCandidates[i].estimatedLoad <= bound;
      if (fits && (best == aCandidates.size() || rank > bestRank)) {
        best = i;
        bestRank = rank;
      }
    }
    // A candidate whose load does not exceed the mean is within the bound.
    assert(best < aCandidates.size());
    return best;
  }
};

class RoundRobinStrategy final : public RoutingStrategy
{
public:
  std::size_t Pick(std::span<const RoutingCandidate> aCandidates,
                   const RouteKey& /*aKey*/,
                   Random& /*aRandom*/) override
  {
    return this->cursor++ % aCandidates.size();
  }

private:
  std::size_t cursor = 0;
};

class LeastReportedLoadStrategy final : public RoutingStrategy
{
public:
  std::size_t Pick(std::span<const RoutingCandidate> aCandidates,
                   const RouteKey& /*aKey*/,
                   Random& /*aRandom*/) override
  {
    const auto least = std::min_element(
      aCandidates.begin(),
      aCandidates.end(),
      [](const RoutingCandidate& aLeft, const RoutingCandidate& aRight) {
        return aLeft.reportedLoad < aRight.reportedLoad;
      });
    return static_cast<std::size_t>(least - aCandidates.begin());
  }
};

} // namespace

std::unique_ptr<RoutingStrategy>
MakeAffinityStrategy()
{
  return std::make_unique<AffinityStrategy>();
}

std::unique_ptr<RoutingStrategy>
MakeRoundRobinStrategy()
{
  return std::make_unique<RoundRobinStrategy>();
}

std::unique_ptr<RoutingStrategy>
MakeLeastReportedLoadStrategy()
{
  return std::make_unique<LeastReportedLoadStrategy>();
}

} // namespace apricottrack
