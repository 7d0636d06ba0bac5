#include "replicas/TargetProbe.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };
constexpr TargetProbe::Options kOptions{};

} // namespace

// Guards against replicas that are broken up because a sound member was silent
// for a second.
TEST_CASE(
  "TargetProbe takes a target that timed out for briefly silent until a "
  "later probe fails too")
{
  TargetProbe probe;
  probe.OnMissed(kStart, true);
  CHECK_FALSE(probe.IsUnresponsive(kOptions));
  CHECK_FALSE(probe.IsBrieflySilent(kOptions));
  probe.OnMissed(kStart + milliseconds(1400), true);
  CHECK(probe.IsUnresponsive(kOptions));
  CHECK(probe.IsBrieflySilent(kOptions));
  probe.OnMissed(kStart + milliseconds(1500), true);
  CHECK(probe.IsUnresponsive(kOptions));
  CHECK_FALSE(probe.IsBrieflySilent(kOptions));
  CHECK_FALSE(probe.IsLost(kOptions, kStart + milliseconds(2999)));
  CHECK(probe.IsLost(kOptions, kStart + milliseconds(3000)));
  probe.OnReport({}, kStart + milliseconds(3100));
  CHECK_FALSE(probe.IsUnresponsive(kOptions));
  CHECK_FALSE(probe.IsLost(kOptions, kStart + seconds(9)));
}

// Guards against replicas that stand still although a member's process is gone.
TEST_CASE("TargetProbe takes no target for briefly silent that refuses or "
          "resets connections")
{
  TargetProbe probe;
  probe.OnMissed(kStart, true);
  probe.OnMissed(kStart + milliseconds(100), false);
  CHECK(probe.IsUnresponsive(kOptions));
  CHECK_FALSE(probe.IsBrieflySilent(kOptions));
}

// Guards against replicas broken up after the planner's own cut has ended.
TEST_CASE("TargetProbe forgets reports that were missed because of this node")
{
  TargetProbe probe;
  probe.OnReport({}, kStart);
  probe.probeSentAt = kStart;
  probe.OnMissed(kStart + milliseconds(100), false);
  probe.OnMissed(kStart + milliseconds(200), false);
  REQUIRE(probe.IsUnresponsive(kOptions));
  probe.ForgetMissed();
  CHECK_FALSE(probe.IsUnresponsive(kOptions));
  CHECK(probe.report);
  CHECK(probe.probeSentAt == Instant{});
}
