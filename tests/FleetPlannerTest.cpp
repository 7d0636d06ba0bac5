#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

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
