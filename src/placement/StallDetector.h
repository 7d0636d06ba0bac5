#ifndef APRICOTTRACK_PLACEMENT_STALLDETECTOR_H
#define APRICOTTRACK_PLACEMENT_STALLDETECTOR_H

#include "apricottrack/Time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Tells from this node's own requests which targets stand still: a target
/// that works makes progress on some request in every pass of its batch.
class StallDetector
{
public:
  struct Options
  {
    /// A silence is worth a question beyond this many times the longest pass
    /// seen lately, within bounds.
    double doubtFactor = 1.5;
    Duration leastDoubt = milliseconds(90);
    Duration mostDoubt = milliseconds(250);
    /// Beyond this many times, streams are taken elsewhere without asking:
    /// the pause that they may have is about as long.
    double fleeFactor = 2.5;
    Duration leastFlight = milliseconds(150);
    Duration mostFlight = milliseconds(900);
    /// Streams that must have stopped together; one alone may be waiting for
    /// memory.
    int streamsToFlee = 2;
    /// Passes grow with the load, so old ones say less.
    Duration passMemory = seconds(3);
    /// A doubt is not repeated sooner.
    Duration doubtAgain = milliseconds(400);
    /// A stalled target gets no new requests for this long.
    Duration avoidance = milliseconds(1500);
    /// A longer gap between two looks means that this node itself stood
    /// still, and says nothing of the targets.
    Duration ownGap = milliseconds(120);
  };

  explicit StallDetector(Options aOptions)
    : options(aOptions)
  {
  }

  void OnSent(const std::string& aTarget, Instant aNow);
  /// Bytes of an answer came; `aFirst`: the first ones of it.
  void OnProgress(const std::string& aTarget, bool aFirst, Instant aNow);
  /// `aStreaming`: some bytes of the answer had come.
  void OnEnded(const std::string& aTarget, bool aStreaming);
  /// The target cut a connection or could not be reached.
  void OnBroken(const std::string& aTarget, Instant aNow);

  struct Sightings
  {
    /// Targets that the planner should ask.
    std::vector<std::string> doubtful;
    /// Targets that have come to a standstill.
    std::vector<std::string> stalled;
  };

  /// What has been sighted since the last look.
  Sightings Look(Instant aNow);

  /// True if new requests should go elsewhere as long as others can take
  /// them.
  bool Doubts(const std::string& aTarget, Instant aNow) const;

  /// True if new requests should go elsewhere.
  bool Avoids(const std::string& aTarget, Instant aNow) const;

private:
  struct Entry
  {
    int inFlight = 0;
    /// Those of them whose answers have begun.
    int streaming = 0;
    /// Longest time between two signs of progress, fading.
    double peakSeconds = 0;
    Instant peakAt;
    Instant progressAt;
    Instant avoidUntil;
    Instant doubtedAt;
    bool stalled = false;
  };

  double FadedPeak(const Entry& aEntry, Instant aNow) const;
  Duration DoubtAfter(const Entry& aEntry, Instant aNow) const;
  Duration FleeAfter(const Entry& aEntry, Instant aNow) const;

  Options options;
  std::unordered_map<std::string, Entry> entries;
  Instant lookedAt;
};

} // namespace apricottrack

#endif
