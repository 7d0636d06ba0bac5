#include "replicas/FleetPlanner.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

CatalogService
EngineService()
{
  EngineSpec engine;
  engine.batchSlots = 26;
  engine.loadsPerSecond = 4.5;
  engine.concurrentLoads = 6;
  engine.stride = 7;
  engine.prefillTokensPerSecond = 50'700;
  engine.models = {
    { .name = "large", .size = 4, .share = 0.57, .loadTime = seconds(16) },
    { .name = "small", .size = 3, .share = 0.43, .loadTime = seconds(12) },
  };
  return { .name = "advisor", .engine = engine };
}

TargetRecord
Target(int aNumber, const std::string& aDomain = "d1")
{
  return { .id = fmt::format("t{:02}", aNumber),
           .service = "advisor",
           .address = fmt::format("10.0.0.{}:80", aNumber),
           .availabilityZone = "a",
           .fabricDomain = aDomain,
           .slots = 26,
           .startedAt = 1 };
}

/// Plays the targets of one service: orders take effect at once.
class FakeFleet
{
public:
  explicit FakeFleet(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->Add(Target(i));
    }
  }

  void Add(TargetRecord aRecord)
  {
    const std::string id = aRecord.id;
    this->members[id] = { .record = std::move(aRecord) };
  }

  void Carry(const std::vector<ReplicaOrder>& aOrders)
  {
    for (const ReplicaOrder& order : aOrders) {
      if (this->opensLate && order.kind == OrderKind::kOpen) {
        this->lateOpens.push_back(order);
      } else {
        this->CarryOne(order);
      }
    }
  }

  /// Carries out the opens that targets are still busy with.
  void CarryLateOpens()
  {
    for (const ReplicaOrder& order : this->lateOpens) {
      const auto& membership = this->members.at(order.target).record.membership;
      if (membership && membership->replica == order.replica &&
          membership->epoch == order.epoch) {
        this->CarryOne(order);
      }
    }
    this->lateOpens.clear();
  }

  FleetPlannerView View(bool aBeforeTraffic = false) const
  {
    return { .service = this->service,
             .members = this->members,
             .demands = this->demands,
             .beforeTraffic = aBeforeTraffic };
  }

  /// Rounds until nothing is ordered any more.
  int Settle(FleetPlanner& aPlanner, Instant& aNow, bool aBeforeTraffic = false)
  {
    int orders = 0;
    for (int quiet = 0; quiet < 100;) {
      const auto given = aPlanner.Round(this->View(aBeforeTraffic), aNow);
      this->Carry(given);
      orders += static_cast<int>(given.size());
      for (const ReplicaOrder& order : given) {
        UNSCOPED_INFO(OrderKindName(order.kind)
                      << " " << order.target << " " << order.replica << " "
                      << order.model);
      }
      quiet = given.empty() ? quiet + 1 : 0;
      aNow += milliseconds(50);
    }
    return orders;
  }

  CatalogService service = EngineService();
  PlannerMembers members;
  ModelDemands demands;
  std::vector<std::string> violations;
  /// Opens are begun, and take effect only when told.
  bool opensLate = false;

private:
  std::vector<ReplicaOrder> lateOpens;

  /// The head of the replica that the target belongs to serves.
  bool InOpenReplica(const TargetRecord& aRecord) const
  {
    if (!aRecord.membership) {
      return false;
    }
    for (const auto& [id, member] : this->members) {
      const auto& membership = member.record.membership;
      if (membership && membership->replica == aRecord.membership->replica &&
          membership->epoch == aRecord.membership->epoch &&
          membership->rank == 0) {
        return membership->state == MemberState::kOpen;
      }
    }
    return false;
  }

  void CarryOne(const ReplicaOrder& aOrder)
  {
    TargetRecord& record = this->members.at(aOrder.target).record;
    switch (aOrder.kind) {
      case OrderKind::kJoin: {
        if (record.membership && record.membership->epoch >= aOrder.epoch) {
          return;
        }
        if (this->InOpenReplica(record) &&
            record.membership->replica != aOrder.replica) {
          this->violations.push_back(aOrder.target);
        }
        const auto place = std::find(
          aOrder.members.begin(), aOrder.members.end(), aOrder.target);
        record.membership = { .replica = aOrder.replica,
                              .epoch = aOrder.epoch,
                              .rank = static_cast<int>(place -
                                                       aOrder.members.begin()),
                              .state = MemberState::kReady };
        record.model = aOrder.model;
        break;
      }
      case OrderKind::kOpen:
        record.membership->state = MemberState::kOpen;
        break;
      case OrderKind::kCloseNow:
      case OrderKind::kCloseGently:
        if (record.membership &&
            record.membership->state == MemberState::kOpen) {
          record.membership->state = MemberState::kReady;
        }
        break;
      case OrderKind::kLeave:
        record.membership.reset();
        record.model.clear();
        break;
      case OrderKind::kStage:
        record.stagedModels = { aOrder.model };
        break;
    }
  }
};

FleetPlanner
MakePlanner(std::int64_t aFence)
{
  return FleetPlanner(FleetPlanner::Options{},
                      [next = aFence * 1000]() mutable { return ++next; });
}

int
Serving(const FleetPlanner& aPlanner)
{
  return aPlanner.Count("large", ReplicaPhase::kServing) +
         aPlanner.Count("small", ReplicaPhase::kServing);
}

} // namespace

TEST_CASE("FleetPlanner forms replicas from a fleet that has settled")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  CHECK(planner.Round(fleet.View(true), now).size() == 9);
  fleet.Settle(planner, now, true);
  CHECK(Serving(planner) >= 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner takes over another planner's replicas as they are")
{
  FakeFleet fleet(18);
  FleetPlanner first = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(first, now, true);
  FleetPlanner second = MakePlanner(2);
  CHECK(fleet.Settle(second, now) == 0);
  CHECK(Serving(second) == Serving(first));
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner replaces a lost member by a warm spare in place")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  const int before = Serving(planner);
  const auto& replica = planner.Replicas().begin()->second;
  const std::string name = replica.name;
  const std::int64_t epoch = replica.epoch;
  fleet.members.at(replica.members.back()).silent = true;
  const auto orders = planner.Round(fleet.View(), now);
  CHECK(planner.Broken(now).contains(
    ReplicaKey({ .replica = name, .epoch = epoch })));
  const auto joins =
    std::count_if(orders.begin(), orders.end(), [&](const auto& aOrder) {
      return aOrder.kind == OrderKind::kJoin && aOrder.replica == name &&
             aOrder.epoch > epoch;
    });
  CHECK(joins >= 3);
  fleet.Carry(orders);
  fleet.Settle(planner, now);
  CHECK(Serving(planner) == before);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner lets a head that comes back leave before it joins")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::string head = replica.members.front();
  const PlannerMember cut = fleet.members.at(head);
  fleet.members.erase(head);
  fleet.Settle(planner, now);
  // It was cut off from the store and still believes that it serves.
  fleet.members[head] = cut;
  fleet.Settle(planner, now);
  CHECK(fleet.violations.empty());
  CHECK(fleet.members.at(head).record.membership != cut.record.membership);
}

TEST_CASE("FleetPlanner loads targets of a domain for whole replicas")
{
  // A release replaces all targets by ones that hold nothing.
  FakeFleet fleet(8);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.demands = {
    { "large",
      { .requests = 60, .promptTokens = 100'000, .outputTokens = 7'000 } },
    { "small",
      { .requests = 88, .promptTokens = 63'000, .outputTokens = 19'700 } },
  };
  std::map<std::string, int> loaded;
  for (int i = 0; i < 2000; ++i, now += milliseconds(50)) {
    const auto orders = planner.Round(fleet.View(), now);
    for (const ReplicaOrder& order : orders) {
      loaded[order.model] +=
        order.kind == OrderKind::kJoin && order.members.size() == 1 ? 1 : 0;
    }
    fleet.Carry(orders);
  }
  CHECK(loaded["large"] + loaded["small"] == 8);
  // What was loaded makes whole replicas but for what is left over.
  CHECK(Serving(planner) >= 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner does not take a head that is opening for a closed one")
{
  // As its head opens, a replica of four loses a member, and one of three
  // does so too; the survivors of the first could repair the second.
  FakeFleet fleet(7);
  fleet.opensLate = true;
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  while (planner.Count("large", ReplicaPhase::kOpening) == 0 ||
         planner.Count("small", ReplicaPhase::kOpening) == 0) {
    fleet.Carry(planner.Round(fleet.View(true), now));
    now += milliseconds(50);
  }
  for (const auto& [name, replica] : planner.Replicas()) {
    fleet.members.at(replica.members.back()).silent = true;
  }
  for (int i = 0; i < 60; ++i, now += milliseconds(50)) {
    auto orders = planner.Round(fleet.View(true), now);
    // A close comes too early for a head that is not open yet.
    const auto joins = std::stable_partition(
      orders.begin(), orders.end(), [](const ReplicaOrder& aOrder) {
        return aOrder.kind != OrderKind::kJoin;
      });
    fleet.Carry({ orders.begin(), joins });
    if (joins != orders.end()) {
      fleet.CarryLateOpens();
    }
    fleet.Carry({ joins, orders.end() });
  }
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner lets a replica with a leaving member finish")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  fleet.members.at(replica.members.back()).record.leaving = true;
  const auto orders = planner.Round(fleet.View(), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().kind == OrderKind::kCloseGently);
  CHECK(orders.front().target == replica.members.front());
}

TEST_CASE("FleetPlanner serves on with a leaving member that it cannot replace")
{
  FakeFleet fleet(4);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  REQUIRE(Serving(planner) == 1);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  REQUIRE(replica.members.size() == 4);
  fleet.members.at(replica.members.back()).record.leaving = true;
  CHECK(fleet.Settle(planner, now) == 0);
  CHECK(Serving(planner) == 1);
  // The head itself must get nothing new.
  fleet.members.at(replica.members.back()).record.leaving = false;
  fleet.members.at(replica.members.front()).record.leaving = true;
  CHECK(planner.Round(fleet.View(), now).front().kind ==
        OrderKind::kCloseGently);
}

TEST_CASE("FleetPlanner waits for entries that may come back")
{
  FakeFleet fleet(18);
  FleetPlanner first = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(first, now, true);
  FakeFleet lapsed(0);
  for (const auto& [id, member] : fleet.members) {
    if (id != "t03" && id != "t07") {
      lapsed.Add(member.record);
    }
  }
  FleetPlanner second = MakePlanner(2);
  FleetPlannerView view = lapsed.View();
  view.entriesSettled = false;
  CHECK(second.Round(view, now).empty());
}

TEST_CASE("FleetPlanner converts a replica to the model that is worst off")
{
  FakeFleet fleet(18);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  const int before = planner.Count("large", ReplicaPhase::kServing);
  fleet.demands = {
    { "large", { .requests = 1, .promptTokens = 100, .outputTokens = 100 } },
    { "small",
      { .requests = 120, .promptTokens = 80'000, .outputTokens = 30'000 } },
  };
  fleet.Settle(planner, now);
  now += seconds(2);
  fleet.Settle(planner, now);
  CHECK(planner.Count("large", ReplicaPhase::kServing) < before);
  CHECK(planner.Count("large", ReplicaPhase::kServing) >= 1);
  CHECK(planner.Count("small", ReplicaPhase::kServing) >= 4);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner uses the members of broken replicas again")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  // Lose one target after the other; what is left must keep serving.
  for (int lost = 0; lost < 3; ++lost) {
    for (const auto& [name, replica] : planner.Replicas()) {
      if (replica.phase == ReplicaPhase::kServing) {
        fleet.members.erase(replica.members.back());
        break;
      }
    }
    fleet.Settle(planner, now);
    INFO("lost " << lost + 1);
    CHECK(Serving(planner) >= 1);
  }
  CHECK(fleet.members.size() == 6);
  CHECK(Serving(planner) == 1);
  CHECK(fleet.violations.empty());
}
