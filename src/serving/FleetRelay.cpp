#include "serving/FleetRelay.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "config/CapacityShares.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Times the number of nodes: minimum interval between two wake-ups of all
/// waiting queries. Changes are batched for this long, which bounds the share
/// of CPU time spent on answers.
constexpr Duration kWakeIntervalPerNode = microseconds(1200);

/// Older reports of target loads are not relayed.
constexpr Duration kMaxLoadReportAge = milliseconds(700);

/// What was heard about targets' limits longer ago is not relayed; nodes query
/// several times in this time.
constexpr Duration kMaxLimitAge = milliseconds(1500);

/// Longest time that a query is held, whatever its sender asks for.
constexpr Duration kMaxQueryWait = seconds(2);

/// Largest catalog, in bytes, that is sent to all nodes without delay. A larger
/// one would occupy this VM's link and CPU and delay target changes.
constexpr std::size_t kMaxUnpacedCatalogBytes = std::size_t{ 64 } * 1024;
/// Minimum interval between two sends of a larger catalog, which only nodes
/// that cannot reach the store receive.
constexpr Duration kLargeCatalogInterval = milliseconds(60);

/// Nodes that one node may forward requests to, until its next query.
constexpr std::size_t kForwardingNodes = 6;

std::optional<double>
LinkBytesPerSecond(const ServingSettings& aSettings)
{
  constexpr double kBytesPerMegabit = 125'000;
  return aSettings.linkMbps
           ? std::optional(*aSettings.linkMbps * kBytesPerMegabit)
           : std::nullopt;
}

} // namespace

FleetRelay::FleetRelay(ServingContext& aContext,
                       const CatalogTask& aCatalog,
                       const FleetTask& aFleet,
                       PlannerTask& aPlanner,
                       QuarantineTask& aQuarantine)
  : context(aContext)
  , catalog(aCatalog)
  , fleet(aFleet)
  , planner(aPlanner)
  , quarantine(aQuarantine)
  , source(RandomId())
  , catalogBudget(RelayBudget::Options{
      .linkBytesPerSecond = LinkBytesPerSecond(*aContext.settings.serving) })
{
}

Result<void>
FleetRelay::Start()
{
  auto newServer = PeerServer::Make(
    this->context.executor,
    PeerServer::Options{ .address = this->context.settings.peerListen,
                         .maxConnections =
                           SharesOf(this->context.settings).peerConnections,
                         .memory = &this->context.callerMemory },
    [this](PeerMessage aQuestion) -> Task<std::optional<PeerMessage>> {
      co_return co_await this->HandleMessage(std::move(aQuestion));
    });
  if (!newServer) {
    return tl::unexpected(newServer.error());
  }
  this->server = *newServer;
  return {};
}

void
FleetRelay::Publish(Instant aNow)
{
  this->publishedFencingToken = this->planner.FencingToken();
  std::vector<TargetRecord> records;
  for (const std::string& id : this->context.candidates.TargetIds()) {
    if (const TargetRecord* const record = this->context.fleet.Find(id)) {
      records.push_back(*record);
    }
  }
  this->published.ReplaceAll(
    std::move(records), Fleet::Removal::kImmediate, aNow);
  if (this->publishedBroken != this->context.broken) {
    this->publishedBroken = this->context.broken;
    this->published.MarkChanged();
  }
}

bool
FleetRelay::MayAnswer(Instant aNow)
{
  if (!this->planner.HasCurrentFleet()) {
    return false;
  }
  if (this->publishedFencingToken != this->planner.FencingToken()) {
    this->Publish(aNow);
  }
  return true;
}

void
FleetRelay::OnFleetChange()
{
  if (this->planner.HasCurrentFleet()) {
    const std::uint64_t before = this->published.Sequence();
    this->Publish(MonotonicNow());
    if (this->published.Sequence() != before) {
      this->NotifyWaitingNodes();
    }
  }
}

void
FleetRelay::NotifyWaitingNodes()
{
  if (this->wakeScheduled) {
    return;
  }
  const Instant now = MonotonicNow();
  const Duration minInterval =
    kWakeIntervalPerNode * this->context.nodeCount.value_or(1);
  if (now - this->lastWakeAt >= minInterval) {
    this->WakeWaitingQueries();
    return;
  }
  this->wakeScheduled = true;
  asio::co_spawn(
    this->context.executor,
    [this, remaining = minInterval - (now - this->lastWakeAt)]() -> Task<void> {
      co_await this->WakeAfterDelay(remaining);
    },
    asio::detached);
}

Task<void>
FleetRelay::WakeAfterDelay(Duration aDelay)
{
  asio::steady_timer timer(this->context.executor, aDelay);
  co_await timer.async_wait(kAsTuple);
  this->wakeScheduled = false;
  this->WakeWaitingQueries();
}

void
FleetRelay::WakeWaitingQueries()
{
  this->lastWakeAt = MonotonicNow();
  for (asio::steady_timer* const timer : this->waitingQueries) {
    timer->cancel();
  }
}

Task<std::optional<PeerMessage>>
FleetRelay::HandleMessage(PeerMessage aQuestion)
{
  if (const auto* const notice = std::get_if<StallNotice>(&aQuestion)) {
    for (const std::string& target : notice->targets) {
      this->planner.ProbeSuspectedTarget(target);
    }
    co_return PeerMessage(Receipt{});
  }
  if (auto* const question = std::get_if<FleetQuestion>(&aQuestion)) {
    FleetAnswer answer =
      co_await this->HandleFleetQuestion(std::move(*question));
    co_return PeerMessage(std::move(answer));
  }
  LogLine("peer_question_unknown").Warn();
  co_return std::nullopt;
}

bool
FleetRelay::HasChanges(const FleetQuestion& aQuestion, Instant aNow)
{
  return !this->MayAnswer(aNow) || aQuestion.source != this->source ||
         aQuestion.sequence != this->published.Sequence() ||
         aQuestion.catalogRevision < this->catalog.KnownRevision();
}

Task<FleetAnswer>
FleetRelay::HandleFleetQuestion(FleetQuestion aQuestion)
{
  const Instant now = MonotonicNow();
  this->planner.RecordDemands(
    aQuestion.node, std::move(aQuestion.demands), now);
  this->quarantine.RecordReports(aQuestion, now);
  this->UpdateForwardingNodes(aQuestion, now);
  for (const LoadSample& sample : aQuestion.loads) {
    this->context.loads.OnForwardedReport(sample, now);
  }
  for (const LimitSample& sample : aQuestion.limits) {
    this->context.limits.OnForwarded(sample, now);
  }
  if (!this->HasChanges(aQuestion, now)) {
    asio::steady_timer timer(this->context.executor,
                             std::min(aQuestion.wait, kMaxQueryWait));
    this->waitingQueries.insert(&timer);
    co_await timer.async_wait(kAsTuple);
    this->waitingQueries.erase(&timer);
  }
  co_return this->BuildAnswer(aQuestion, now, MonotonicNow());
}

void
FleetRelay::UpdateForwardingNodes(const FleetQuestion& aQuestion, Instant aNow)
{
  const std::string& ownName = this->context.settings.node;
  this->forwardingNodes.OnReport(
    aQuestion.node, aQuestion.forwardAddress, aNow);
  this->forwardingNodes.OnReport(ownName, this->context.ForwardAddress(), aNow);
  if (this->planner.IsPlanner()) {
    this->context.forwardingNodes = this->forwardingNodes.Sample(
      ownName, kForwardingNodes, aNow, this->context.random);
  }
}

bool
FleetRelay::TryReserveCatalogSend(const FleetQuestion& aQuestion, Instant aNow)
{
  const std::size_t size = this->catalog.DocumentText().size();
  if (size <= kMaxUnpacedCatalogBytes &&
      this->catalogBudget.TryTake(size, aNow)) {
    return true;
  }
  if (!aQuestion.wantsCatalog || aNow < this->nextLargeCatalogAt) {
    return false;
  }
  this->nextLargeCatalogAt = aNow + kLargeCatalogInterval;
  return true;
}

FleetAnswer
FleetRelay::BuildAnswer(const FleetQuestion& aQuestion,
                        Instant aAskedAt,
                        Instant aNow)
{
  const bool leads = this->MayAnswer(aNow);
  FleetAnswer answer{
    .source = this->source,
    .leads = leads,
    .sequence = this->published.Sequence(),
    .catalogRevision = this->catalog.KnownRevision(),
    .catalogAge = this->context.catalog.WasVerified()
                    ? this->context.catalog.VerificationAge(aAskedAt)
                    : kUnverifiedAge,
    .fleetAge = aNow - this->fleet.LastContactAt(),
  };
  if (!answer.leads) {
    return answer;
  }
  answer.nodes = this->planner.NodeCount(aNow);
  answer.loads =
    this->context.loads.SamplesSince(aNow - kMaxLoadReportAge, true, aNow);
  answer.limits =
    this->context.limits.SamplesSince(aNow - kMaxLimitAge, true, aNow);
  answer.demands = this->context.fleetDemands;
  answer.forwardAddresses = this->forwardingNodes.Sample(
    aQuestion.node, kForwardingNodes, aNow, this->context.random);
  const auto& evacuated = this->context.evacuations.Evacuated();
  answer.evacuatedZones.assign(evacuated.begin(), evacuated.end());
  answer.evacuationRevision = this->context.evacuations.KnownRevision();
  answer.coldTargets = this->context.limits.ColdTargets(aNow);
  answer.suspectedParts = this->context.crashRecorder.Suspects();
  answer.quarantinedParts = this->context.quarantine.Combinations(aNow);
  if (aQuestion.catalogRevision < answer.catalogRevision &&
      this->TryReserveCatalogSend(aQuestion, aNow)) {
    answer.catalog = this->catalog.DocumentText();
  }
  answer.broken.assign(this->context.broken.begin(),
                       this->context.broken.end());
  for (const auto& [id, record] : this->published.All()) {
    if (record.membership) {
      answer.vouched.push_back(ReplicaKey(*record.membership));
    }
  }
  const std::uint64_t since =
    aQuestion.source == this->source ? aQuestion.sequence : 0;
  if (!this->published.ChangesSince(since, answer.targets, answer.gone)) {
    answer.complete = true;
    for (const auto& [id, record] : this->published.All()) {
      answer.targets.push_back(record);
    }
  }
  return answer;
}

} // namespace apricottrack
