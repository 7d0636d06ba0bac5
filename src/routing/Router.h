#ifndef APRICOTTRACK_ROUTING_ROUTER_H
#define APRICOTTRACK_ROUTING_ROUTER_H

#include "apricottrack/Time.h"
#include "limits/TargetLimits.h"
#include "limits/TargetPauses.h"
#include "routing/RoutingStrategy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// A replica group or a single VM that can serve requests of one service.
struct Target
{
  /// Unique and never reused: the group name with its epoch, or the VM name
  /// with its incarnation.
  std::string id;
  /// IP:port that accepts requests.
  std::string address;
  std::string availabilityZone;
  /// Group name and epoch, which requests carry as fencing number. Empty and
  /// zero for a single VM.
  std::string group;
  std::uint64_t epoch = 0;
  /// Requests that the target runs concurrently.
  int slots = 1;
  /// Requests at the target as it last reported, and the time of that report.
  int reportedRequests = 0;
  Instant reportedAt;

  friend bool operator==(const Target&, const Target&) = default;
};

/// Chooses a target for each request of one service at one node. Tracks, per
/// target, this node's requests in flight and the mean time to first byte, and
/// keeps requests away from stragglers (targets much slower than the median),
/// from targets that just failed, and from those whose request limit leaves
/// this node no turn.
class Router
{
public:
  struct Options
  {
    /// The availability zone of this node.
    std::string availabilityZone;
    /// A target becomes a straggler when its mean time to first byte exceeds
    /// this multiple of the median of the targets by more than
    /// kStragglerMarginSeconds.
    double stragglerFactor = 2.5;
    /// A straggler has recovered when its mean no longer exceeds this multiple
    /// of the median by more than that margin. Lower than `stragglerFactor`, so
    /// that the state does not oscillate.
    double recoveredFactor = 1.5;
    /// A straggler gets one request per interval, to measure its recovery.
    Duration stragglerProbeInterval = seconds(1);
    /// A target gets no requests for this long after a failed request.
    Duration failureBackoff = milliseconds(500);
    /// Maximum number of requests at a target, as a multiple of its slots.
    double overcommitFactor = 1.0;
    /// The request limits of targets; outlives the router. Null without limits.
    TargetLimits* limits = nullptr;
    /// The pauses that targets ask for; outlives the router. Null without
    /// pauses.
    TargetPauses* pauses = nullptr;
  };

  Router(Options aOptions, std::unique_ptr<RoutingStrategy> aStrategy);

  /// Replaces the set of targets. Statistics of targets whose id remains are
  /// kept.
  void SetTargets(const std::vector<Target>& aTargets);

  /// Sets the number of nodes that share the targets' request limits; until
  /// then, limited targets get no requests.
  void SetNodeCount(int aCount);

  /// Returns a target that accepts a request, or nothing. Those in `aTried` are
  /// chosen only if no other target accepts requests. A straggler that is due
  /// for a request is returned to first attempts, and to others if there is no
  /// other target; its next request is then due after one interval.
  std::optional<Target> Choose(const RouteKey& aKey,
                               const std::set<std::string>& aTried,
                               Instant aNow,
                               Random& aRandom);

  /// Records that this node sent a request to a target.
  void OnStart(const std::string& aId, Instant aNow);

  /// Records the time from sending a request to the first byte of its response.
  void OnFirstByte(const std::string& aId, Duration aElapsed);

  /// Records the end of a request. After a failure the target gets no requests
  /// for `failureBackoff`.
  void OnEnd(const std::string& aId, bool aFailed, Instant aNow);

  /// Number of requests that the targets together can still accept.
  int FreeSlots(Instant aNow) const;
  /// Returns the requests per second that this node may send to all targets
  /// together; none unless all are limited.
  std::optional<double> LimitedRate(Instant aNow) const;
  /// Returns when the first target accepts requests again; none unless all
  /// targets have asked for a pause.
  std::optional<Instant> PauseEnd(Instant aNow) const;
  /// Sum of the slots of all targets, free or not.
  int TotalSlots() const;
  bool IsStraggler(const std::string& aId) const;
  std::size_t TargetCount() const { return this->targets.size(); }

private:
  struct Entry
  {
    Target target;
    /// Hash of the group name or the id; stable when the group's epoch changes.
    std::uint64_t identity = 0;
    /// This node's requests at the target.
    int inFlight = 0;
    /// Times at which this node's requests started or ended since the last
    /// report, which may not include them.
    std::deque<Instant> recentStarts;
    std::deque<Instant> recentEnds;
    /// Exponentially weighted mean time to first byte, in seconds.
    double meanFirstByteSeconds = 0;
    /// Number of samples in that mean.
    int sampleCount = 0;
    bool isStraggler = false;
    /// Earliest time of the next request to a straggler.
    Instant nextProbeAt;
    /// The target gets no requests before this time, after a failure.
    Instant backoffUntil;
  };

  /// The reported requests, corrected by this node's starts and ends since.
  double EstimatedRequests(const Entry& aEntry) const;
  /// True unless the target's limit leaves this node no turn now.
  bool HasTurn(const Entry& aEntry, Instant aNow) const;
  /// True if the target has asked this node for a pause that has not ended.
  bool IsPaused(const Entry& aEntry, Instant aNow) const;
  /// True if the target may get a request now: it is not in backoff, has not
  /// asked for a pause, this node has a turn, and it holds fewer requests than
  /// `Options::overcommitFactor` allows, or is a straggler that is due for a
  /// request and has none of this node in flight.
  bool CanAccept(const Entry& aEntry, Instant aNow) const;
  /// Updates the straggler state of all targets.
  void UpdateStragglers();
  /// Median of the targets' mean time to first byte, in seconds; zero with
  /// fewer than three targets that have enough samples.
  double MedianFirstByteSeconds() const;

  Options options;
  std::unique_ptr<RoutingStrategy> strategy;
  /// Demand is not known by service, so limits are divided equally.
  DemandSplit demand;
  /// By target id.
  std::map<std::string, Entry> targets;
};

} // namespace apricottrack

#endif
