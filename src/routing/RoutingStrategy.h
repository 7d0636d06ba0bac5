#ifndef APRICOTTRACK_ROUTING_ROUTINGSTRATEGY_H
#define APRICOTTRACK_ROUTING_ROUTINGSTRATEGY_H

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace apricottrack {

/// Seedable generator used by all decisions that draw lots.
using Random = std::mt19937_64;

/// One target that may take a request now.
struct RoutingCandidate
{
  /// Stable hash of the target's identity.
  std::uint64_t identity = 0;
  /// Requests per slot, as the target last reported; lags.
  double reportedLoad = 0;
  /// Reported load corrected by what this node did since.
  double estimatedLoad = 0;
  bool sameZone = true;
};

struct RouteKey
{
  /// Hash of the prompt's prefix; zero where there is none.
  std::uint64_t prefix = 0;
};

/// Picks among candidates. Implementations may keep a cursor but no history
/// of targets; Router keeps that.
class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;

  /// Index of the chosen candidate; the span is never empty.
  virtual std::size_t Pick(std::span<const RoutingCandidate> aCandidates,
                           const RouteKey& aKey,
                           Random& aRandom) = 0;
};

/// Prefix affinity by rendezvous hashing, bounded by load: a preferred target
/// whose load exceeds the mean by a factor passes the request on to the next.
/// Requests without a prefix go to the lighter of two random choices.
std::unique_ptr<RoutingStrategy>
MakeAffinityStrategy();

/// Baseline: each target in turn.
std::unique_ptr<RoutingStrategy>
MakeRoundRobinStrategy();

/// Baseline: the least load by the targets' own, lagging reports.
std::unique_ptr<RoutingStrategy>
MakeLeastReportedLoadStrategy();

} // namespace apricottrack

#endif
