#include "serving/FollowTask.h"

#include "base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Timeout of a stall notice; a later one is useless.
constexpr Duration kNoticeTimeout = milliseconds(300);

} // namespace

FollowTask::FollowTask(ServingContext& aContext,
                       CatalogTask& aCatalog,
                       FleetTask& aFleet,
                       Options aOptions,
                       std::function<void()> aOnChange)
  : context(aContext)
  , catalog(aCatalog)
  , fleet(aFleet)
  , options(aOptions)
  , onChange(std::move(aOnChange))
{
}

void
FollowTask::Start()
{
  // At the first start of a deployment there is time to wait `plannerTimeout`
  // for a planner before the fleet is read from the store. A node that restarts
  // has callers waiting.
  const bool isFirstStart = this->context.settings.serving->firstStart;
  const Duration storeDelay =
    isFirstStart ? this->options.plannerTimeout : this->options.restartDelay;
  this->lastResponseAt =
    MonotonicNow() - this->options.plannerTimeout + storeDelay;
  this->SetFollowsPlanner(false);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

void
FollowTask::SetPlannerAddress(const std::string& aAddress)
{
  if (aAddress == this->plannerAddress) {
    return;
  }
  LogLine("planner_known").With("address", aAddress).Info();
  this->plannerAddress = aAddress;
}

void
FollowTask::SetIsPlanner(bool aIsPlanner)
{
  this->leads = aIsPlanner;
  this->fleet.SetIsPlanner(aIsPlanner);
  this->catalog.SetIsPlanner(aIsPlanner);
  this->plannerAddress.clear();
  this->SetFollowsPlanner(false);
}

void
FollowTask::SetFollowsPlanner(bool aFollowsPlanner)
{
  const Instant now = MonotonicNow();
  this->followsPlanner = aFollowsPlanner;
  if (aFollowsPlanner) {
    this->fleet.OnPlannerFollowed();
    this->lastResponseAt = now;
    if (!this->firstFollowedAt) {
      this->firstFollowedAt = now;
      // The answer was applied before, and there may be no change for long.
      this->onChange();
    }
  }
  const bool mustReadStore =
    this->leads || (!aFollowsPlanner && !this->AwaitsPlannerListing(now) &&
                    now - this->lastResponseAt > this->options.plannerTimeout);
  if (mustReadStore != this->readsStore) {
    LogLine(mustReadStore ? "asking_store" : "following")
      .With("planner", this->plannerAddress)
      .With("heard_ms_ago",
            std::int64_t{ (now - this->lastResponseAt) / milliseconds(1) })
      .Info();
  }
  this->readsStore = mustReadStore;
  if (mustReadStore) {
    // The store lists more targets than the planner's node sends, so increments
    // do not apply to them.
    this->source.clear();
    this->sequence = 0;
  }
  // The catalog is read without waiting for `plannerTimeout`: a change must not
  // wait until another node is the planner, and a read is a single store call.
  this->catalog.SetActive(!aFollowsPlanner);
  this->fleet.SetActive(mustReadStore, this->HasFollowedRecently(now));
}

bool
FollowTask::AwaitsPlannerListing(Instant aNow) const
{
  return this->firstFollowedAt && this->PlannerResponds() &&
         (this->catalog.HasReadFailed() ||
          aNow - this->catalog.RecoveredAt() < this->options.plannerListTime);
}

bool
FollowTask::HasFollowedRecently(Instant aNow) const
{
  return this->firstFollowedAt &&
         aNow - this->lastResponseAt < this->options.maxFollowGap;
}

bool
FollowTask::PlannerResponds() const
{
  return MonotonicNow() - this->lastLeadingAnswerAt <
         2 * (this->options.wait + this->options.replyMargin);
}

Task<void>
FollowTask::Run()
{
  for (;;) {
    bool responded = false;
    if (!this->plannerAddress.empty()) {
      responded = co_await this->QueryPlanner();
    }
    this->SetFollowsPlanner(responded);
    if (!responded) {
      asio::steady_timer timer(this->context.executor,
                               this->options.retryDelay);
      co_await timer.async_wait(kAsTuple);
    }
  }
}

Task<bool>
FollowTask::QueryPlanner()
{
  if (this->queryLink == nullptr ||
      this->queryLink->Address() != this->plannerAddress) {
    this->queryLink =
      std::make_unique<PeerLink>(this->context.executor, this->plannerAddress);
  }
  const Instant now = MonotonicNow();
  FleetQuestion question{
    .node = this->context.settings.node,
    .source = this->source,
    .sequence = this->sequence,
    .catalogRevision = this->catalog.SeenRevision(),
    .wait = this->options.wait,
    .demands = this->context.demand.Demands(now),
    .wantsCatalog = this->wantsCatalog,
    .loads = this->context.loads.SamplesSince(this->querySentAt, false, now),
    .limits = this->context.limits.SamplesSince(this->querySentAt, false, now),
    .forwardAddress = this->context.ForwardAddress()
  };
  this->AddCrashReports(question, now);
  this->querySentAt = now;
  const auto reply = co_await this->queryLink->SendRequest(
    PeerMessage(std::move(question)),
    this->options.wait + this->options.replyMargin);
  if (!reply) {
    co_return false;
  }
  const auto* const answer = std::get_if<FleetAnswer>(&*reply);
  if (answer == nullptr || !answer->leads) {
    co_return false;
  }
  this->lastLeadingAnswerAt = MonotonicNow();
  // A new planner gets all recent losses with the next query.
  this->lossesReportedUpTo = answer->source == this->crashReportsSource
                               ? this->lossesInQueryUpTo
                               : Instant{};
  this->crashReportsSource = answer->source;
  const bool hasRecentReads =
    answer->catalogAge < this->options.maxStoreReadAge &&
    answer->fleetAge < this->options.maxStoreReadAge;
  if (this->leads) {
    co_return false;
  }
  // The planner's node sends fewer targets than this node has read.
  if (!this->readsStore || hasRecentReads) {
    this->ApplyTargets(*answer, MonotonicNow());
  }
  this->ApplyAnswer(*answer, MonotonicNow());
  // The query arrived at the planner's node after it was sent, so the age that
  // the answer states is counted back from the sending time. The verification
  // then never appears more recent than it is, whatever the network delay was.
  const Instant verifiedAt = answer->catalogAge < kUnverifiedAge
                               ? this->querySentAt - answer->catalogAge
                               : CatalogHolder::kUnproven;
  if (!answer->catalog.empty()) {
    this->catalog.ApplyRelayed(
      answer->catalogRevision, answer->catalog, verifiedAt);
  }
  // Reads of its own show the evacuations that a planner's node of an earlier
  // version does not send.
  const bool isComplete = !this->context.settings.serving->evacuationBound ||
                          answer->evacuationRevision > 0;
  if (isComplete && answer->catalogRevision == this->catalog.KnownRevision()) {
    this->catalog.ConfirmRelayed(verifiedAt);
  } else if (answer->catalogRevision > this->catalog.SeenRevision()) {
    const bool succeeded = co_await this->ReadCatalogFromStore();
    if (!succeeded) {
      this->fleet.OnFleetReplaced();
      co_return false;
    }
  }
  co_return hasRecentReads && !this->leads;
}

void
FollowTask::AddCrashReports(FleetQuestion& aQuestion, Instant aNow)
{
  aQuestion.lostRequests = this->context.crashRecorder.NextReport(
    this->lossesReportedUpTo, aNow, this->lossesInQueryUpTo);
  aQuestion.partAnswers = this->context.crashRecorder.SuspectAnswers(aNow);
  if (this->lossesReportedUpTo == Instant{}) {
    aQuestion.quarantinedParts = this->context.quarantine.Combinations(aNow);
  }
}

Task<bool>
FollowTask::ReadCatalogFromStore()
{
  if (MonotonicNow() < this->nextCatalogReadAt) {
    co_return false;
  }
  this->wantsCatalog = !co_await this->catalog.ReadChanged();
  if (this->wantsCatalog) {
    this->nextCatalogReadAt =
      MonotonicNow() + this->options.catalogRetryInterval;
  }
  co_return !this->wantsCatalog;
}

void
FollowTask::ApplyTargets(const FleetAnswer& aAnswer, Instant aNow)
{
  if (aAnswer.complete) {
    this->context.fleet.ReplaceAll(
      aAnswer.targets, Fleet::Removal::kImmediate, aNow);
  } else {
    for (const TargetRecord& record : aAnswer.targets) {
      this->context.fleet.Put(record, aNow);
    }
    for (const std::string& id : aAnswer.gone) {
      this->context.fleet.RemoveNow(id);
    }
  }
  this->source = aAnswer.source;
  this->sequence = aAnswer.sequence;
}

void
FollowTask::ApplyAnswer(const FleetAnswer& aAnswer, Instant aNow)
{
  if (aAnswer.nodes > 0) {
    this->context.nodeCount = aAnswer.nodes;
  }
  this->context.fleetDemands = aAnswer.demands;
  // A new planner has had no reports of the other nodes yet.
  if (!aAnswer.forwardAddresses.empty()) {
    this->context.forwardingNodes = aAnswer.forwardAddresses;
  }
  for (const LoadSample& sample : aAnswer.loads) {
    this->context.loads.OnForwardedReport(sample, aNow);
  }
  for (const LimitSample& sample : aAnswer.limits) {
    this->context.limits.OnForwarded(sample, aNow);
  }
  for (const ColdSample& sample : aAnswer.coldTargets) {
    this->context.limits.OnCold(
      sample.target, sample.rate, aNow + sample.remaining, aNow);
  }
  // A planner's node of an earlier version knows no evacuations.
  const bool evacuationsChanged =
    aAnswer.evacuationRevision > 0 &&
    this->context.evacuations.Apply({ .zones = { aAnswer.evacuatedZones.begin(),
                                                 aAnswer.evacuatedZones.end() },
                                      .revision = aAnswer.evacuationRevision },
                                    aNow);
  // The ReplicaKey of each replica that lost a member, and of each one that the
  // planner confirms as intact.
  std::set<std::string> broken(aAnswer.broken.begin(), aAnswer.broken.end());
  std::set<std::string> vouched(aAnswer.vouched.begin(), aAnswer.vouched.end());
  this->context.crashRecorder.SetSuspects(aAnswer.suspectedParts);
  const bool quarantineGrew =
    this->context.quarantine.Add(aAnswer.quarantinedParts, aNow);
  const bool changed =
    quarantineGrew || evacuationsChanged || aAnswer.complete ||
    !aAnswer.targets.empty() || !aAnswer.gone.empty() ||
    broken != this->context.broken || vouched != this->context.vouched;
  this->context.broken = std::move(broken);
  this->context.vouched = std::move(vouched);
  if (changed) {
    this->onChange();
  }
}

void
FollowTask::ReportStalls(std::vector<std::string> aTargets)
{
  if (this->plannerAddress.empty()) {
    return;
  }
  this->unreportedStalls.insert(aTargets.begin(), aTargets.end());
  if (this->isSendingStallNotices) {
    return;
  }
  this->isSendingStallNotices = true;
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> {
      co_await this->SendStallNotices();
      this->isSendingStallNotices = false;
    },
    asio::detached);
}

Task<void>
FollowTask::SendStallNotices()
{
  while (!this->unreportedStalls.empty() && !this->plannerAddress.empty()) {
    if (this->noticeLink == nullptr ||
        this->noticeLink->Address() != this->plannerAddress) {
      this->noticeLink = std::make_unique<PeerLink>(this->context.executor,
                                                    this->plannerAddress);
    }
    StallNotice notice{ .node = this->context.settings.node,
                        .targets = { this->unreportedStalls.begin(),
                                     this->unreportedStalls.end() } };
    this->unreportedStalls.clear();
    const auto receipt = co_await this->noticeLink->SendRequest(
      PeerMessage(std::move(notice)), kNoticeTimeout);
    if (!receipt) {
      LogLine("stall_notice_lost").With(receipt.error()).Info();
    }
  }
}

} // namespace apricottrack
