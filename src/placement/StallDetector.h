#ifndef APRICOTTRACK_PLACEMENT_STALLDETECTOR_H
#define APRICOTTRACK_PLACEMENT_STALLDETECTOR_H

#include "apricottrack/Time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Detects stalled targets from the responses to this node's own requests. A
/// working target sends bytes of some response in every pass over its batch, so
/// a gap between them that is much longer than its recent passes indicates a
/// stall. A target is suspected first, so that the planner probes it, and
/// stalled later, when its requests are hedged at other targets. Each serving
/// node has one.
class StallDetector
{
public:
  struct Options
  {
    /// A target is suspected after this many times its longest recent pass
    /// without progress, within the two bounds below.
    double suspectFactor = 1.5;
    Duration minSuspectTimeout = milliseconds(90);
    Duration maxSuspectTimeout = milliseconds(250);
    /// A target is stalled after this many times its longest recent pass
    /// without progress, within the two bounds below. Its requests are then
    /// hedged without waiting for a probe: the pause that callers tolerate in a
    /// stream is about as long.
    double stallFactor = 2.5;
    Duration minStallTimeout = milliseconds(150);
    Duration maxStallTimeout = milliseconds(900);
    /// With fewer streams `maxStallTimeout` applies: a single stream may be
    /// waiting for memory at the target.
    int minStalledStreams = 2;
    /// Time constant with which the longest pass decays. The time of a pass
    /// depends on the load, so old ones lose relevance.
    Duration passDecayTime = seconds(3);
    /// Minimum time between two suspicions of the same target.
    Duration suspectInterval = milliseconds(400);
    /// Time between two reports of the same stall. Requests that could not be
    /// hedged at the first one may find a retry or a place by then.
    Duration stallInterval = milliseconds(250);
    /// A stalled or failed target gets no new requests for this long. After a
    /// stall this ends earlier when the target makes progress.
    Duration avoidDuration = milliseconds(1500);
    /// A longer interval between two checks means that this node itself was
    /// stalled; the targets' progress times are then reset.
    Duration maxCheckInterval = milliseconds(120);
  };

  explicit StallDetector(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records that this node sent a request to the target.
  void OnSent(const std::string& aTarget, Instant aNow);
  /// Records that bytes of a response arrived; `aFirst` marks the first bytes
  /// of that response.
  void OnProgress(const std::string& aTarget, bool aFirst, Instant aNow);
  /// Records the end of a request; `aStreaming` is true if bytes of its
  /// response had arrived.
  void OnEnded(const std::string& aTarget, bool aStreaming);
  /// Records that the target could not be reached, did not respond or broke off
  /// a response; it is avoided for `avoidDuration`.
  void OnFailure(const std::string& aTarget, Instant aNow);

  /// A target found stalled.
  struct Stall
  {
    std::string target;
    /// Time without progress.
    Duration silence = Duration::zero();
    /// Requests in flight whose response has begun.
    int startedResponses = 0;

    friend bool operator==(const Stall&, const Stall&) = default;
  };

  /// The result of one check.
  struct Findings
  {
    /// Time since the previous check.
    Duration checkInterval = Duration::zero();
    /// Suspected targets, which the planner should probe; the same one at most
    /// once per `suspectInterval`.
    std::vector<std::string> suspected;
    /// Stalled targets, whose requests should be hedged; the same one at most
    /// once per `stallInterval`.
    std::vector<Stall> stalled;
  };

  /// Checks all targets; called periodically, at intervals shorter than
  /// `maxCheckInterval`. Also removes entries of targets that have no requests
  /// and are not avoided.
  Findings Check(Instant aNow);

  /// When bytes of any response last arrived at this node.
  Instant LastProgressAt() const { return this->lastProgressAt; }

  /// True if the target is suspected: new requests should prefer other
  /// targets.
  bool IsSuspected(const std::string& aTarget, Instant aNow) const;

  /// True if the target failed within the last `avoidDuration`, or stalled
  /// within it and has made no progress since: it must get no new requests.
  bool IsAvoided(const std::string& aTarget, Instant aNow) const;

private:
  struct Entry
  {
    int inFlight = 0;
    /// Requests in flight whose response has begun.
    int startedResponses = 0;
    /// Longest recent time between two arrivals of response bytes, as of
    /// `longestPassAt`; it decays from then on.
    double longestPassSeconds = 0;
    Instant longestPassAt;
    /// Time of the last arrival, or of the first send while idle.
    Instant lastProgressAt;
    /// The target gets no new requests before this time.
    Instant avoidUntil;
    /// Time of the last suspicion that Check returned.
    Instant suspectedAt;
    /// Time of the last stall that Check returned.
    Instant stallReportedAt;
    /// True from the stall until the next progress, or the next send while no
    /// request is in flight.
    bool stalled = false;
  };

  /// Longest recent pass in seconds, decayed from `longestPassAt` to `aNow`.
  double DecayedLongestPass(const Entry& aEntry, Instant aNow) const;
  /// Time without progress after which the target is suspected.
  Duration SuspectTimeout(const Entry& aEntry, Instant aNow) const;
  /// Time without progress after which the target is stalled.
  Duration StallTimeout(const Entry& aEntry, Instant aNow) const;

  Options options;
  std::unordered_map<std::string, Entry> entries;
  Instant lastProgressAt;
  /// Time of the last Check.
  Instant checkedAt;
};

} // namespace apricottrack

#endif
