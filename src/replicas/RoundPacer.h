#ifndef APRICOTTRACK_REPLICAS_ROUNDPACER_H
#define APRICOTTRACK_REPLICAS_ROUNDPACER_H

#include "apricottrack/Time.h"

#include <algorithm>

namespace apricottrack {

/// Spaces planning rounds by how late they start. A round that starts late
/// shows that the node lacks processor time; fewer rounds then leave it the
/// time to renew its lease and to answer other nodes. PlannerTask has one.
class RoundPacer
{
public:
  struct Options
  {
    Duration minInterval = milliseconds(50);
    Duration maxInterval = milliseconds(400);
    /// A round that starts later than this counts as late.
    Duration lateThreshold = milliseconds(40);
    /// Factors on the interval after a late round and after any other.
    double slowdown = 2;
    double speedup = 0.9;
  };

  explicit RoundPacer(Options aOptions)
    : options(aOptions)
    , interval(aOptions.minInterval)
  {
  }

  /// Records how late a round started. Returns true if it was late.
  bool OnRound(Duration aLateness)
  {
    const bool isLate = aLateness > this->options.lateThreshold;
    const double factor =
      isLate ? this->options.slowdown : this->options.speedup;
    this->interval = std::clamp(FromSeconds(ToSeconds(this->interval) * factor),
                                this->options.minInterval,
                                this->options.maxInterval);
    return isLate;
  }

  /// Returns the time until the next round.
  Duration Interval() const { return this->interval; }

private:
  Options options;
  Duration interval;
};

} // namespace apricottrack

#endif
