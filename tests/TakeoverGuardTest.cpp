#include "replicas/TakeoverGuard.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kLed{ seconds(1000) };

} // namespace

TEST_CASE("TakeoverGuard delays orders until the previous planner has stopped")
{
  const TakeoverGuard guard({ .pause = milliseconds(1500) });
  CHECK_FALSE(guard.MayOrder(kLed, true, kLed));
  CHECK_FALSE(guard.MayOrder(kLed, true, kLed + milliseconds(1499)));
  CHECK(guard.MayOrder(kLed, true, kLed + milliseconds(1500)));
}

TEST_CASE("TakeoverGuard waits for reports up to the maximum wait")
{
  const TakeoverGuard guard(
    { .pause = milliseconds(1500), .mostHearing = milliseconds(2300) });
  CHECK_FALSE(guard.MayOrder(kLed, false, kLed + milliseconds(2299)));
  CHECK(guard.MayOrder(kLed, false, kLed + milliseconds(2300)));
}
