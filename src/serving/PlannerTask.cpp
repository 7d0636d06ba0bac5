#include "serving/PlannerTask.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "kv/PlatformKeys.h"
#include "replicas/EpochNumbering.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Longest delay of the first attempt at the lease. Large VMs try first, as
/// planning needs CPU time.
constexpr Duration kLargeVmMaxFirstDelay = milliseconds(20);
constexpr Duration kSmallVmMaxFirstDelay = milliseconds(400);
/// Smallest share of a CPU core that makes a VM a large one.
constexpr double kLargeCpuShare = 0.2;

/// Between two lease attempts of a small VM. Most nodes are small, and store
/// calls are charged for.
constexpr Duration kSmallVmTryInterval = milliseconds(500);
/// Between two checks of how late the event loop runs.
constexpr Duration kDelayCheckInterval = milliseconds(10);
/// The same on nodes that do not plan.
constexpr Duration kIdleDelayCheckInterval = milliseconds(500);
/// Probes that were in flight while the process was not scheduled end within
/// this time after a late round.
constexpr Duration kLocalDelayRecovery = milliseconds(300);
Duration
FirstDelay(ServingContext& aContext)
{
  const double share = aContext.settings.serving->cpuShare;
  const Duration maxDelay =
    share >= kLargeCpuShare ? kLargeVmMaxFirstDelay : kSmallVmMaxFirstDelay;
  // Small VMs wait for at least 0.3 of their maximum, so large ones try first.
  std::uniform_real_distribution<double> delayShareDistribution(
    share >= kLargeCpuShare ? 0.0 : 0.3, 1.0);
  return FromSeconds(ToSeconds(maxDelay) *
                     delayShareDistribution(aContext.random));
}

/// The demand of a node that has not reported for longer is ignored.
constexpr Duration kDemandLifetime = seconds(2);

/// Shortest lease that the store grants. Until it expires, no node can replace
/// a planner that died.
constexpr std::int64_t kLeaseSeconds = 1;
/// Mean time between two renewals, and between two attempts of a large VM.
constexpr Duration kLeaseRenewInterval = milliseconds(300);

} // namespace

PlannerTask::PlannerTask(ServingContext& aContext,
                         KeyValueStore& aStore,
                         Options aOptions,
                         Hooks aHooks)
  : context(aContext)
  , options(aOptions)
  , hooks(std::move(aHooks))
  , succession(PlannerSuccession::Options{ .isLargeVm = this->IsLargeVm() })
  , lease(
      aContext.executor,
      aStore,
      LeaseTask::Options{
        .key = std::string(keys::kPlannerLeaseKey),
        // The random id distinguishes two runs of the same node.
        .value = fmt::format("{} {}", aContext.settings.peerListen, RandomId()),
        .ttlSeconds = kLeaseSeconds,
        .renewInterval = kLeaseRenewInterval,
        .acquireInterval = aContext.settings.serving->cpuShare >= kLargeCpuShare
                             ? kLeaseRenewInterval
                             : kSmallVmTryInterval,
        .mayQuery = [this] { return this->MayQueryLease(MonotonicNow()); },
        .mayAcquire =
          [this] {
            return this->succession.MayAcquire(
              { .entriesUsable = this->hooks.mayAcquire(),
                .plannerResponds = this->hooks.plannerResponds(),
                .isIsolated = this->context.reach.IsIsolated(),
                .trustsStore = this->hooks.trustsStore() },
              MonotonicNow());
          },
        .onOtherHolder =
          [this](const std::string& aValue) {
            this->succession.OnOtherHolder(MonotonicNow());
            this->hooks.onOtherHolder(aValue.substr(0, aValue.find(' ')));
          },
        .onReadFailure =
          [this] { this->succession.OnStoreFailure(MonotonicNow()); },
        .firstDelay = FirstDelay(aContext) })
  , pool(aContext.executor,
         HttpConnectionPool::Options{ .idlePerAddress = 2,
                                      .idleTimeout = seconds(4),
                                      .connectTimeout =
                                        this->options.urgentTimeout })
{
}

bool
PlannerTask::IsLargeVm() const
{
  return this->context.settings.serving->cpuShare >= kLargeCpuShare;
}

bool
PlannerTask::MayQueryLease(Instant aNow)
{
  if (!this->hooks.mayQuery()) {
    this->succession.OnPlannerFollowed(aNow);
    return false;
  }
  return this->succession.MayQuery(aNow);
}

void
PlannerTask::Start()
{
  this->succession.OnStart(!this->context.settings.serving->firstStart,
                           MonotonicNow());
  this->lease.Start();
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->MeasureDelays(); },
    asio::detached);
}

void
PlannerTask::Release()
{
  this->lease.Release();
  this->isPlanner = false;
}

Task<void>
PlannerTask::MeasureDelays()
{
  asio::steady_timer timer(this->context.executor);
  for (;;) {
    const Duration interval =
      this->isPlanner ? kDelayCheckInterval : kIdleDelayCheckInterval;
    const Instant dueAt = MonotonicNow() + interval;
    timer.expires_at(dueAt);
    co_await timer.async_wait(kAsTuple);
    const Instant now = MonotonicNow();
    this->delays.OnTimer(now - dueAt, now);
  }
}

Task<void>
PlannerTask::Run()
{
  for (;;) {
    const Duration interval = this->pacer.Interval();
    asio::steady_timer timer(this->context.executor, interval);
    const Instant dueAt = MonotonicNow() + interval;
    co_await timer.async_wait(kAsTuple);
    const Instant now = MonotonicNow();
    // The process was not scheduled, so responses of targets may be waiting
    // unread.
    if (this->pacer.OnRound(now - dueAt)) {
      this->localDelayUntil = now + kLocalDelayRecovery;
    }
    this->RunRound(now);
  }
}

void
PlannerTask::RunRound(Instant aNow)
{
  this->ResignIfIsolated(aNow);
  const bool holdsLease = this->lease.HasLease() && !this->context.draining;
  if (holdsLease && this->fencingToken != this->lease.AcquiredRevision()) {
    this->BecomePlanner(aNow);
  }
  if (!holdsLease && this->isPlanner) {
    this->isPlanner = false;
    this->succession.OnTermEnded(aNow);
    this->hooks.onPlannerChange(false);
    LogLine("planner_lost").With("fence", this->fencingToken).Info();
  }
  const CatalogPointer& catalog = this->context.catalog.Current();
  const bool knowsFleet = this->continuesTerm || this->HasCurrentFleet();
  if (catalog == nullptr || !this->isPlanner || !knowsFleet) {
    return;
  }
  if (const int nodeCount = this->NodeCount(aNow); nodeCount > 0) {
    this->context.nodeCount = nodeCount;
  }
  this->context.fleetDemands = this->TotalDemands(aNow);
  for (const CatalogService& service : catalog->Contents().services) {
    if (service.engine) {
      this->PlanService(service, aNow);
    }
  }
}

bool
PlannerTask::HasCurrentFleet() const
{
  return this->isPlanner &&
         this->hooks.fleetLastContactAt() > this->plannerSince;
}

void
PlannerTask::RecordDemands(const std::string& aNode,
                           ModelDemands aDemands,
                           Instant aNow)
{
  this->demandsByNode[aNode] = { .demands = std::move(aDemands),
                                 .receivedAt = aNow };
}

int
PlannerTask::NodeCount(Instant aNow) const
{
  const auto reporting =
    std::count_if(this->demandsByNode.begin(),
                  this->demandsByNode.end(),
                  [&](const auto& aEntry) {
                    return aNow - aEntry.second.receivedAt <= kDemandLifetime;
                  });
  const int count = 1 + static_cast<int>(reporting);
  if (aNow - this->plannerSince > kDemandLifetime) {
    return count;
  }
  // Not all nodes have had the time to report to this planner.
  return this->nodeCountAtTakeover > 0
           ? std::max(count, this->nodeCountAtTakeover)
           : 0;
}

ModelDemands
PlannerTask::TotalDemands(Instant aNow) const
{
  ModelDemands total = this->context.demand.Demands(aNow);
  for (const auto& [node, entry] : this->demandsByNode) {
    if (aNow - entry.receivedAt > kDemandLifetime) {
      continue;
    }
    for (const auto& [model, demand] : entry.demands) {
      ModelDemand& sum = total[model];
      sum.requests += demand.requests;
      sum.promptTokens += demand.promptTokens;
      sum.outputTokens += demand.outputTokens;
    }
  }
  return total;
}

void
PlannerTask::BecomePlanner(Instant aNow)
{
  this->continuesTerm = this->isPlanner || this->succession.ContinuesTerm(aNow);
  this->fencingToken = this->lease.AcquiredRevision();
  this->issuedEpochs = 0;
  this->plannerSince = aNow;
  this->termTokens.insert(this->fencingToken);
  this->nodeCountAtTakeover = this->context.nodeCount.value_or(0);
  this->isPlanner = true;
  this->succession.OnTermStarted();
  // Another planner may have held the lease in between unnoticed; reports from
  // now on show its orders.
  this->probes.clear();
  if (!this->continuesTerm) {
    this->StartAfresh(aNow);
  }
  LogLine("planner_leads")
    .With("fence", this->fencingToken)
    .With("continues", std::int64_t{ this->continuesTerm })
    .Info();
  this->hooks.onPlannerChange(true);
}

void
PlannerTask::StartAfresh(Instant aNow)
{
  this->continuesTerm = false;
  this->plannerSince = aNow;
  this->termTokens = { this->fencingToken };
  this->issuedOrders.Clear();
  this->planners.clear();
  this->probes.clear();
  this->lastEntries.clear();
}

bool
PlannerTask::ShowsOtherPlanner(const PlannerMembers& aMembers) const
{
  return std::any_of(aMembers.begin(), aMembers.end(), [&](const auto& aEntry) {
    const auto& membership = aEntry.second.record.membership;
    const std::int64_t token =
      membership ? EpochNumbering::TokenOf(membership->epoch) : 0;
    return token > *this->termTokens.begin() &&
           !this->termTokens.contains(token);
  });
}

std::int64_t
PlannerTask::NextEpoch()
{
  return EpochNumbering::Epoch(this->fencingToken, ++this->issuedEpochs);
}

void
PlannerTask::PlanService(const CatalogService& aService, Instant aNow)
{
  const PlannerMembers members = this->CollectServiceTargets(aService, aNow);
  if (members.empty()) {
    return;
  }
  const FleetPlannerView view{
    .service = aService,
    .members = members,
    .demands = this->context.fleetDemands,
    .beforeTraffic =
      this->context.settings.serving->firstStart && !this->context.requestsSeen,
    .entriesSettled = this->continuesTerm || this->hooks.entriesSettled(),
    .longestUnrepeatableWork = this->LongestUnrepeatableWork(aService, aNow),
  };
  auto& planner = this->planners[aService.name];
  if (planner == nullptr) {
    planner = std::make_unique<FleetPlanner>(
      FleetPlanner::Options{}, [this] { return this->NextEpoch(); });
  }
  if (this->continuesTerm && this->ShowsOtherPlanner(members)) {
    LogLine("planner_term_interrupted").With("service", aService.name).Warn();
    this->StartAfresh(aNow);
    return;
  }
  this->ProbeTargets(aService, members, aNow);
  // What a node sees that reaches no target, or may reach none, says nothing
  // about the targets.
  if (this->context.reach.IsIsolated() || this->context.reach.IsInDoubt() ||
      this->AreMostUnresponsive(members)) {
    return;
  }
  if (!view.beforeTraffic &&
      !this->takeoverGuard.MayOrder(
        this->plannerSince, this->HaveAllReported(members), aNow)) {
    return;
  }
  for (ReplicaOrder& order : planner->PlanRound(view, aNow)) {
    order.fencingToken = this->fencingToken;
    asio::co_spawn(
      this->context.executor,
      [this, order = std::move(order)]() -> Task<void> {
        co_await this->IssueOrder(order);
      },
      asio::detached);
  }
  this->PublishReplicas(*planner, members, aNow);
  this->LogView(aService, members, aNow);
}

} // namespace apricottrack
