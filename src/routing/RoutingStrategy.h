#ifndef APRICOTTRACK_ROUTING_ROUTINGSTRATEGY_H
#define APRICOTTRACK_ROUTING_ROUTINGSTRATEGY_H

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace apricottrack {

/// Seedable generator for all randomized decisions.
using Random = std::mt19937_64;

/// A target that can accept a request now.
struct RoutingCandidate
{
  /// Stable hash of the target's identity.
  std::uint64_t identity = 0;
  /// Requests per slot as the target last reported; outdated by the report's
  /// age.
  double reportedLoad = 0;
  /// Requests per slot as reported, corrected by those of this node that
  /// started or ended since the report.
  double estimatedLoad = 0;
  /// True if the target is in this node's availability zone.
  bool sameZone = true;
};

/// The properties of a request that affect its routing.
struct RouteKey
{
  /// Hash of the prompt's prefix, or zero if there is none.
  std::uint64_t prefix = 0;
};

/// Chooses one of several candidates. Implementations keep no statistics of
/// targets, which belong to Router, but may keep a position between calls.
class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;

  /// Returns the index of the chosen candidate. `aCandidates` must not be
  /// empty.
  virtual std::size_t Pick(std::span<const RoutingCandidate> aCandidates,
                           const RouteKey& aKey,
                           Random& aRandom) = 0;
};

/// Prefix affinity by rendezvous hashing with bounded loads: requests with the
/// same prefix go to the same target, where its cache entries are, unless that
/// target's load exceeds the mean by a factor; then to the next in rank.
/// Requests without a prefix go to the less loaded of two random targets.
std::unique_ptr<RoutingStrategy>
MakeAffinityStrategy();

/// Baseline for comparison: round robin.
std::unique_ptr<RoutingStrategy>
MakeRoundRobinStrategy();

/// Baseline for comparison: the lowest reported load, not corrected by this
/// node's requests since the report.
std::unique_ptr<RoutingStrategy>
MakeLeastReportedLoadStrategy();

} // namespace apricottrack

#endif
