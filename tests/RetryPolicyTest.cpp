#include "retry/RetryPolicy.h"

#include "retry/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(100) };

RetryState
MakeState(AttemptEnd aEnd, bool aIdempotent)
{
  RetryState state;
  state.end = aEnd;
  state.idempotent = aIdempotent;
  state.deadline = kNow + seconds(1);
  return state;
}

RetryDecision
Decide(const RetryState& aState)
{
  RetryBudget budget{ RetryBudget::Options{} };
  return SafeRetryPolicy().Decide(aState, budget, kNow);
}

} // namespace

TEST_CASE(
  "SafeRetryPolicy retries non-idempotent requests only if provably not run")
{
  const AttemptEnd end = GENERATE(AttemptEnd::kNotSent,
                                  AttemptEnd::kRefusedNotRun,
                                  AttemptEnd::kUnconfirmedRefusal,
                                  AttemptEnd::kNoAnswer,
                                  AttemptEnd::kTruncated,
                                  AttemptEnd::kForeignAnswer,
                                  AttemptEnd::kCallerGone);
  const RetryDecision decision = Decide(MakeState(end, false));
  const bool retried = decision.action == RetryAction::kRetry;
  CHECK(retried == ProvesNotRun(end));
  if (!retried) {
    CHECK(decision.outcome == Outcome::kUnknown);
  }
}

// Guards against one attempt of a caller that takes several targets.
TEST_CASE("SafeRetryPolicy sends a suspect to no other target after a run")
{
  RetryState state = MakeState(AttemptEnd::kNoAnswer, true);
  CHECK(Decide(state).action == RetryAction::kRetry);
  state.mayCrashTargets = true;
  CHECK(Decide(state) == RetryDecision{ .action = RetryAction::kGiveUp,
                                        .outcome = Outcome::kUnknown });
  state.end = AttemptEnd::kRefusedNotRun;
  CHECK(Decide(state).action == RetryAction::kRetry);
}

TEST_CASE("RetryOnErrorPolicy retries a request that may have run")
{
  RetryBudget budget{ RetryBudget::Options{} };
  const RetryState state = MakeState(AttemptEnd::kNoAnswer, false);
  CHECK(RetryOnErrorPolicy().Decide(state, budget, kNow).action ==
        RetryAction::kRetry);
}

TEST_CASE("SafeRetryPolicy reports kUnknown if an earlier attempt may have run")
{
  RetryState state = MakeState(AttemptEnd::kNotSent, true);
  state.attempts = 3;
  CHECK(Decide(state).outcome == Outcome::kNotRun);
  state.mayHaveRun = true;
  CHECK(Decide(state).outcome == Outcome::kUnknown);
}

TEST_CASE(
  "SafeRetryPolicy resumes a started stream only if the engine can resume")
{
  RetryState state = MakeState(AttemptEnd::kTruncated, true);
  state.streamStarted = true;
  CHECK(Decide(state).action == RetryAction::kGiveUp);
  state.canResume = true;
  CHECK(Decide(state).action == RetryAction::kResume);
}

TEST_CASE("SafeRetryPolicy gives up at the deadline and after the last attempt")
{
  RetryState state = MakeState(AttemptEnd::kNotSent, true);
  state.deadline = kNow;
  CHECK(Decide(state).action == RetryAction::kGiveUp);
  state = MakeState(AttemptEnd::kNotSent, true);
  state.attempts = state.maxAttempts;
  CHECK(Decide(state).action == RetryAction::kGiveUp);
}

TEST_CASE(
  "RetryBudget denies retries when empty and is refilled by first attempts")
{
  RetryBudget budget{ { .ratio = 0.5, .reserve = 1 } };
  const RetryState state = MakeState(AttemptEnd::kNotSent, true);
  const SafeRetryPolicy policy;
  CHECK(policy.Decide(state, budget, kNow).action == RetryAction::kRetry);
  CHECK(policy.Decide(state, budget, kNow).action == RetryAction::kGiveUp);
  budget.OnFirstAttempt();
  CHECK(policy.Decide(state, budget, kNow).action == RetryAction::kGiveUp);
  budget.OnFirstAttempt();
  CHECK(policy.Decide(state, budget, kNow).action == RetryAction::kRetry);
}

// Nodes that all start at once and do not know of each other must not use the
// whole reserve each.
TEST_CASE("RetryBudget adds the rest of its reserve once the reserve is known")
{
  RetryBudget budget{ { .ratio = 0, .reserve = 1, .isProvisional = true } };
  CHECK(budget.TryConsume());
  CHECK_FALSE(budget.TryConsume());
  budget.SetReserve(3);
  CHECK(budget.TryConsume());
  CHECK(budget.TryConsume());
  CHECK_FALSE(budget.TryConsume());
  budget.SetReserve(9);
  CHECK_FALSE(budget.HasRetry());
}
