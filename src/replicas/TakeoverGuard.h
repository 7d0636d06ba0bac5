#ifndef APRICOTTRACK_REPLICAS_TAKEOVERGUARD_H
#define APRICOTTRACK_REPLICAS_TAKEOVERGUARD_H

#include "apricottrack/Time.h"

namespace apricottrack {

/// Keeps a planner that took over from giving orders on what it believes of
/// targets until that is sure. Answers outages of the store, during which a
/// former planner goes on giving orders that show in no entry.
class TakeoverGuard
{
public:
  struct Options
  {
    /// From taking the lead to the first order. A former planner that lost its
    /// lease meanwhile learns of that within this time.
    Duration pause = milliseconds(1500);
    /// Longest wait for a report of each target.
    Duration mostHearing = milliseconds(2300);
  };

  explicit TakeoverGuard(Options aOptions)
    : options(aOptions)
  {
  }

  /// `aHeardAll`: each target has reported to this planner, or is silent.
  bool MayOrder(Instant aLedSince, bool aHeardAll, Instant aNow) const
  {
    const Duration led = aNow - aLedSince;
    return led >= this->options.pause &&
           (aHeardAll || led >= this->options.mostHearing);
  }

private:
  Options options;
};

} // namespace apricottrack

#endif
