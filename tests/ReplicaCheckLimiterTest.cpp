#include "replicas/ReplicaCheckLimiter.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

} // namespace

TEST_CASE("ReplicaCheckLimiter bounds checks under continuous stall reports")
{
  ReplicaCheckLimiter limiter(
    { .initialDelay = milliseconds(150), .maxDelay = milliseconds(600) });
  int checks = 0;
  for (Duration at = Duration::zero(); at < seconds(6); at += milliseconds(5)) {
    checks += limiter.TryBeginCheck("t1", kStart + at) ? 1 : 0;
  }
  CHECK(checks >= 6000 / 600);
  CHECK(checks <= 6000 / 600 + 3);
}

TEST_CASE("ReplicaCheckLimiter resets a replica's backoff after resetAfter")
{
  ReplicaCheckLimiter limiter({ .initialDelay = milliseconds(150),
                                .maxDelay = milliseconds(600),
                                .resetAfter = seconds(2) });
  CHECK(limiter.TryBeginCheck("t1", kStart));
  CHECK_FALSE(limiter.TryBeginCheck("t1", kStart + milliseconds(100)));
  CHECK(limiter.TryBeginCheck("t2", kStart + milliseconds(100)));
  CHECK(limiter.TryBeginCheck("t1", kStart + milliseconds(150)));
  CHECK_FALSE(limiter.TryBeginCheck("t1", kStart + milliseconds(400)));
  CHECK(limiter.TryBeginCheck("t1", kStart + milliseconds(450)));
  CHECK(limiter.TryBeginCheck("t1", kStart + seconds(4)));
  CHECK(limiter.TryBeginCheck("t1", kStart + seconds(4) + milliseconds(150)));
}
