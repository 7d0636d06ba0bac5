#ifndef APRICOTTRACK_REPLICAS_TAKEOVERGUARD_H
#define APRICOTTRACK_REPLICAS_TAKEOVERGUARD_H

#include "apricottrack/Time.h"

namespace apricottrack {

/// Delays the first orders of a new planner lease holder until its view of the
/// targets is current. During an outage of the store the previous planner may
/// go on issuing orders whose effects no store entry shows.
class TakeoverGuard
{
public:
  struct Options
  {
    /// Minimum time from taking the lease to the first order. A previous
    /// planner that has lost its lease finds that out within this time.
    Duration minDelay = milliseconds(1500);
    /// Maximum wait for the reports of all targets, from taking the lease.
    Duration maxReportWait = milliseconds(2300);
  };

  explicit TakeoverGuard(Options aOptions)
    : options(aOptions)
  {
  }

  /// Returns true if orders may be issued. `aAllReported` is true once each
  /// target has reported to this planner or is considered unresponsive.
  bool MayOrder(Instant aLeaseTakenAt, bool aAllReported, Instant aNow) const
  {
    const Duration sinceTakeover = aNow - aLeaseTakenAt;
    return sinceTakeover >= this->options.minDelay &&
           (aAllReported || sinceTakeover >= this->options.maxReportWait);
  }

private:
  Options options;
};

} // namespace apricottrack

#endif
