#include "serving/FleetRelay.h"

#include "base/Hash.h"
#include "base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Minimum interval between two notifications, per node: changes are batched
/// for this long, which bounds the share of CPU time spent on answers.
constexpr Duration kPausePerNode = microseconds(1200);

/// Older reports of target loads are not relayed.
constexpr Duration kLoadLifetime = milliseconds(700);

/// Longest time that a query is held, whatever its sender asks for.
constexpr Duration kMostWait = seconds(2);

/// Largest catalog, in bytes, that is sent to all nodes without delay. A larger
/// one would occupy this VM's link and CPU and delay target changes.
constexpr std::size_t kSmallDocument = std::size_t{ 64 } * 1024;
/// Between two larger documents, which only nodes that cannot reach the store
/// receive.
constexpr Duration kLargeDocumentPause = milliseconds(60);

} // namespace

FleetRelay::FleetRelay(ServingContext& aContext,
                       const CatalogTask& aCatalog,
                       const FleetTask& aFleet,
                       PlannerTask& aPlanner)
  : context(aContext)
  , catalog(aCatalog)
  , fleet(aFleet)
  , planner(aPlanner)
  , source(RandomId())
{
}

Result<void>
FleetRelay::Start()
{
  auto made = PeerServer::Make(
    this->context.executor,
    this->context.settings.peerListen,
    [this](PeerMessage aQuestion) -> Task<std::optional<PeerMessage>> {
      co_return co_await this->Answer(std::move(aQuestion));
    });
  if (!made) {
    return tl::unexpected(made.error());
  }
  this->server = *made;
  return {};
}

void
FleetRelay::Notify()
{
  if (this->wakePlanned) {
    return;
  }
  const Instant now = MonotonicNow();
  const Duration pause = kPausePerNode * this->context.nodeCount;
  if (now - this->wokeAt >= pause) {
    this->WakeAll();
    return;
  }
  this->wakePlanned = true;
  asio::co_spawn(
    this->context.executor,
    [this, left = pause - (now - this->wokeAt)]() -> Task<void> {
      co_await this->WakeLater(left);
    },
    asio::detached);
}

Task<void>
FleetRelay::WakeLater(Duration aPause)
{
  asio::steady_timer timer(this->context.executor, aPause);
  co_await timer.async_wait(kAsTuple);
  this->wakePlanned = false;
  this->WakeAll();
}

void
FleetRelay::WakeAll()
{
  this->wokeAt = MonotonicNow();
  for (asio::steady_timer* const timer : this->waiting) {
    timer->cancel();
  }
}

Task<std::optional<PeerMessage>>
FleetRelay::Answer(PeerMessage aQuestion)
{
  if (const auto* const notice = std::get_if<StallNotice>(&aQuestion)) {
    for (const std::string& target : notice->targets) {
      this->planner.Suspect(target);
    }
    co_return PeerMessage(Receipt{});
  }
  if (auto* const question = std::get_if<FleetQuestion>(&aQuestion)) {
    FleetAnswer answer = co_await this->AnswerFleet(std::move(*question));
    co_return PeerMessage(std::move(answer));
  }
  LogLine("peer_question_unknown").Warn();
  co_return std::nullopt;
}

bool
FleetRelay::HasNews(const FleetQuestion& aQuestion) const
{
  return aQuestion.source != this->source ||
         aQuestion.sequence != this->context.fleet.Sequence() ||
         aQuestion.catalogRevision != this->catalog.Known() ||
         !this->planner.Leads();
}

Task<FleetAnswer>
FleetRelay::AnswerFleet(FleetQuestion aQuestion)
{
  const Instant now = MonotonicNow();
  this->planner.TakeDemands(aQuestion.node, std::move(aQuestion.demands), now);
  for (const LoadSample& sample : aQuestion.loads) {
    this->context.loads.OnForwardedReport(sample, now);
  }
  if (!this->HasNews(aQuestion)) {
    asio::steady_timer timer(this->context.executor,
                             std::min(aQuestion.wait, kMostWait));
    this->waiting.insert(&timer);
    co_await timer.async_wait(kAsTuple);
    this->waiting.erase(&timer);
  }
  co_return this->Compose(aQuestion, MonotonicNow());
}

bool
FleetRelay::MayRelay(const FleetQuestion& aQuestion, Instant aNow)
{
  if (this->catalog.Document().size() <= kSmallDocument) {
    return true;
  }
  if (!aQuestion.wantsCatalog || aNow < this->nextLargeAt) {
    return false;
  }
  this->nextLargeAt = aNow + kLargeDocumentPause;
  return true;
}

FleetAnswer
FleetRelay::Compose(const FleetQuestion& aQuestion, Instant aNow)
{
  FleetAnswer answer{
    .source = this->source,
    .leads = this->planner.Leads(),
    .sequence = this->context.fleet.Sequence(),
    .catalogRevision = this->catalog.Known(),
    .catalogAge = this->context.catalog.VerificationAge(aNow),
    .fleetAge = aNow - this->fleet.HeardAt(),
  };
  answer.nodes = this->planner.NodeCount(aNow);
  answer.loads =
    this->context.loads.SamplesSince(aNow - kLoadLifetime, true, aNow);
  answer.demands = this->context.fleetDemands;
  if (aQuestion.catalogRevision < answer.catalogRevision &&
      this->MayRelay(aQuestion, aNow)) {
    answer.catalog = this->catalog.Document();
  }
  answer.broken.assign(this->context.broken.begin(),
                       this->context.broken.end());
  answer.vouched.assign(this->context.vouched.begin(),
                        this->context.vouched.end());
  const std::uint64_t since =
    aQuestion.source == this->source ? aQuestion.sequence : 0;
  if (!this->context.fleet.ChangesSince(since, answer.targets, answer.gone)) {
    answer.complete = true;
    for (const auto& [id, record] : this->context.fleet.All()) {
      answer.targets.push_back(record);
    }
  }
  return answer;
}

} // namespace apricottrack
