#include "limits/TargetPauses.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };

PauseRequest
PauseOf(Duration aDuration)
{
  return { .duration = aDuration };
}

} // namespace

TEST_CASE("TargetPauses keeps requests away from a target until its pause ends")
{
  TargetPauses pauses(TargetPauses::Options{});
  CHECK(pauses.EarliestSend("t", kStart) == kStart);
  CHECK(pauses.OnPause("t", PauseOf(seconds(2)), kStart));
  CHECK(pauses.EarliestSend("t", kStart) == kStart + seconds(2));
  CHECK(pauses.EarliestSend("other", kStart) == kStart);
  const Instant end = kStart + seconds(2);
  CHECK(pauses.EarliestSend("t", end) == end);
}

TEST_CASE("TargetPauses is not shortened by a later answer")
{
  TargetPauses pauses(TargetPauses::Options{});
  pauses.OnPause("t", PauseOf(seconds(5)), kStart);
  const Instant later = kStart + milliseconds(100);
  CHECK_FALSE(pauses.OnPause("t", PauseOf(seconds(1)), later));
  CHECK(pauses.EarliestSend("t", later) == kStart + seconds(5));
  CHECK_FALSE(pauses.OnPause("t", PauseOf(seconds(9)), later));
  CHECK(pauses.EarliestSend("t", later) == later + seconds(9));
}

TEST_CASE("TargetPauses can begin again after a pause has ended")
{
  TargetPauses pauses(TargetPauses::Options{});
  pauses.OnPause("t", PauseOf(seconds(1)), kStart);
  const Instant later = kStart + seconds(3);
  pauses.OnSend("t", 0, later);
  CHECK(pauses.EarliestSend("t", later) == later);
  CHECK(pauses.OnPause("t", PauseOf(seconds(1)), later));
  CHECK(pauses.EarliestSend("t", later) == later + seconds(1));
}

TEST_CASE("TargetPauses ignores a malformed value")
{
  TargetPauses pauses(TargetPauses::Options{});
  CHECK_FALSE(pauses.OnPause("t", { .isInRange = false }, kStart));
  CHECK(pauses.EarliestSend("t", kStart) == kStart);
}

TEST_CASE("TargetPauses stays bounded while many targets ask for a pause")
{
  TargetPauses pauses(TargetPauses::Options{ .maxTargets = 4 });
  for (int i = 0; i < 10; ++i) {
    pauses.OnPause(
      fmt::format("t{}", i), PauseOf(seconds(60)), kStart + milliseconds(i));
  }
  const Instant now = kStart + seconds(1);
  int held = 0;
  for (int i = 0; i < 10; ++i) {
    held += pauses.EarliestSend(fmt::format("t{}", i), now) > now ? 1 : 0;
  }
  CHECK(held == 4);
  CHECK(pauses.EarliestSend("t9", now) > now);
}

TEST_CASE(
  "TargetPauses keeps requests from a leaving target until a later start")
{
  TargetPauses pauses(TargetPauses::Options{});
  CHECK(pauses.EarliestSend("t", 100, kStart) == kStart);
  CHECK(pauses.OnLeaving("t", 100, kStart));
  CHECK_FALSE(pauses.OnLeaving("t", 100, kStart));
  const Instant later = kStart + seconds(3600);
  CHECK(pauses.EarliestSend("t", 100, later) == Instant::max());
  CHECK(pauses.EarliestSend("t", 99, later) == Instant::max());
  CHECK(pauses.EarliestSend("t", 101, later) == later);
  CHECK(pauses.EarliestSend("other", 100, later) == later);
  pauses.OnSend("t", 101, later);
  CHECK(pauses.EarliestSend("t", 101, later) == later);
}

TEST_CASE("TargetPauses knows a leaving target also after its pause")
{
  TargetPauses pauses(TargetPauses::Options{ .maxTargets = 2 });
  pauses.OnLeaving("t", 100, kStart);
  pauses.OnPause("t", PauseOf(seconds(1)), kStart);
  const Instant later = kStart + seconds(2);
  pauses.OnPause("u", PauseOf(seconds(1)), later);
  pauses.OnPause("v", PauseOf(seconds(1)), later + seconds(2));
  CHECK(pauses.EarliestSend("t", 100, later + seconds(2)) == Instant::max());
}
