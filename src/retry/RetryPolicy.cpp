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
    case AttemptEnd::kUnconfirmedRefusal:
      return "unconfirmed_refusal";
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

/// Returns the decision to give up, with the outcome to report.
RetryDecision
GiveUpDecision(const RetryState& aState)
{
  const bool mayHaveRun = aState.mayHaveRun || !ProvesNotRun(aState.end);
  return RetryDecision{ .action = RetryAction::kGiveUp,
                        .outcome =
                          mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun };
}

} // namespace

RetryDecision
SafeRetryPolicy::Decide(const RetryState& aState,
                        RetryBudget& aBudget,
                        Instant aNow) const
{
  if (aState.end == AttemptEnd::kAnswered) {
    return {};
  }
  const bool mayRunAgain = aState.idempotent || ProvesNotRun(aState.end);
  const bool mayCrashAnother =
    aState.mayCrashTargets && !ProvesNotRun(aState.end);
  const bool continuable = !aState.streamStarted || aState.canResume;
  if (aState.end == AttemptEnd::kCallerGone || !mayRunAgain ||
      mayCrashAnother || !continuable ||
      aState.attempts >= aState.maxAttempts || aNow >= aState.deadline ||
      !aBudget.TryConsume()) {
    return GiveUpDecision(aState);
  }
  return RetryDecision{ .action = aState.streamStarted ? RetryAction::kResume
                                                       : RetryAction::kRetry,
                        .outcome = Outcome::kUnknown };
}

RetryDecision
RetryOnErrorPolicy::Decide(const RetryState& aState,
                           RetryBudget& /*aBudget*/,
                           Instant /*aNow*/) const
{
  if (aState.end == AttemptEnd::kAnswered) {
    return {};
  }
  if (aState.attempts >= aState.maxAttempts) {
    return GiveUpDecision(aState);
  }
  return RetryDecision{ .action = RetryAction::kRetry,
                        .outcome = Outcome::kUnknown };
}

} // namespace apricottrack
