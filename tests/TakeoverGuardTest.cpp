#include "replicas/TakeoverGuard.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kLeaseTakenAt{ seconds(1000) };

} // namespace

TEST_CASE("TakeoverGuard allows no order before minDelay even if all reported")
{
  const TakeoverGuard guard({ .minDelay = milliseconds(1500) });
  CHECK_FALSE(guard.MayOrder(kLeaseTakenAt, true, kLeaseTakenAt));
  CHECK_FALSE(
    guard.MayOrder(kLeaseTakenAt, true, kLeaseTakenAt + milliseconds(1499)));
  CHECK(
    guard.MayOrder(kLeaseTakenAt, true, kLeaseTakenAt + milliseconds(1500)));
}

TEST_CASE("TakeoverGuard allows orders without all reports at maxReportWait")
{
  const TakeoverGuard guard(
    { .minDelay = milliseconds(1500), .maxReportWait = milliseconds(2300) });
  CHECK_FALSE(
    guard.MayOrder(kLeaseTakenAt, false, kLeaseTakenAt + milliseconds(2299)));
  CHECK(
    guard.MayOrder(kLeaseTakenAt, false, kLeaseTakenAt + milliseconds(2300)));
}
