#include "retry/RetryPolicy.h"

#include "retry/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(100) };

RetryQuestion
Question(AttemptEnd aEnd, bool aIdempotent)
{
  RetryQuestion question;
  question.end = aEnd;
  question.idempotent = aIdempotent;
  question.deadline = kNow + seconds(1);
  return question;
}

RetryDecision
Decide(const RetryQuestion& aQuestion)
{
  RetryBudget budget{ RetryBudget::Options{} };
  return SafeRetryPolicy().Decide(aQuestion, budget, kNow);
}

} // namespace

TEST_CASE(
  "SafeRetryPolicy retries non-idempotent requests only if provably not run")
{
  const AttemptEnd end = GENERATE(AttemptEnd::kNotSent,
                                  AttemptEnd::kRefusedNotRun,
                                  AttemptEnd::kNoAnswer,
                                  AttemptEnd::kTruncated,
                                  AttemptEnd::kForeignAnswer,
                                  AttemptEnd::kCallerGone);
  const RetryDecision decision = Decide(Question(end, false));
  const bool retried = decision.action == RetryAction::kRetry;
  CHECK(retried == ProvesNotRun(end));
  if (!retried) {
    CHECK(decision.outcome == Outcome::kUnknown);
  }
}

TEST_CASE("RetryOnErrorPolicy retries a request that may have run")
{
  RetryBudget budget{ RetryBudget::Options{} };
  const RetryQuestion question = Question(AttemptEnd::kNoAnswer, false);
  CHECK(RetryOnErrorPolicy().Decide(question, budget, kNow).action ==
        RetryAction::kRetry);
}

TEST_CASE("SafeRetryPolicy reports kUnknown if an earlier attempt may have run")
{
  RetryQuestion question = Question(AttemptEnd::kNotSent, true);
  question.attempts = 3;
  CHECK(Decide(question).outcome == Outcome::kNotRun);
  question.mayHaveRun = true;
  CHECK(Decide(question).outcome == Outcome::kUnknown);
}

TEST_CASE(
  "SafeRetryPolicy resumes a started stream only if the engine can resume")
{
  RetryQuestion question = Question(AttemptEnd::kTruncated, true);
  question.streamStarted = true;
  CHECK(Decide(question).action == RetryAction::kGiveUp);
  question.canResume = true;
  CHECK(Decide(question).action == RetryAction::kResume);
}

TEST_CASE("SafeRetryPolicy gives up at the deadline and after the last attempt")
{
  RetryQuestion question = Question(AttemptEnd::kNotSent, true);
  question.deadline = kNow;
  CHECK(Decide(question).action == RetryAction::kGiveUp);
  question = Question(AttemptEnd::kNotSent, true);
  question.attempts = question.maxAttempts;
  CHECK(Decide(question).action == RetryAction::kGiveUp);
}

TEST_CASE(
  "RetryBudget denies retries when empty and is refilled by first attempts")
{
  RetryBudget budget{ { .ratio = 0.5, .reserve = 1 } };
  const RetryQuestion question = Question(AttemptEnd::kNotSent, true);
  const SafeRetryPolicy policy;
  CHECK(policy.Decide(question, budget, kNow).action == RetryAction::kRetry);
  CHECK(policy.Decide(question, budget, kNow).action == RetryAction::kGiveUp);
  budget.OnFirstAttempt();
  CHECK(policy.Decide(question, budget, kNow).action == RetryAction::kGiveUp);
  budget.OnFirstAttempt();
  CHECK(policy.Decide(question, budget, kNow).action == RetryAction::kRetry);
}
