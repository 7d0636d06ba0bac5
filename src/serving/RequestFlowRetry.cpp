#include "serving/RequestFlow.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

// The part of RequestFlow that decides whether a request is retried, and how
// long an interrupted stream waits for that, and that keeps the budget of
// retries.
namespace apricottrack {

namespace {

/// Longest time for which an interrupted stream waits for a target or a retry.
constexpr Duration kMaxInterruption = seconds(2);
/// Time between two attempts to continue an interrupted stream.
constexpr Duration kContinuationInterval = milliseconds(50);
/// Share of the retry ratio and reserve in the settings that the nodes use; the
/// rest covers differences between the time windows of the nodes.
constexpr double kUsedBudgetShare = 0.9;
/// Smallest retry reserve of a node, and its reserve while the number of nodes
/// that share the reserve is unknown.
constexpr double kMinRetryReserve = 1;

} // namespace

bool
RequestFlow::MayReturn() const
{
  // A prompt that was not proven sound may have crashed its targets, and a
  // rejected response is no momentary interruption.
  return this->streamStarted && !this->responseRejected &&
         this->admittedRequest.route->IsRepeatable() &&
         (this->everProvenSound || this->caller.sharedPromptParts.empty());
}

Task<bool>
RequestFlow::WaitForContinuation()
{
  const Instant now = MonotonicNow();
  if (!this->MayReturn() || !this->interruptedAt ||
      now >= *this->interruptedAt + kMaxInterruption) {
    co_return false;
  }
  boost::asio::steady_timer timer(this->context.executor);
  timer.expires_at(std::min(now + kContinuationInterval, this->Deadline()));
  co_await timer.async_wait(kAsTuple);
  co_return true;
}

bool
RequestFlow::HasReachedTarget(CallEnd aEnd) const
{
  return aEnd != CallEnd::kNotSent &&
         (aEnd != CallEnd::kNotRun || !IsNodeCandidate(this->lastTargetId));
}

Task<NextStep>
RequestFlow::DecideNextStep(CallEnd aEnd)
{
  const CatalogRoute& route = *this->admittedRequest.route;
  this->history.mayReturn = this->MayReturn();
  for (;;) {
    if (this->callerDisconnected) {
      co_return NextStep::kAbort;
    }
    this->history.timeLeft = MonotonicNow() + kMinCallTime < this->Deadline();
    this->history.budgetLeft = true;
    const NextStep step = DecideNext(route, aEnd, this->history);
    if (step == NextStep::kTryElsewhere && this->connectionLost &&
        this->MayCrashTargets()) {
      co_return NextStep::kFail;
    }
    if (step != NextStep::kTryElsewhere || !this->HasReachedTarget(aEnd) ||
        this->Budget().TryConsume()) {
      co_return step;
    }
    this->history.budgetLeft = false;
    const bool hasWaited = co_await this->WaitForContinuation();
    if (!hasWaited) {
      this->context.counters.Add("retries_denied");
      co_return DecideNext(route, aEnd, this->history);
    }
  }
}

RetryBudget&
RequestFlow::Budget()
{
  const ServingSettings& settings = *this->context.settings.serving;
  const auto& nodeCount = this->context.nodeCount;
  const double reserve =
    nodeCount ? std::max(kMinRetryReserve,
                         kUsedBudgetShare * settings.retryReserve / *nodeCount)
              : kMinRetryReserve;
  RetryBudget& budget =
    this->context.retryBudgets
      .try_emplace(
        this->admittedRequest.service->name,
        RetryBudget::Options{ .ratio = kUsedBudgetShare * settings.retryRatio,
                              .reserve = reserve,
                              .isProvisional = !nodeCount })
      .first->second;
  if (nodeCount) {
    budget.SetReserve(reserve);
  }
  return budget;
}

} // namespace apricottrack
