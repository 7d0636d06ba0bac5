#include "serving/StallTask.h"

#include "base/Log.h"
#include "serving/Forwarding.h"
#include "serving/RequestFlow.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Between two checks for stalled targets.
constexpr Duration kCheckInterval = milliseconds(25);
/// A node that has received bytes of a response within this time reaches some
/// target.
constexpr Duration kMaxSilence = milliseconds(100);

} // namespace

StallTask::StallTask(ServingContext& aContext,
                     PlannerTask& aPlanner,
                     FollowTask& aFollower,
                     ReachTask& aReach)
  : context(aContext)
  , planner(aPlanner)
  , follower(aFollower)
  , reach(aReach)
{
}

void
StallTask::Start()
{
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

Task<void>
StallTask::Run()
{
  for (;;) {
    asio::steady_timer timer(this->context.executor, kCheckInterval);
    co_await timer.async_wait(kAsTuple);
    this->CheckOnce(MonotonicNow());
  }
}

void
StallTask::CheckOnce(Instant aNow)
{
  const auto findings = this->context.stalls.Check(aNow);
  this->ReportSuspected(findings.suspected, aNow);
  this->reach.CheckNow();
  for (const auto& stall : findings.stalled) {
    LogLine("target_stalled")
      .With("target", stall.target)
      .With("own_requests",
            std::int64_t{ this->context.loads.OwnRequests(stall.target) })
      .With("streams", std::int64_t{ stall.startedResponses })
      .With("silent_ms", stall.silence / milliseconds(1))
      .With("check_interval_ms", findings.checkInterval / milliseconds(1))
      .Info();
    this->context.counters.Add("targets_stalled");
    this->HedgeCallsTo(stall.target);
  }
}

void
StallTask::ReportSuspected(const std::vector<std::string>& aSuspected,
                           Instant aNow)
{
  std::vector<std::string> targets;
  for (const std::string& target : aSuspected) {
    // The silence of a target that this node cannot reach says nothing about
    // the target.
    if (!IsNodeCandidate(target) &&
        !this->context.reach.IsUnreachable(target)) {
      targets.push_back(target);
    }
  }
  const bool isSilent =
    aNow - this->context.stalls.LastProgressAt() >= kMaxSilence;
  for (const std::string& target : targets) {
    this->planner.ProbeSuspectedTarget(target);
    if (isSilent) {
      this->reach.CheckSuspected(target, aNow);
    }
  }
  if (!targets.empty()) {
    this->follower.ReportStalls(std::move(targets));
  }
}

void
StallTask::HedgeCallsTo(const std::string& aTarget)
{
  const auto [first, last] = this->context.running.equal_range(aTarget);
  for (auto it = first; it != last; ++it) {
    it->second->HedgeCurrentCall(RequestFlow::HedgeReason::kTargetStalled);
  }
}

} // namespace apricottrack
