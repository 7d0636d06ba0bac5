#include "serving/RetryRules.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Maximum sends of a request that no target has run; bounds the search for a
/// target that accepts it.
constexpr int kMaxSendsWithoutRun = 3;

/// Maximum sends of a stream that returns to targets; bounds the load of one
/// that no target can complete.
constexpr int kMaxSendsOfStream = 6;

/// Returns the step that ends a request which is not retried.
NextStep
FinalStep(const CallHistory& aHistory)
{
  if (!aHistory.timeLeft) {
    return aHistory.possibleRunCount > 0 ? NextStep::kTimeOut
                                         : NextStep::kRefuse;
  }
  return aHistory.possibleRunCount > 0 ? NextStep::kFail : NextStep::kRefuse;
}

bool
MayTryElsewhere(const CatalogRoute& aRoute, const CallHistory& aHistory)
{
  if (!aHistory.timeLeft || !aHistory.budgetLeft) {
    return false;
  }
  if (aHistory.possibleRunCount == 0) {
    return aHistory.sendCount < kMaxSendsWithoutRun;
  }
  if (!aRoute.IsRepeatable()) {
    return false;
  }
  if (aHistory.mayReturn) {
    return aHistory.sendCount < kMaxSendsOfStream;
  }
  return aHistory.possibleRunCount <
         std::min(aRoute.maxTargets,
                  aHistory.targetLimit.value_or(aRoute.maxTargets));
}

} // namespace

std::string_view
CallEndName(CallEnd aEnd)
{
  switch (aEnd) {
    case CallEnd::kAnswered:
      return "answered";
    case CallEnd::kNotSent:
      return "not_sent";
    case CallEnd::kNotRun:
      return "not_run";
    case CallEnd::kUnconfirmedRefusal:
      return "unconfirmed_refusal";
    case CallEnd::kNoAnswer:
      return "no_answer";
    case CallEnd::kTruncated:
      return "truncated";
    case CallEnd::kTargetFailed:
      return "target_failed";
    case CallEnd::kCallerGone:
      return "caller_gone";
    case CallEnd::kOutOfTime:
      break;
  }
  return "out_of_time";
}

std::string_view
NextStepName(NextStep aStep)
{
  switch (aStep) {
    case NextStep::kDone:
      return "done";
    case NextStep::kTryElsewhere:
      return "try_elsewhere";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kFail:
      return "fail";
    case NextStep::kTimeOut:
      return "time_out";
    case NextStep::kAbort:
      break;
  }
  return "abort";
}

NextStep
DecideNext(const CatalogRoute& aRoute,
           CallEnd aEnd,
           const CallHistory& aHistory)
{
  switch (aEnd) {
    case CallEnd::kAnswered:
      return NextStep::kDone;
    case CallEnd::kCallerGone:
      return NextStep::kAbort;
    case CallEnd::kOutOfTime:
      return FinalStep(CallHistory{
        .possibleRunCount = aHistory.possibleRunCount, .timeLeft = false });
    case CallEnd::kTargetFailed:
      // Without a retry, the caller gets the target's error response.
      return MayTryElsewhere(aRoute, aHistory) ? NextStep::kTryElsewhere
                                               : NextStep::kDone;
    case CallEnd::kNotSent:
    case CallEnd::kNotRun:
    case CallEnd::kUnconfirmedRefusal:
    case CallEnd::kNoAnswer:
    case CallEnd::kTruncated:
      break;
  }
  return MayTryElsewhere(aRoute, aHistory) ? NextStep::kTryElsewhere
                                           : FinalStep(aHistory);
}

} // namespace apricottrack
