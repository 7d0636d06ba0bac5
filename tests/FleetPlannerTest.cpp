#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("FleetPlanner forms replicas before traffic from the whole fleet")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  CHECK(planner.PlanRound(fleet.View(true), now).size() == 9);
  fleet.RunUntilIdle(planner, now, true);
  CHECK(CountServing(planner) >= 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE(
  "FleetPlanner adopts another planner's replicas without issuing orders")
{
  FakeFleet fleet(18);
  FleetPlanner first = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(first, now, true);
  FleetPlanner second = MakePlanner(2);
  CHECK(fleet.RunUntilIdle(second, now) == 0);
  CHECK(CountServing(second) == CountServing(first));
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner repairs a replica that lost a member with a warm spare")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const int before = CountServing(planner);
  const auto& replica = planner.Replicas().begin()->second;
  const std::string name = replica.name;
  const std::int64_t epoch = replica.epoch;
  fleet.members.at(replica.members.back()).unresponsive = true;
  const auto orders = planner.PlanRound(fleet.View(), now);
  CHECK(planner.BrokenReplicas(now).contains(
    ReplicaKey({ .replica = name, .epoch = epoch })));
  const auto joins =
    std::count_if(orders.begin(), orders.end(), [&](const auto& aOrder) {
      return aOrder.kind == OrderKind::kJoin && aOrder.replica == name &&
             aOrder.epoch > epoch;
    });
  CHECK(joins >= 3);
  fleet.Execute(orders);
  fleet.RunUntilIdle(planner, now);
  CHECK(CountServing(planner) == before);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner orders a returning superseded head to leave before it "
          "joins again")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::string head = replica.members.front();
  const PlannerMember partitioned = fleet.members.at(head);
  fleet.members.erase(head);
  fleet.RunUntilIdle(planner, now);
  // The head returns after a partition from the store and still serves the old
  // list of members.
  fleet.members[head] = partitioned;
  fleet.RunUntilIdle(planner, now);
  CHECK(fleet.violations.empty());
  CHECK(fleet.members.at(head).record.membership !=
        partitioned.record.membership);
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
    const auto orders = planner.PlanRound(fleet.View(), now);
    for (const ReplicaOrder& order : orders) {
      loaded[order.model] +=
        order.kind == OrderKind::kJoin && order.members.size() == 1 ? 1 : 0;
    }
    fleet.Execute(orders);
  }
  CHECK(loaded["large"] + loaded["small"] == 8);
  // Eight targets suffice for two replicas of at most four members.
  CHECK(CountServing(planner) >= 2);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner moves no members to another replica while their head "
          "has an open order pending")
{
  // A replica of four and one of three each lose a member while their heads are
  // opening. The members left in one replica could repair the other, but a head
  // that still reports ready may start to serve with them.
  FakeFleet fleet(7);
  fleet.delayOpens = true;
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  while (planner.CountReplicas("large", ReplicaPhase::kOpening) == 0 ||
         planner.CountReplicas("small", ReplicaPhase::kOpening) == 0) {
    fleet.Execute(planner.PlanRound(fleet.View(true), now));
    now += milliseconds(50);
  }
  for (const auto& [name, replica] : planner.Replicas()) {
    fleet.members.at(replica.members.back()).unresponsive = true;
  }
  for (int i = 0; i < 60; ++i, now += milliseconds(50)) {
    auto orders = planner.PlanRound(fleet.View(true), now);
    // The close order has no effect on a head that is not open yet; the delayed
    // open takes effect after it.
    const auto joins = std::stable_partition(
      orders.begin(), orders.end(), [](const ReplicaOrder& aOrder) {
        return aOrder.kind != OrderKind::kJoin;
      });
    fleet.Execute({ orders.begin(), joins });
    if (joins != orders.end()) {
      fleet.ExecuteDelayedOpens();
    }
    fleet.Execute({ joins, orders.end() });
  }
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner closes a replica with a leaving member gracefully")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  fleet.members.at(replica.members.back()).record.leaving = true;
  const auto orders = planner.PlanRound(fleet.View(), now);
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
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(CountServing(planner) == 1);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  REQUIRE(replica.members.size() == 4);
  fleet.members.at(replica.members.back()).record.leaving = true;
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
  CHECK(CountServing(planner) == 1);
  // A leaving head must not receive new requests.
  fleet.members.at(replica.members.back()).record.leaving = false;
  fleet.members.at(replica.members.front()).record.leaving = true;
  CHECK(planner.PlanRound(fleet.View(), now).front().kind ==
        OrderKind::kCloseGently);
}

TEST_CASE("FleetPlanner issues no orders until store entries have settled")
{
  FakeFleet fleet(18);
  FleetPlanner first = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(first, now, true);
  // Entries that expired during a store outage return when their targets renew
  // them; until then they do not mean that replicas lost members.
  FakeFleet remaining(0);
  for (const auto& [id, member] : fleet.members) {
    if (id != "t03" && id != "t07") {
      remaining.Add(member.record);
    }
  }
  FleetPlanner second = MakePlanner(2);
  FleetPlannerView view = remaining.View();
  view.entriesSettled = false;
  CHECK(second.PlanRound(view, now).empty());
}

TEST_CASE("FleetPlanner converts a replica to the most saturated model")
{
  FakeFleet fleet(18);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const int before = planner.CountReplicas("large", ReplicaPhase::kServing);
  fleet.demands = {
    { "large", { .requests = 1, .promptTokens = 100, .outputTokens = 100 } },
    { "small",
      { .requests = 120, .promptTokens = 80'000, .outputTokens = 30'000 } },
  };
  fleet.RunUntilIdle(planner, now);
  now += seconds(2);
  fleet.RunUntilIdle(planner, now);
  CHECK(planner.CountReplicas("large", ReplicaPhase::kServing) < before);
  CHECK(planner.CountReplicas("large", ReplicaPhase::kServing) >= 1);
  CHECK(planner.CountReplicas("small", ReplicaPhase::kServing) >= 4);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner reuses the remaining members of broken replicas")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  // Targets are lost one after the other. After each loss the remaining ones
  // must form at least one serving replica.
  for (int lost = 0; lost < 3; ++lost) {
    for (const auto& [name, replica] : planner.Replicas()) {
      if (replica.phase == ReplicaPhase::kServing) {
        fleet.members.erase(replica.members.back());
        break;
      }
    }
    fleet.RunUntilIdle(planner, now);
    INFO("lost " << lost + 1);
    CHECK(CountServing(planner) >= 1);
  }
  CHECK(fleet.members.size() == 6);
  CHECK(CountServing(planner) == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner replaces a slow member by a spare")
{
  // A replica runs at the speed of its slowest member, so that one slow target
  // makes all responses of its replica late.
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const int before = CountServing(planner);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::string slow =
    GENERATE(false, true) ? replica.members.front() : replica.members.back();
  fleet.members.at(slow).slow = true;
  fleet.RunUntilIdle(planner, now);
  CHECK(CountServing(planner) == before);
  for (const auto& [name, current] : planner.Replicas()) {
    CHECK(std::count(current.members.begin(), current.members.end(), slow) ==
          0);
  }
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner keeps a slow member while its domain has no spare")
{
  FakeFleet fleet(4);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const auto replicas = planner.Replicas();
  REQUIRE(replicas.size() == 1);
  fleet.members.at(replicas.begin()->second.members.back()).slow = true;
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
  CHECK(planner.Replicas() == replicas);
}

// The entry of a target that has not reported to a new planner may precede
// orders of the previous one.
TEST_CASE("FleetPlanner does not join targets that have not reported")
{
  FakeFleet fleet(9);
  for (auto& [id, member] : fleet.members) {
    member.reported = false;
    member.record.stagedModels = { "large", "small" };
  }
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  CHECK(planner.PlanRound(fleet.View(), now).empty());
  for (auto& [id, member] : fleet.members) {
    member.reported = true;
  }
  fleet.RunUntilIdle(planner, now);
  CHECK(CountServing(planner) >= 2);
}

// Guards against replicas that take seconds to form because targets leave some
// of the join orders unanswered.
TEST_CASE("FleetPlanner repeats a join without reply in the next round")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const auto& lost = planner.Replicas().begin()->second.members.back();
  fleet.members.at(lost).unresponsive = true;
  auto orders = planner.PlanRound(fleet.View(), now);
  const auto unanswered =
    std::find_if(orders.begin(), orders.end(), [](const auto& aOrder) {
      return aOrder.kind == OrderKind::kJoin;
    });
  REQUIRE(unanswered != orders.end());
  const ReplicaOrder join = *unanswered;
  orders.erase(unanswered);
  fleet.Execute(orders);
  now += milliseconds(300);
  planner.OnNoReply(join);
  CHECK(planner.PlanRound(fleet.View(), now) ==
        std::vector<ReplicaOrder>{ join });
  CHECK(planner.PlanRound(fleet.View(), now).empty());

  // The reply was lost, but the order was carried out.
  planner.OnNoReply(join);
  fleet.Execute({ join });
  for (const ReplicaOrder& order : planner.PlanRound(fleet.View(), now)) {
    CHECK(order.kind != OrderKind::kJoin);
  }
}

TEST_CASE("FleetPlanner does not repeat a join that was superseded")
{
  FakeFleet fleet(9);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  const auto orders = planner.PlanRound(fleet.View(true), now);
  fleet.RunUntilIdle(planner, now, true);
  const auto& lost = planner.Replicas().begin()->second.members.back();
  fleet.members.at(lost).unresponsive = true;
  fleet.RunUntilIdle(planner, now);
  for (const ReplicaOrder& order : orders) {
    planner.OnNoReply(order);
  }
  CHECK(planner.PlanRound(fleet.View(), now).empty());
}
