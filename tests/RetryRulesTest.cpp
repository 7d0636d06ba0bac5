#include "serving/RetryRules.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

CatalogRoute
MakeRoute(RouteKind aKind, bool aResumable, int aMaxTargets)
{
  return { .kind = aKind, .resumable = aResumable, .maxTargets = aMaxTargets };
}

const CatalogRoute kNonIdempotentRoute =
  MakeRoute(RouteKind::kNonIdempotent, false, 1);
const CatalogRoute kIdempotentRoute =
  MakeRoute(RouteKind::kIdempotent, false, 2);
const CatalogRoute kResumableStream = MakeRoute(RouteKind::kStream, true, 2);
const CatalogRoute kNonResumableStream =
  MakeRoute(RouteKind::kStream, false, 2);

} // namespace

TEST_CASE("RetryRules fails a request that may have run and is not repeatable")
{
  for (const CallEnd end : { CallEnd::kUnconfirmedRefusal,
                             CallEnd::kNoAnswer,
                             CallEnd::kTruncated }) {
    for (const CatalogRoute& route :
         { kNonIdempotentRoute, kNonResumableStream }) {
      CHECK(DecideNext(route, end, { .possibleRunCount = 1, .sendCount = 1 }) ==
            NextStep::kFail);
    }
  }
}

TEST_CASE("RetryRules refuses as not run only if no target may have run the "
          "request")
{
  CHECK(DecideNext(kNonIdempotentRoute,
                   CallEnd::kNotRun,
                   { .sendCount = 1, .budgetLeft = false }) ==
        NextStep::kRefuse);
  CHECK(DecideNext(kNonIdempotentRoute, CallEnd::kOutOfTime, {}) ==
        NextStep::kRefuse);
  CHECK(DecideNext(kNonIdempotentRoute,
                   CallEnd::kOutOfTime,
                   { .possibleRunCount = 1, .sendCount = 1 }) ==
        NextStep::kTimeOut);
  CHECK(DecideNext(
          kIdempotentRoute,
          CallEnd::kNotRun,
          { .possibleRunCount = 1, .sendCount = 2, .budgetLeft = false }) ==
        NextStep::kFail);
}

TEST_CASE(
  "RetryRules sends a request that was not run to other targets, at most "
  "three times")
{
  CHECK(DecideNext(kNonIdempotentRoute, CallEnd::kNotRun, { .sendCount = 1 }) ==
        NextStep::kTryElsewhere);
  CHECK(DecideNext(kNonIdempotentRoute, CallEnd::kNotSent, {}) ==
        NextStep::kTryElsewhere);
  CHECK(DecideNext(kNonIdempotentRoute, CallEnd::kNotRun, { .sendCount = 3 }) ==
        NextStep::kRefuse);
}

TEST_CASE("RetryRules retries a repeatable request up to the route's number of "
          "targets")
{
  CHECK(DecideNext(kResumableStream,
                   CallEnd::kTruncated,
                   { .possibleRunCount = 1, .sendCount = 1 }) ==
        NextStep::kTryElsewhere);
  CHECK(DecideNext(kResumableStream,
                   CallEnd::kTruncated,
                   { .possibleRunCount = 2, .sendCount = 2 }) ==
        NextStep::kFail);
  CHECK(DecideNext(kIdempotentRoute,
                   CallEnd::kTargetFailed,
                   { .possibleRunCount = 1, .sendCount = 1 }) ==
        NextStep::kTryElsewhere);
  CHECK(DecideNext(kIdempotentRoute,
                   CallEnd::kTargetFailed,
                   { .possibleRunCount = 2, .sendCount = 2 }) ==
        NextStep::kDone);
}

// Guards against a started stream that is cut although one of its targets is
// sound again.
TEST_CASE("RetryRules continues a started stream at a target that may have run "
          "it, with at most six sends")
{
  CHECK(
    DecideNext(kResumableStream,
               CallEnd::kTruncated,
               { .possibleRunCount = 2, .sendCount = 5, .mayReturn = true }) ==
    NextStep::kTryElsewhere);
  CHECK(
    DecideNext(kResumableStream,
               CallEnd::kTruncated,
               { .possibleRunCount = 2, .sendCount = 6, .mayReturn = true }) ==
    NextStep::kFail);
  CHECK(
    DecideNext(kResumableStream,
               CallEnd::kTruncated,
               { .possibleRunCount = 1, .sendCount = 6, .mayReturn = true }) ==
    NextStep::kFail);
  CHECK(
    DecideNext(kNonResumableStream,
               CallEnd::kTruncated,
               { .possibleRunCount = 1, .sendCount = 1, .mayReturn = true }) ==
    NextStep::kFail);
}

TEST_CASE("RetryRules aborts the request of a disconnected caller")
{
  CHECK(DecideNext(kIdempotentRoute,
                   CallEnd::kCallerGone,
                   { .possibleRunCount = 1 }) == NextStep::kAbort);
}

TEST_CASE("RetryRules keeps to fewer targets than the route allows")
{
  const CallHistory history{ .possibleRunCount = 1, .sendCount = 1 };
  CallHistory limited = history;
  limited.targetLimit = 1;
  CHECK(DecideNext(kIdempotentRoute, CallEnd::kNoAnswer, history) ==
        NextStep::kTryElsewhere);
  CHECK(DecideNext(kIdempotentRoute, CallEnd::kNoAnswer, limited) ==
        NextStep::kFail);
}
