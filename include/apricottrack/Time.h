#ifndef APRICOTTRACK_TIME_H
#define APRICOTTRACK_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

/// Time types. Decisions take the present time as an argument and never read
/// a clock themselves, so that they run the same on virtual time.
namespace apricottrack {

using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds since the Unix epoch; only for records that people read.
using UnixMillis = std::int64_t;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Reads a monotonic clock that also counts time in which the VM was
/// suspended, so that a lease or a proof of freshness ages during a freeze.
/// Only tasks call this. Timers run on another clock: arm them with durations.
inline Instant
MonotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// Reads the wall clock. Only tasks call this.
inline UnixMillis
WallNow()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// A duration as fractional seconds.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Fractional seconds as a duration, rounded towards zero.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace apricottrack

#endif
