#ifndef APRICOTTRACK_TIME_H
#define APRICOTTRACK_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

/// Time types. Code that decides takes the current time as an argument and
/// never reads a clock, so that tests can run it on virtual time.
namespace apricottrack {

using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process; not comparable between
/// processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds since the Unix epoch. Only for records that people read.
using UnixMillis = std::int64_t;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the current time of a monotonic clock that also advances while the
/// VM is suspended, so that leases and verified data age during a suspension.
/// Only tasks call this. Timers run on a different clock, so they must be armed
/// with durations.
inline Instant
MonotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

/// Returns the wall-clock time. Only tasks call this.
inline UnixMillis
WallNow()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Converts a duration to fractional seconds.
inline double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Converts fractional seconds to a duration, rounded towards zero.
inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace apricottrack

#endif
