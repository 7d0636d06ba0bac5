#include "base/Log.h"
#include "http/ParallelFetch.h"
#include "serving/PlannerTask.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

// The part of PlannerTask that calls targets, logs and publishes results.
namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Between two planner_view lines of a service.
constexpr Duration kViewLogInterval = seconds(1);

} // namespace

void
PlannerTask::LogView(const CatalogService& aService,
                     const PlannerMembers& aMembers,
                     Instant aNow)
{
  Instant& lastLoggedAt = this->viewLoggedAt[aService.name];
  if (aNow - lastLoggedAt < kViewLogInterval) {
    return;
  }
  lastLoggedAt = aNow;
  int unresponsive = 0;
  int leaving = 0;
  for (const auto& [id, member] : aMembers) {
    unresponsive += member.unresponsive ? 1 : 0;
    leaving += member.record.leaving ? 1 : 0;
  }
  const FleetPlanner& planner = *this->planners[aService.name];
  LogLine line("planner_view");
  line.With("service", aService.name)
    .With("targets", static_cast<std::int64_t>(aMembers.size()))
    .With("silent", std::int64_t{ unresponsive })
    .With("leaving", std::int64_t{ leaving });
  std::size_t placedTargets = 0;
  for (const auto& [name, replica] : planner.Replicas()) {
    placedTargets += replica.members.size();
  }
  line.With("placed", static_cast<std::int64_t>(placedTargets))
    .With("free_by_domain", planner.DescribeIdleTargets(aMembers));
  const ModelDemands demands = this->TotalDemands(aNow);
  const auto saturation = [&](const ReplicaModel& aModel) {
    const auto demand = demands.find(aModel.name);
    return demand == demands.end()
             ? 0.0
             : EngineCost(*aService.engine, aModel)
                 .Saturation(
                   demand->second,
                   planner.CountReplicas(aModel.name, ReplicaPhase::kServing));
  };
  for (const ReplicaModel& model : aService.engine->models) {
    using enum ReplicaPhase;
    line.With(model.name,
              fmt::format("serving:{},opening:{},joining:{},closing:{},"
                          "limited:{},strain:{:.2f}",
                          planner.CountReplicas(model.name, kServing),
                          planner.CountReplicas(model.name, kOpening),
                          planner.CountReplicas(model.name, kJoining),
                          planner.CountReplicas(model.name, kClosing),
                          planner.CountLimitedReplicas(model.name, aMembers),
                          saturation(model)));
  }
  line.Info();
}

void
PlannerTask::PublishReplicas(const FleetPlanner& aPlanner,
                             const PlannerMembers& aMembers,
                             Instant aNow)
{
  std::set<std::string> broken = aPlanner.BrokenReplicas(aNow);
  std::set<std::string> vouched = aPlanner.ConfirmedReplicas(aMembers);
  if (broken != this->context.broken || vouched != this->context.vouched) {
    this->context.broken = std::move(broken);
    this->context.vouched = std::move(vouched);
    this->hooks.onReplicaChange();
  }
}

bool
PlannerTask::HaveAllReported(const PlannerMembers& aMembers) const
{
  return std::all_of(aMembers.begin(), aMembers.end(), [&](const auto& aEntry) {
    const auto probe = this->probes.find(aEntry.first);
    return aEntry.second.unresponsive ||
           (probe != this->probes.end() && probe->second.report);
  });
}

void
PlannerTask::ProbeTargets(const CatalogService& aService,
                          const PlannerMembers& aMembers,
                          Instant aNow)
{
  const Duration reportInterval =
    std::max<Duration>(this->options.reportInterval,
                       this->options.reportIntervalPerTarget * aMembers.size());
  int remainingProbes = this->options.maxProbesPerRound;
  const bool awaitsSilentTargets =
    this->LongestUnrepeatableWork(aService, aNow) > Duration::zero();
  const std::set<std::string> targetsInProgress =
    this->planners[aService.name]->TargetsChangingState();
  for (const auto& [id, member] : aMembers) {
    const TargetProbe& probe = this->probes[id];
    const bool urgent =
      probe.missedReports > 0 && !probe.IsUnresponsive(this->options.probes);
    // The replica of a target that is not lost may serve again at any time.
    const bool isAwaited = member.unresponsive && !member.lost &&
                           (awaitsSilentTargets || member.brieflySilent);
    const bool orderPending =
      targetsInProgress.contains(id) || member.record.leaving || isAwaited;
    const Duration interval = urgent ? this->options.urgentInterval
                              : orderPending
                                ? this->options.pendingOrderInterval
                                : reportInterval;
    if (!probe.isPending && aNow - probe.probeSentAt >= interval &&
        remainingProbes > 0) {
      --remainingProbes;
      this->StartProbe(id, member.record.address, urgent, aNow);
    }
  }
}

void
PlannerTask::StartProbe(const std::string& aTarget,
                        const std::string& aAddress,
                        bool aUrgent,
                        Instant aNow)
{
  TargetProbe& probe = this->probes[aTarget];
  probe.isPending = true;
  probe.probeSentAt = aNow;
  asio::co_spawn(
    this->context.executor,
    [this, aTarget, aAddress, aUrgent]() -> Task<void> {
      co_await this->ProbeTarget(aTarget, aAddress, aUrgent);
    },
    asio::detached);
}

Task<Result<TargetReport>>
PlannerTask::FetchReport(std::string aTarget,
                         std::string aAddress,
                         bool aUrgent)
{
  HttpRequest request = this->context.protocol.MakeReportRequest(aTarget);
  Result<HttpResponse> reply;
  this->context.counters.Add("report_calls");
  const bool isConfirming = this->probes[aTarget].missedReports > 0;
  if (aUrgent || isConfirming) {
    // A kept connection may have failed although the target has not.
    reply = co_await FetchOnAnyConnection(
      this->pool,
      aAddress,
      std::move(request),
      { .timeout =
          aUrgent ? this->options.urgentTimeout : this->options.reportTimeout },
      isConfirming ? this->options.confirmingConnections : 1);
  } else {
    reply = co_await Fetch(this->pool,
                           aAddress,
                           std::move(request),
                           { .timeout = this->options.reportTimeout });
  }
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  co_return this->context.protocol.ReadReport(*reply, aAddress);
}

Task<void>
PlannerTask::ProbeTarget(std::string aTarget,
                         std::string aAddress,
                         bool aUrgent)
{
  const Instant probeSentAt = MonotonicNow();
  auto report = co_await this->FetchReport(aTarget, aAddress, aUrgent);
  // An ordinary probe of a lost target may time out on a kept connection and
  // again on opening a new one, which is limited to urgentTimeout.
  const Duration maxProbeTime =
    (aUrgent ? this->options.urgentTimeout
             : this->options.reportTimeout + this->options.urgentTimeout) +
    this->options.lateReportThreshold;
  TargetProbe& probe = this->probes[aTarget];
  probe.isPending = false;
  if (report) {
    if (probe.IsUnresponsive(this->options.probes)) {
      LogLine("target_heard_again").With("target", aTarget).Info();
    }
    probe.OnReport(std::move(*report), probeSentAt);
    co_return;
  }
  const Instant now = MonotonicNow();
  if (now - probeSentAt > maxProbeTime || now < this->localDelayUntil) {
    this->context.counters.Add("reports_judged_late");
    co_return;
  }
  const Duration timeout =
    aUrgent ? this->options.urgentTimeout : this->options.reportTimeout;
  if (report.error().timedOut &&
      this->delays.Explain(probeSentAt, timeout, now) &&
      probe.TryExcuse(this->options.probes)) {
    this->context.counters.Add("reports_judged_late");
    co_return;
  }
  if (report.error().code == ErrorCode::kUnreachable) {
    this->context.reach.OnConnectFailed(aTarget, now);
    this->hooks.onConnectFailed();
  }
  // A sound target that is silent still accepts connections.
  probe.OnMissed(probeSentAt, report.error().code == ErrorCode::kTimeout);
  if (!probe.IsUnresponsive(this->options.probes)) {
    this->StartProbe(aTarget, aAddress, true, MonotonicNow());
  } else if (probe.missedReports == this->options.probes.maxMissedReports) {
    LogLine("target_silent")
      .With("target", aTarget)
      .With("timed_out", std::int64_t{ report.error().timedOut })
      .With(report.error())
      .Info();
    this->RunRound(MonotonicNow());
  }
}

Task<Result<HttpResponse>>
PlannerTask::SendOrder(ReplicaOrder aOrder)
{
  const HttpRequest request = this->context.protocol.MakeOrder(aOrder);
  const FetchLimits limits{ .timeout = this->options.orderTimeout };
  auto reply =
    co_await FetchOnIdleConnection(this->pool, aOrder.address, request, limits);
  if (reply && *reply) {
    co_return std::move(*reply);
  }
  if (reply) {
    this->context.counters.Add("orders_sent_again",
                               { { "kind", OrderKindName(aOrder.kind) } });
    LogLine("order_sent_again")
      .With("kind", OrderKindName(aOrder.kind))
      .With("target", aOrder.target)
      .With("replica", aOrder.replica)
      .With("epoch", aOrder.epoch)
      .With(reply->error())
      .Info();
    for (const auto& [service, planner] : this->planners) {
      planner->OnSentAgain(aOrder);
    }
  }
  co_return co_await FetchOnNewConnection(
    this->pool, aOrder.address, request, limits);
}

Task<void>
PlannerTask::IssueOrder(ReplicaOrder aOrder)
{
  this->issuedOrders.OnIssued(aOrder);
  const auto reply = co_await this->SendOrder(aOrder);
  const OrderReply orderReply =
    reply ? this->context.protocol.ReadOrderReply(*reply)
          : OrderReply::kUnknown;
  this->context.counters.Add("orders",
                             { { "kind", OrderKindName(aOrder.kind) },
                               { "reply", OrderReplyName(orderReply) } });
  LogLine("order")
    .With("kind", OrderKindName(aOrder.kind))
    .With("target", aOrder.target)
    .With("replica", aOrder.replica)
    .With("epoch", aOrder.epoch)
    .With("model", aOrder.model)
    .With("fence", aOrder.fencingToken)
    .With("reply", OrderReplyName(orderReply))
    .With("status", reply ? std::int64_t{ reply->result_int() } : 0)
    .Info();
  if (aOrder.fencingToken != this->fencingToken) {
    co_return;
  }
  for (const auto& [service, planner] : this->planners) {
    if (orderReply != OrderReply::kUnknown) {
      planner->OnReply(aOrder, orderReply);
    } else if (!reply && reply.error().code == ErrorCode::kUnreachable) {
      planner->OnNotSent(aOrder);
    } else if (!reply && reply.error().code == ErrorCode::kTimeout) {
      planner->OnNoReply(aOrder);
    }
  }
  if (orderReply == OrderReply::kFenced &&
      this->issuedOrders.ShowsNewerPlanner(aOrder)) {
    this->OnFenced(aOrder);
  }
}

void
PlannerTask::OnFenced(const ReplicaOrder& aRefused)
{
  if (this->isPlanner) {
    LogLine("planner_fenced")
      .With("fence", this->fencingToken)
      .With("target", aRefused.target)
      .With("kind", OrderKindName(aRefused.kind))
      .With("epoch", aRefused.epoch)
      .With("newest_epoch", this->issuedOrders.NewestJoinEpoch(aRefused.target))
      .Warn();
    this->context.counters.Add("planner_fenced");
    this->succession.OnOtherHolder(MonotonicNow());
    this->isPlanner = false;
    this->hooks.onPlannerChange(false);
    this->lease.ClearLease();
  }
}

std::vector<std::string>
PlannerTask::ReplicaMembersOf(const std::string& aHead) const
{
  for (const auto& [service, planner] : this->planners) {
    for (const auto& [name, replica] : planner->Replicas()) {
      if (replica.members.front() == aHead) {
        return replica.members;
      }
    }
  }
  return { aHead };
}

void
PlannerTask::ProbeSuspectedTarget(const std::string& aTarget)
{
  const Instant now = MonotonicNow();
  if (!this->isPlanner || !this->checkLimiter.TryBeginCheck(aTarget, now)) {
    return;
  }
  for (const std::string& member : this->ReplicaMembersOf(aTarget)) {
    const auto found = this->probes.find(member);
    const TargetRecord* const record = this->context.fleet.Find(member);
    if (found != this->probes.end() && record != nullptr &&
        !found->second.isPending) {
      this->StartProbe(member, record->address, true, now);
    }
  }
}

} // namespace apricottrack
