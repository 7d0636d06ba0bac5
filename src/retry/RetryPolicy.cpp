#include "retry/RetryPolicy.h"

#include "retry/RetryBudget.h"

namespace apricottrack {

std::string_view
AttemptEndName(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kRefusedNotRun:
      return "refused_not_run";
    case AttemptEnd::kNoAnswer:
      return "no_answer";
    case AttemptEnd::kTruncated:
      return "truncated";
    case AttemptEnd::kForeignAnswer:
      return "foreign_answer";
    case AttemptEnd::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

bool
ProvesNotRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::kNotSent || aEnd == AttemptEnd::kRefusedNotRun;
}

namespace {

RetryDecision
GiveUp(const RetryQuestion& aQuestion)
{
  const bool mayHaveRun = aQuestion.mayHaveRun || !ProvesNotRun(aQuestion.end);
  return RetryDecision{ .action = RetryAction::kGiveUp,
                        .outcome =
                          mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun };
}

} // namespace

RetryDecision
SafeRetryPolicy::Decide(const RetryQuestion& aQuestion,
                        RetryBudget& aBudget,
                        Instant aNow) const
{
  if (aQuestion.end == AttemptEnd::kAnswered) {
    return {};
  }
  const bool mayRunAgain = aQuestion.idempotent || ProvesNotRun(aQuestion.end);
  const bool continuable = !aQuestion.streamStarted || aQuestion.canResume;
  if (aQuestion.end == AttemptEnd::kCallerGone || !mayRunAgain ||
      !continuable || aQuestion.attempts >= aQuestion.maxAttempts ||
      aNow >= aQuestion.deadline || !aBudget.TryTake()) {
    return GiveUp(aQuestion);
  }
  return RetryDecision{ .action = aQuestion.streamStarted ? RetryAction::kResume
                                                          : RetryAction::kRetry,
                        .outcome = Outcome::kUnknown };
}

RetryDecision
RetryOnErrorPolicy::Decide(const RetryQuestion& aQuestion,
                           RetryBudget& /*aBudget*/,
                           Instant /*aNow*/) const
{
  if (aQuestion.end == AttemptEnd::kAnswered) {
    return {};
  }
  if (aQuestion.attempts >= aQuestion.maxAttempts) {
    return GiveUp(aQuestion);
  }
  return RetryDecision{ .action = RetryAction::kRetry,
                        .outcome = Outcome::kUnknown };
}

} // namespace apricottrack
