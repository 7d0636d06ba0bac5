#ifndef APRICOTTRACK_PLACEMENT_TARGETREACH_H
#define APRICOTTRACK_PLACEMENT_TARGETREACH_H

#include "apricottrack/Time.h"

#include <cstddef>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Tracks to which targets this node can open connections, and whether a
/// failure is one of the target or of this node: after a failure the node
/// connects to a few others, and is isolated if it reaches none of them.
///
/// Only new connections count, as kept ones may live on while new ones are
/// refused. Decides which targets to connect to; ReachTask does so. Each
/// serving node has one.
class TargetReach
{
public:
  struct Options
  {
    /// Between two checks of an unreachable target.
    Duration recheckInterval = milliseconds(500);
    /// Other targets that are checked after a failure.
    std::size_t samples = 4;
    /// Fewer failed samples do not show that the node is isolated.
    std::size_t minFailedSamples = 2;
    /// Between two samples of an isolated node.
    Duration isolatedInterval = milliseconds(200);
    /// Targets in such a sample.
    std::size_t isolatedSamples = 2;
    /// A connection opened within this time before a failure shows that the
    /// node is not isolated.
    Duration recentTime = milliseconds(50);
    /// Checks of unreachable targets that start at the same time; more would
    /// delay each other.
    std::size_t maxConcurrentRechecks = 16;
  };

  explicit TargetReach(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records that a new connection to the target was opened.
  void OnConnected(const std::string& aTarget, Instant aNow);
  /// Records that no connection to the target could be opened.
  void OnConnectFailed(const std::string& aTarget, Instant aNow);
  /// Records the result of a check that DueChecks has returned.
  void OnCheckEnded(const std::string& aTarget, bool aConnected, Instant aNow);

  /// Returns the targets to connect to now, of all that are known, and expects
  /// OnCheckEnded for each. Forgets targets that are no longer known.
  std::vector<std::string> DueChecks(const std::vector<std::string>& aTargets,
                                     Instant aNow,
                                     std::mt19937_64& aRandom);

  /// Returns whether DueChecks may have targets to return.
  bool HasFailures() const
  {
    return this->isolatedSince || this->sampling || !this->unreachable.empty();
  }

  /// Returns whether this node is isolated or could not open its last
  /// connection to the target.
  bool IsUnreachable(const std::string& aTarget) const
  {
    return this->isolatedSince || this->unreachable.contains(aTarget);
  }

  /// Returns whether a failure is being attributed; what this node sees of
  /// targets proves nothing about them until then.
  bool IsInDoubt() const { return this->sampling.has_value(); }

  /// Returns whether this node reaches no target, as far as it has tried.
  bool IsIsolated() const { return this->isolatedSince.has_value(); }

  /// Returns for how long the node has been isolated; zero if it is not.
  Duration IsolatedFor(Instant aNow) const
  {
    return this->isolatedSince ? Duration(aNow - *this->isolatedSince)
                               : Duration::zero();
  }

private:
  /// Checks of targets that have not failed, to attribute a failure.
  struct Sampling
  {
    bool hasStarted = false;
    std::set<std::string> pending;
    std::size_t failed = 0;
  };

  std::vector<std::string> StartSampling(
    const std::vector<std::string>& aTargets,
    std::mt19937_64& aRandom);
  std::vector<std::string> DueRechecks(Instant aNow);
  void ForgetOthers(const std::vector<std::string>& aTargets);

  Options options;
  /// Unreachable targets, and when each is due to be checked again.
  std::unordered_map<std::string, Instant> unreachable;
  /// Targets of DueRechecks and of an isolated node whose check has not ended.
  std::set<std::string> rechecks;
  std::optional<Sampling> sampling;
  std::optional<Instant> isolatedSince;
  Instant nextIsolatedSampleAt;
  std::optional<Instant> lastConnectedAt;
};

} // namespace apricottrack

#endif
