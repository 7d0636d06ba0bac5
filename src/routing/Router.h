#ifndef APRICOTTRACK_ROUTING_ROUTER_H
#define APRICOTTRACK_ROUTING_ROUTER_H

#include "apricottrack/Time.h"
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

/// A replica group or a single VM that may serve requests of one service.
struct Target
{
  /// Unique and never reused: group name with its epoch, or VM with its
  /// incarnation.
  std::string id;
  /// IP:port that takes requests.
  std::string address;
  std::string availabilityZone;
  /// Group and fencing number that requests carry; empty for a plain VM.
  std::string group;
  std::uint64_t epoch = 0;
  int slots = 1;
  /// Requests at the target by its own word, and when that was heard.
  int reportedRequests = 0;
  Instant reportedAt;

  friend bool operator==(const Target&, const Target&) = default;
};

/// Chooses a target for each request of one service. Keeps, per target, the
/// requests that this node sent, and how fast first bytes came back.
class Router
{
public:
  struct Options
  {
    std::string availabilityZone;
    /// A target this many times slower than the median is a straggler.
    double stragglerFactor = 2.5;
    /// A straggler is trusted again below this factor.
    double recoveredFactor = 1.5;
    /// A straggler gets one request each interval to show that it recovered.
    Duration stragglerTrial = seconds(1);
    /// A target that failed to connect or answer gets no work for this long.
    Duration failurePause = milliseconds(500);
    /// How far a target may be filled beyond its slots.
    double overcommit = 1.0;
  };

  Router(Options aOptions, std::unique_ptr<RoutingStrategy> aStrategy);

  /// Replaces the set of targets that may serve; history is kept by id.
  void SetTargets(const std::vector<Target>& aTargets);

  /// A target with room, or nothing. Targets in `aTried` are used only if
  /// no other may serve.
  std::optional<Target> Choose(const RouteKey& aKey,
                               const std::set<std::string>& aTried,
                               Instant aNow,
                               Random& aRandom);

  void OnStart(const std::string& aId, Instant aNow);

  /// Time from sending to the first byte of the answer.
  void OnFirstByte(const std::string& aId, Duration aElapsed);

  /// Work seen coming back; a failure pauses the target.
  void OnEnd(const std::string& aId, bool aFailed, Instant aNow);

  /// Requests that the targets together can still take.
  int FreeSlots(Instant aNow) const;
  int TotalSlots() const;
  bool IsStraggler(const std::string& aId) const;
  std::size_t TargetCount() const { return this->targets.size(); }

private:
  struct Entry
  {
    Target target;
    std::uint64_t identity = 0;
    int inFlight = 0;
    /// Starts and ends since the last report, which it may not include.
    std::deque<Instant> recentStarts;
    std::deque<Instant> recentEnds;
    double meanFirstByte = 0;
    int samples = 0;
    bool straggler = false;
    Instant nextTrial;
    Instant pausedUntil;
  };

  double EstimatedRequests(const Entry& aEntry) const;
  bool MayTake(const Entry& aEntry, Instant aNow) const;
  void JudgeStragglers();
  double MedianFirstByte() const;

  Options options;
  std::unique_ptr<RoutingStrategy> strategy;
  std::map<std::string, Entry> targets;
};

} // namespace apricottrack

#endif
