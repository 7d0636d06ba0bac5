#include "serving/ReachTask.h"

#include "base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace apricottrack {

namespace asio = boost::asio;

ReachTask::ReachTask(ServingContext& aContext,
                     Options aOptions,
                     std::function<void()> aOnJudged)
  : context(aContext)
  , options(aOptions)
  , onJudged(std::move(aOnJudged))
{
}

void
ReachTask::CheckNow()
{
  TargetReach& reach = this->context.reach;
  if (reach.HasFailures()) {
    std::vector<std::string> targets;
    targets.reserve(this->context.fleet.All().size());
    for (const auto& [id, record] : this->context.fleet.All()) {
      targets.push_back(id);
    }
    for (const std::string& target :
         reach.DueChecks(targets, MonotonicNow(), this->context.random)) {
      this->StartCheck(target);
    }
  }
  const bool isIsolated = reach.IsIsolated();
  const bool isInDoubt = reach.IsInDoubt();
  if (isIsolated != this->wasIsolated) {
    LogLine(isIsolated ? "node_isolated" : "node_reaches_targets").Warn();
    this->context.counters.Set("node_isolated", {}, isIsolated ? 1 : 0);
  }
  const bool isJudged =
    isIsolated != this->wasIsolated || (this->wasInDoubt && !isInDoubt);
  this->wasIsolated = isIsolated;
  this->wasInDoubt = isInDoubt;
  if (isJudged) {
    this->onJudged();
  }
}

void
ReachTask::CheckSuspected(const std::string& aTarget, Instant aNow)
{
  if (aNow - this->suspicionCheckedAt < this->options.suspicionInterval ||
      this->context.reach.IsUnreachable(aTarget)) {
    return;
  }
  this->suspicionCheckedAt = aNow;
  this->StartCheck(aTarget);
}

void
ReachTask::StartCheck(const std::string& aTarget)
{
  const TargetRecord* const record = this->context.fleet.Find(aTarget);
  if (record == nullptr) {
    return;
  }
  asio::co_spawn(
    this->context.executor,
    [this, aTarget, address = record->address]() -> Task<void> {
      co_await this->Check(aTarget, address);
    },
    asio::detached);
}

Task<void>
ReachTask::Check(std::string aTarget, std::string aAddress)
{
  HttpConnection connection(this->context.executor, std::move(aAddress));
  this->context.counters.Add("reach_checks");
  const auto connected =
    co_await connection.Connect(this->options.connectTimeout);
  const Instant now = MonotonicNow();
  TargetReach& reach = this->context.reach;
  const bool wasUnreachable = reach.IsUnreachable(aTarget);
  reach.OnCheckEnded(aTarget, connected.has_value(), now);
  if (!connected && !wasUnreachable) {
    LogLine("target_unreachable")
      .With("target", aTarget)
      .With(connected.error())
      .Info();
    reach.OnConnectFailed(aTarget, now);
  }
  this->CheckNow();
}

} // namespace apricottrack
