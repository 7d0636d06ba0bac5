#ifndef APRICOTTRACK_REPLICAS_LOOPDELAYS_H
#define APRICOTTRACK_REPLICAS_LOOPDELAYS_H

#include "apricottrack/Time.h"

#include <deque>

namespace apricottrack {

/// Records how late this node's event loop ran its timers, to tell a target
/// that does not answer from a node that reads the answer too late. A node
/// without enough processor time would otherwise take many targets for lost at
/// once. PlannerTask has one.
class LoopDelays
{
public:
  struct Options
  {
    /// Delays are forgotten after this time.
    Duration memory = seconds(1);
    /// A target that was given less than this share of a timeout, apart from
    /// the delays, may still answer.
    double minWaitShare = 0.7;
  };

  explicit LoopDelays(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records that a timer ran `aLateness` after it was due.
  void OnTimer(Duration aLateness, Instant aNow);

  /// Returns true if the delays since `aSentAt` explain that nothing was
  /// received within `aTimeout`.
  bool Explain(Instant aSentAt, Duration aTimeout, Instant aNow) const;

private:
  struct Delay
  {
    /// When the late timer ran.
    Instant at;
    Duration lateness;
  };

  Options options;
  std::deque<Delay> delays;
};

} // namespace apricottrack

#endif
