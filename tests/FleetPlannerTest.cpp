#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("FleetPlanner forms replicas before traffic from the whole fleet")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  CHECK(planner.Round(fleet.View(true), now).size() == 9);
  fleet.Settle(planner, now, true);
  CHECK(Serving(planner) >= 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE(
  "FleetPlanner adopts another planner's replicas without issuing orders")
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

TEST_CASE("FleetPlanner repairs a replica that lost a member with a warm spare")
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

TEST_CASE(
  "FleetPlanner orders a returning former head to leave before it joins")
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
  // The head returns after a partition from the store and still serves the old
  // list of members.
  fleet.members[head] = cut;
  fleet.Settle(planner, now);
  CHECK(fleet.violations.empty());
  CHECK(fleet.members.at(head).record.membership != cut.record.membership);
}

TEST_CASE("FleetPlanner loads cold targets so that they form complete replicas")
{
  // A rollout replaces all targets by new ones without weights. Loading models
  // target by target could leave no model with enough members for a replica.
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
  // Eight targets suffice for two replicas of at most four.
  CHECK(Serving(planner) >= 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE(
  "FleetPlanner keeps members whose head still has an open order pending")
{
  // A replica of four and one of three each lose a member while their heads are
  // opening. The members left in one replica could repair the other, but a head
  // that still reports ready may start to serve with them.
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
    // The close order has no effect on a head that is not open yet; the delayed
    // open takes effect after it.
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

TEST_CASE("FleetPlanner closes a replica with a leaving member gracefully")
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

TEST_CASE("FleetPlanner keeps a replica serving if no target can replace a "
          "leaving member")
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
  // A leaving head must not receive new requests.
  fleet.members.at(replica.members.back()).record.leaving = false;
  fleet.members.at(replica.members.front()).record.leaving = true;
  CHECK(planner.Round(fleet.View(), now).front().kind ==
        OrderKind::kCloseGently);
}

TEST_CASE("FleetPlanner issues no orders until store entries have settled")
{
  FakeFleet fleet(18);
  FleetPlanner first = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(first, now, true);
  // Entries that expired during a store outage return when their targets renew
  // them; until then they do not mean that replicas lost members.
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

TEST_CASE("FleetPlanner converts a replica to the most saturated model")
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

TEST_CASE("FleetPlanner reuses the remaining members of broken replicas")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  // Targets are lost one after the other, and the rest must continue to serve.
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
