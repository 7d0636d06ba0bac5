#ifndef APRICOTTRACK_PLACEMENT_STALLDETECTOR_H
#define APRICOTTRACK_PLACEMENT_STALLDETECTOR_H

#include "apricottrack/Time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Detects stalled targets from the responses to this node's own requests. A
/// working target makes progress on some request in every pass of its batch,
/// so a gap much longer than its recent passes indicates a stall. A target is
/// suspected first, so that the planner probes it, and stalled later, when its
/// streams are moved to other targets.
class StallDetector
{
public:
  struct Options
  {
    /// A target is suspected after this many times its longest recent pass
    /// without progress, within the two bounds below.
    double doubtFactor = 1.5;
    Duration leastDoubt = milliseconds(90);
    Duration mostDoubt = milliseconds(250);
    /// A target is stalled after this many times its longest recent pass
    /// without progress, within the two bounds below. Its streams are then
    /// moved without waiting for a probe: the pause that callers tolerate in a
    /// stream is about as long.
    double fleeFactor = 2.5;
    Duration leastFlight = milliseconds(150);
    Duration mostFlight = milliseconds(900);
    /// With fewer streams the upper bound applies: a single stream may be
    /// waiting for memory at the target.
    int streamsToFlee = 2;
    /// Time constant at which the longest pass decays. Passes grow with the
    /// load, so old ones lose relevance.
    Duration passMemory = seconds(3);
    /// Minimum time between two suspicions of the same target.
    Duration doubtAgain = milliseconds(400);
    /// A stalled or failed target gets no new requests for this long. After a
    /// stall this ends earlier when the target makes progress.
    Duration avoidance = milliseconds(1500);
    /// A longer interval between two checks means that this node itself was
    /// stalled; the targets' progress times are then reset.
    Duration ownGap = milliseconds(120);
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
  /// a response; it is avoided for `avoidance`.
  void OnBroken(const std::string& aTarget, Instant aNow);

  /// The result of one check.
  struct Sightings
  {
    /// Suspected targets, which the planner should probe; the same one at most
    /// once per `doubtAgain`.
    std::vector<std::string> doubtful;
    /// Targets that are stalled since this check; their streams should be
    /// moved.
    std::vector<std::string> stalled;
  };

  /// Checks all targets; called periodically, at intervals shorter than
  /// `ownGap`. Also removes entries of targets without requests.
  Sightings Look(Instant aNow);

  /// True if the target is suspected: new requests should prefer other
  /// targets.
  bool Doubts(const std::string& aTarget, Instant aNow) const;

  /// True if the target stalled or failed within the last `avoidance`: it must
  /// get no new requests.
  bool Avoids(const std::string& aTarget, Instant aNow) const;

private:
  struct Entry
  {
    int inFlight = 0;
    /// Requests in flight whose response has begun.
    int streaming = 0;
    /// Longest recent time between two arrivals of response bytes, as of
    /// `peakAt`; it decays from then on.
    double peakSeconds = 0;
    Instant peakAt;
    /// Time of the last arrival, or of the first send while idle.
    Instant progressAt;
    Instant avoidUntil;
    Instant doubtedAt;
    bool stalled = false;
  };

  double FadedPeak(const Entry& aEntry, Instant aNow) const;
  /// Time without progress after which the target is suspected.
  Duration DoubtAfter(const Entry& aEntry, Instant aNow) const;
  /// Time without progress after which the target is stalled.
  Duration FleeAfter(const Entry& aEntry, Instant aNow) const;

  Options options;
  std::unordered_map<std::string, Entry> entries;
  Instant lookedAt;
};

} // namespace apricottrack

#endif
