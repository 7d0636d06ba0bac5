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
    /// No progress on any request for longer is worth a question: a full
    /// batch with long prompts takes this long for one pass.
    Duration doubt = milliseconds(160);
    /// A doubt is not repeated sooner.
    Duration doubtAgain = milliseconds(400);
    /// No progress on any request for longer is a stall.
    Duration silence = milliseconds(900);
    /// A stalled target gets no new requests for this long.
    Duration avoidance = milliseconds(1500);
    /// A longer gap between two looks means that this node itself stood
    /// still, and says nothing of the targets.
    Duration ownGap = milliseconds(300);
  };

  explicit StallDetector(Options aOptions)
    : options(aOptions)
  {
  }

  void OnSent(const std::string& aTarget, Instant aNow);
  /// Bytes of an answer came.
  void OnProgress(const std::string& aTarget, Instant aNow);
  void OnEnded(const std::string& aTarget);
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
    Instant progressAt;
    Instant avoidUntil;
    Instant doubtedAt;
    bool stalled = false;
  };

  Options options;
  std::unordered_map<std::string, Entry> entries;
  Instant lookedAt;
};

} // namespace apricottrack

#endif
