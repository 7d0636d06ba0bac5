#include "serving/RetryRules.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

CatalogRoute
Route(RouteKind aKind, bool aResumable, int aMaxTargets)
{
  return { .kind = aKind, .resumable = aResumable, .maxTargets = aMaxTargets };
}

const CatalogRoute kBooking = Route(RouteKind::kNonIdempotent, false, 1);
const CatalogRoute kLookUp = Route(RouteKind::kIdempotent, false, 2);
const CatalogRoute kResumable = Route(RouteKind::kStream, true, 2);
const CatalogRoute kPlainStream = Route(RouteKind::kStream, false, 2);

} // namespace

TEST_CASE("RetryRules fails a request that may have run and is not repeatable")
{
  for (const CallEnd end : { CallEnd::kNoAnswer, CallEnd::kTruncated }) {
    for (const CatalogRoute& route : { kBooking, kPlainStream }) {
      CHECK(DecideNext(route, end, { .mayHaveRun = 1, .sent = 1 }) ==
            NextStep::kFail);
    }
  }
}

TEST_CASE("RetryRules refuses as not run only if no target may have run the "
          "request")
{
  CHECK(DecideNext(kBooking,
                   CallEnd::kNotRun,
                   { .sent = 1, .budgetLeft = false }) == NextStep::kRefuse);
  CHECK(DecideNext(kBooking, CallEnd::kOutOfTime, {}) == NextStep::kRefuse);
  CHECK(DecideNext(kBooking,
                   CallEnd::kOutOfTime,
                   { .mayHaveRun = 1, .sent = 1 }) == NextStep::kTimeOut);
  CHECK(DecideNext(kLookUp,
                   CallEnd::kNotRun,
                   { .mayHaveRun = 1, .sent = 2, .budgetLeft = false }) ==
        NextStep::kFail);
}

TEST_CASE(
  "RetryRules sends a request that was not run to other targets, at most "
  "three times")
{
  CHECK(DecideNext(kBooking, CallEnd::kNotRun, { .sent = 1 }) ==
        NextStep::kTryElsewhere);
  CHECK(DecideNext(kBooking, CallEnd::kNotSent, {}) == NextStep::kTryElsewhere);
  CHECK(DecideNext(kBooking, CallEnd::kNotRun, { .sent = 3 }) ==
        NextStep::kRefuse);
}

TEST_CASE("RetryRules retries a repeatable request up to the route's number of "
          "targets")
{
  CHECK(DecideNext(kResumable,
                   CallEnd::kTruncated,
                   { .mayHaveRun = 1, .sent = 1 }) == NextStep::kTryElsewhere);
  CHECK(DecideNext(kResumable,
                   CallEnd::kTruncated,
                   { .mayHaveRun = 2, .sent = 2 }) == NextStep::kFail);
  CHECK(DecideNext(kLookUp,
                   CallEnd::kTargetFailed,
                   { .mayHaveRun = 1, .sent = 1 }) == NextStep::kTryElsewhere);
  CHECK(DecideNext(kLookUp,
                   CallEnd::kTargetFailed,
                   { .mayHaveRun = 2, .sent = 2 }) == NextStep::kDone);
}

TEST_CASE("RetryRules aborts the request of a disconnected caller")
{
  CHECK(DecideNext(kLookUp, CallEnd::kCallerGone, { .mayHaveRun = 1 }) ==
        NextStep::kAbort);
}
