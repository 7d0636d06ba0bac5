#ifndef APRICOTTRACK_REPLICAS_LOADLIMITER_H
#define APRICOTTRACK_REPLICAS_LOADLIMITER_H

#include "apricottrack/Time.h"

#include <vector>

namespace apricottrack {

/// Limits loads from the weight store with a token bucket for the rate that the
/// store sustains, and a bound on concurrent loads, above which loads slow each
/// other down. Each FleetPlanner owns one. The bucket starts empty,
/// because a planner that takes over does not know which loads have just begun.
class LoadLimiter
{
public:
  struct Options
  {
    /// Refill rate of the token bucket.
    double loadsPerSecond = 1;
    /// Maximum number of running loads.
    int concurrentLoads = 1;
    /// Capacity of the token bucket, in loads.
    double burst = 2;
  };

  LoadLimiter() = default;

  /// Sets the limits; available tokens and running loads are kept.
  void Configure(Options aOptions);

  /// Returns true if a load may begin now, and then counts it as running for
  /// `aExpected`.
  bool TryBegin(Duration aExpected, Instant aNow);

  /// Returns the number of loads that have not reached their expected end.
  int RunningLoads(Instant aNow) const;

private:
  Options options;
  /// Loads that may begin now, as of `refilledAt`.
  double tokens = 0;
  Instant refilledAt;
  /// Expected ends of the running loads.
  std::vector<Instant> expectedEnds;
};

} // namespace apricottrack

#endif
