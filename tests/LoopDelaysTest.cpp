#include "replicas/LoopDelays.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };
constexpr Duration kTimeout = milliseconds(80);

/// Records timers that are due every 10 ms and are this late, from `kStart` on.
LoopDelays
WithTimers(Duration aLateness)
{
  LoopDelays delays(LoopDelays::Options{});
  Instant now = kStart;
  while (now < kStart + kTimeout) {
    now += milliseconds(10) + aLateness;
    delays.OnTimer(aLateness, now);
  }
  return delays;
}

bool
Explains(const LoopDelays& aDelays, Instant aSentAt)
{
  return aDelays.Explain(aSentAt, kTimeout, aSentAt + kTimeout);
}

} // namespace

// The load: a planner's node that needs most of its processor time for orders,
// so that it reads the answers of targets after their timeout.
TEST_CASE("LoopDelays explains a timeout on a node that lacks processor time")
{
  CHECK(Explains(WithTimers(milliseconds(20)), kStart));
  CHECK(Explains(WithTimers(milliseconds(60)), kStart));
}

TEST_CASE("LoopDelays does not explain a timeout on a node that keeps up")
{
  CHECK_FALSE(Explains(LoopDelays(LoopDelays::Options{}), kStart));
  CHECK_FALSE(Explains(WithTimers(microseconds(500)), kStart));
  CHECK_FALSE(Explains(WithTimers(milliseconds(2)), kStart));
}

TEST_CASE("LoopDelays counts only what happened after the request was sent")
{
  LoopDelays delays(LoopDelays::Options{});
  delays.OnTimer(milliseconds(90), kStart);
  CHECK_FALSE(Explains(delays, kStart));
  delays.OnTimer(milliseconds(90), kStart + milliseconds(10));
  CHECK_FALSE(Explains(delays, kStart));
  CHECK(Explains(delays, kStart - milliseconds(30)));
}
