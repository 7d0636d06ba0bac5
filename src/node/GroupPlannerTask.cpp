#include "node/GroupPlannerTask.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "kv/PlatformKeys.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace apricottrack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Time from the end of a planning round to the start of the next.
constexpr Duration kRoundInterval = milliseconds(250);
/// After a longer time between two rounds, this process may have been paused,
/// so that missing reports are no evidence of lost members.
constexpr Duration kMaxRoundGap = milliseconds(1000);
/// Timeout of the request that sends an order; see Fetch for what it limits.
constexpr Duration kOrderTimeout = milliseconds(1000);

std::string
EncodeOrder(const Order& aOrder)
{
  json::array members;
  for (const std::string& address : aOrder.memberAddresses) {
    members.emplace_back(address);
  }
  return json::serialize(json::object{ { "epoch", aOrder.epoch },
                                       { "group", aOrder.group },
                                       { "service", aOrder.service },
                                       { "rank", aOrder.rank },
                                       { "members", members } });
}

} // namespace

GroupPlannerTask::GroupPlannerTask(NodeContext& aContext,
                                   KeyValueStore& aStore,
                                   GroupPlanner::Options aOptions,
                                   std::function<bool(Instant)> aMayPlan)
  : context(aContext)
  , store(aStore)
  , planner(aOptions)
  , mayPlan(std::move(aMayPlan))
  , pool(aContext.executor, HttpConnectionPool::Options{ .idlePerAddress = 1 })
{
}

void
GroupPlannerTask::Start()
{
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

void
GroupPlannerTask::SetPlanRevision(const std::string& aDomain,
                                  Revision aRevision)
{
  Revision& knownRevision = this->planRevisions[aDomain];
  knownRevision = std::max(knownRevision, aRevision);
}

PlannerView
GroupPlannerTask::BuildView(const Configuration& aConfiguration) const
{
  return PlannerView{ .configuration = aConfiguration,
                      .vms = this->context.view.Vms(),
                      .reports = this->context.view.Reports(),
                      .leaving = this->context.view.LeavingVms(),
                      .evacuated = this->context.view.EvacuatedVms(),
                      .plans = this->context.view.Plans(),
                      .observingSince = this->observingSince };
}

Task<void>
GroupPlannerTask::Run()
{
  for (;;) {
    asio::steady_timer timer(this->context.executor, kRoundInterval);
    co_await timer.async_wait(kAsTuple);
    const Instant now = MonotonicNow();
    if (now - this->lastRoundAt > kMaxRoundGap) {
      this->observingSince = now;
    }
    this->lastRoundAt = now;
    if (this->mayPlan(now) &&
        this->context.configuration.Current() != nullptr) {
      co_await this->PlanOnce();
      this->SendOrders();
    }
  }
}

Task<void>
GroupPlannerTask::PlanOnce()
{
  const auto configuration = this->context.configuration.Current();
  const std::vector<DomainPlan> plans = this->planner.Plan(
    this->BuildView(*configuration), WallNow(), MonotonicNow());
  for (const DomainPlan& plan : plans) {
    co_await this->WritePlan(plan);
  }
}

Task<void>
GroupPlannerTask::WritePlan(DomainPlan aPlan)
{
  aPlan.author = RandomId();
  Swap swap{ .key = keys::PlanKey(aPlan.domain),
             .expected = this->planRevisions[aPlan.domain],
             .value = EncodeDomainPlan(aPlan),
             .lease = 0 };
  const auto swapped = co_await this->store.CompareAndSwap(std::move(swap));
  if (!swapped) {
    // If another node wrote the plan first, the watch delivers that plan, and
    // the rounds after that start from it.
    LogLine("plan_not_written")
      .With("domain", aPlan.domain)
      .With(swapped.error())
      .Warn();
    co_return;
  }
  LogLine("plan_written")
    .With("domain", aPlan.domain)
    .With("epoch", static_cast<std::int64_t>(aPlan.epoch))
    .With("groups", static_cast<std::int64_t>(aPlan.assignments.size()))
    .With("releases", static_cast<std::int64_t>(aPlan.releases.size()))
    .Info();
  this->context.counters.Add("plans_written_total");
  this->SetPlanRevision(aPlan.domain, *swapped);
  this->context.view.SetPlan(std::move(aPlan));
}

void
GroupPlannerTask::SendOrders()
{
  const auto configuration = this->context.configuration.Current();
  const Instant now = MonotonicNow();
  if (!this->mayPlan(now)) {
    return;
  }
  for (Order& order :
       this->planner.OrdersFor(this->BuildView(*configuration), now)) {
    if (!this->vmsWithPendingOrder.insert(order.vm).second) {
      continue;
    }
    asio::co_spawn(
      this->context.executor,
      [this, order = std::move(order)]() -> Task<void> {
        co_await this->SendOrder(order);
        this->vmsWithPendingOrder.erase(order.vm);
      },
      asio::detached);
  }
}

Task<void>
GroupPlannerTask::SendOrder(Order aOrder)
{
  HttpRequest request(boost::beast::http::verb::post, "/v1/order", 11);
  request.set(boost::beast::http::field::content_type, "application/json");
  request.body() = EncodeOrder(aOrder);
  const auto response = co_await Fetch(this->pool,
                                       aOrder.address,
                                       std::move(request),
                                       { .timeout = kOrderTimeout });
  LogLine line("order_sent");
  line.With("vm", aOrder.vm)
    .With("group", aOrder.group)
    .With("epoch", static_cast<std::int64_t>(aOrder.epoch));
  if (!response) {
    line.With(response.error()).Warn();
    co_return;
  }
  line.With("status", std::int64_t{ response->result_int() }).Info();
}

} // namespace apricottrack
