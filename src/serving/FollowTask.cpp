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
  // At the first start of a deployment there is time to wait for a planner; a
  // node that restarts has callers waiting.
  const bool first = this->context.settings.serving->firstStart;
  this->heardAt =
    MonotonicNow() - (first ? Duration::zero() : this->options.grace);
  this->SetFollows(false);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

void
FollowTask::SetLeader(const std::string& aAddress)
{
  if (aAddress == this->leader) {
    return;
  }
  LogLine("planner_known").With("address", aAddress).Info();
  this->leader = aAddress;
}

void
FollowTask::SetLeading(bool aLeads)
{
  this->leads = aLeads;
  this->fleet.SetLeading(aLeads);
  this->leader.clear();
  this->SetFollows(false);
}

void
FollowTask::SetFollows(bool aFollows)
{
  const Instant now = MonotonicNow();
  this->follows = aFollows;
  if (aFollows) {
    this->heardAt = now;
    if (!this->firstFollowedAt) {
      this->firstFollowedAt = now;
    }
  }
  const bool ask =
    this->leads || (!aFollows && now - this->heardAt > this->options.grace);
  if (ask != this->asksStore) {
    LogLine(ask ? "asking_store" : "following")
      .With("planner", this->leader)
      .With("heard_ms_ago",
            std::int64_t{ (now - this->heardAt) / milliseconds(1) })
      .Info();
  }
  this->asksStore = ask;
  // A catalog change must not wait for another planner, and one store call is
  // enough to see it.
  this->catalog.SetActive(!aFollows);
  this->fleet.SetActive(ask);
}

Task<void>
FollowTask::Run()
{
  for (;;) {
    bool heard = false;
    if (!this->leader.empty()) {
      heard = co_await this->AskOnce();
    }
    this->SetFollows(heard);
    if (!heard) {
      asio::steady_timer timer(this->context.executor, this->options.pause);
      co_await timer.async_wait(kAsTuple);
    }
  }
}

Task<bool>
FollowTask::AskOnce()
{
  if (this->link == nullptr || this->link->Address() != this->leader) {
    this->link =
      std::make_unique<PeerLink>(this->context.executor, this->leader);
  }
  const Instant now = MonotonicNow();
  FleetQuestion question{ .node = this->context.settings.node,
                          .source = this->source,
                          .sequence = this->sequence,
                          .catalogRevision = this->catalog.Known(),
                          .wait = this->options.wait,
                          .demands = this->context.demand.Demands(now),
                          .wantsCatalog = this->wantsCatalog,
                          .loads = this->context.loads.SamplesSince(
                            this->askedAt, false, now) };
  this->askedAt = now;
  const auto reply = co_await this->link->SendRequest(
    PeerMessage(std::move(question)), this->options.wait + this->options.slack);
  if (!reply) {
    co_return false;
  }
  const auto* const answer = std::get_if<FleetAnswer>(&*reply);
  if (answer == nullptr || !answer->leads) {
    co_return false;
  }
  this->Take(*answer, MonotonicNow());
  // The planner built the answer after the query was sent, so its age is
  // counted back from the sending time, whatever the network delay was.
  if (!answer->catalog.empty()) {
    this->catalog.TakeRelayed(answer->catalogRevision,
                              answer->catalog,
                              this->askedAt - answer->catalogAge);
  }
  if (answer->catalogRevision == this->catalog.Known()) {
    this->context.catalog.ConfirmCurrent(this->askedAt - answer->catalogAge);
  } else if (answer->catalogRevision > this->catalog.Known()) {
    const bool read = co_await this->ReadCatalog();
    if (!read) {
      co_return false;
    }
  }
  co_return answer->catalogAge < this->options.mostAge &&
    answer->fleetAge < this->options.mostAge;
}

Task<bool>
FollowTask::ReadCatalog()
{
  if (MonotonicNow() < this->nextReadAt) {
    co_return false;
  }
  this->wantsCatalog = !co_await this->catalog.ReadOnce();
  if (this->wantsCatalog) {
    this->nextReadAt = MonotonicNow() + this->options.readAgain;
  }
  co_return !this->wantsCatalog;
}

void
FollowTask::Take(const FleetAnswer& aAnswer, Instant aNow)
{
  if (aAnswer.complete) {
    this->context.fleet.ReplaceAll(aAnswer.targets, aNow);
  } else {
    for (const TargetRecord& record : aAnswer.targets) {
      this->context.fleet.Put(record, aNow);
    }
    for (const std::string& id : aAnswer.gone) {
      this->context.fleet.Remove(id, aNow);
    }
  }
  this->context.nodeCount = std::max(1, aAnswer.nodes);
  this->context.fleetDemands = aAnswer.demands;
  for (const LoadSample& sample : aAnswer.loads) {
    this->context.loads.OnForwardedReport(sample, aNow);
  }
  this->source = aAnswer.source;
  this->sequence = aAnswer.sequence;
  std::set<std::string> broken(aAnswer.broken.begin(), aAnswer.broken.end());
  std::set<std::string> vouched(aAnswer.vouched.begin(), aAnswer.vouched.end());
  const bool changed =
    aAnswer.complete || !aAnswer.targets.empty() || !aAnswer.gone.empty() ||
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
  if (this->leader.empty()) {
    return;
  }
  this->unsentNotices.insert(aTargets.begin(), aTargets.end());
  if (this->noticeUnderWay) {
    return;
  }
  this->noticeUnderWay = true;
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> {
      co_await this->SendNotices();
      this->noticeUnderWay = false;
    },
    asio::detached);
}

Task<void>
FollowTask::SendNotices()
{
  while (!this->unsentNotices.empty() && !this->leader.empty()) {
    if (this->noticeLink == nullptr ||
        this->noticeLink->Address() != this->leader) {
      this->noticeLink =
        std::make_unique<PeerLink>(this->context.executor, this->leader);
    }
    StallNotice notice{ .node = this->context.settings.node,
                        .targets = { this->unsentNotices.begin(),
                                     this->unsentNotices.end() } };
    this->unsentNotices.clear();
    const auto receipt = co_await this->noticeLink->SendRequest(
      PeerMessage(std::move(notice)), kNoticeTimeout);
    if (!receipt) {
      LogLine("stall_notice_lost").With(receipt.error()).Info();
    }
  }
}

} // namespace apricottrack
