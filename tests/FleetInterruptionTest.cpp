#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// A fleet whose heads run requests that no other target may continue.
FakeFleet
MakeBusyFleet(int aTargetCount)
{
  FakeFleet fleet(aTargetCount);
  fleet.longestUnrepeatableWork = seconds(12);
  return fleet;
}

/// Returns the number of orders that end the work of a head in the list of
/// members: all but a graceful close.
std::ptrdiff_t
CountInterruptions(const std::vector<ReplicaOrder>& aOrders,
                   const PlannedReplica& aReplica)
{
  return std::count_if(
    aOrders.begin(), aOrders.end(), [&](const ReplicaOrder& aOrder) {
      const auto& members = aReplica.members;
      return std::find(members.begin(), members.end(), aOrder.target) !=
               members.end() &&
             aOrder.kind != OrderKind::kCloseGently &&
             aOrder.kind != OrderKind::kStage;
    });
}

std::string
KeyOf(const PlannedReplica& aReplica)
{
  return ReplicaKey({ .replica = aReplica.name, .epoch = aReplica.epoch });
}

} // namespace

// Guards against streams that are cut because their sound head, or another
// member, was silent for a second.
TEST_CASE("FleetPlanner leaves a replica with a silent member its work")
{
  FakeFleet fleet = MakeBusyFleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(CountServing(planner) >= 2);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const bool isHeadSilent = GENERATE(true, false);
  const std::string silent =
    isHeadSilent ? replica.members.front() : replica.members.back();
  fleet.members.at(silent).unresponsive = true;
  for (int i = 0; i < 50; ++i, now += milliseconds(50)) {
    CHECK(CountInterruptions(planner.PlanRound(fleet.View(), now), replica) ==
          0);
    // Nodes send it no requests meanwhile.
    CHECK(planner.BrokenReplicas(now).contains(KeyOf(replica)));
  }
  fleet.members.at(silent).unresponsive = false;
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
  CHECK(planner.Replicas().at(replica.name).epoch == replica.epoch);
  CHECK(planner.BrokenReplicas(now).empty());
}

// Guards against streams that are interrupted by orders although the silent
// member goes on within a second.
TEST_CASE("FleetPlanner leaves a replica with a briefly silent member its work "
          "that could continue elsewhere")
{
  FakeFleet fleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const bool isHeadSilent = GENERATE(true, false);
  PlannerMember& silent = fleet.members.at(
    isHeadSilent ? replica.members.front() : replica.members.back());
  silent.unresponsive = true;
  silent.brieflySilent = true;
  for (int i = 0; i < 30; ++i, now += milliseconds(50)) {
    CHECK(CountInterruptions(planner.PlanRound(fleet.View(), now), replica) ==
          0);
    // Nodes send it no requests meanwhile.
    CHECK(planner.BrokenReplicas(now).contains(KeyOf(replica)));
  }
  SECTION("the member responds again")
  {
    silent.unresponsive = false;
    silent.brieflySilent = false;
    CHECK(fleet.RunUntilIdle(planner, now) == 0);
    CHECK(planner.Replicas().at(replica.name).epoch == replica.epoch);
  }
  SECTION("the member stays silent")
  {
    silent.brieflySilent = false;
    fleet.RunUntilIdle(planner, now);
    const PlannedReplica& repaired = planner.Replicas().at(replica.name);
    CHECK(repaired.epoch > replica.epoch);
    CHECK(repaired.phase == ReplicaPhase::kServing);
  }
}

// Guards against a replica that is never repaired because its work is awaited.
TEST_CASE("FleetPlanner repairs a replica once a member is lost")
{
  FakeFleet fleet = MakeBusyFleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::size_t rank = GENERATE(0, 1);
  PlannerMember& member = fleet.members.at(replica.members[rank]);
  const bool isRestarted = GENERATE(true, false);
  if (isRestarted) {
    member.record.membership.reset();
  } else {
    member.unresponsive = true;
    member.lost = true;
  }
  fleet.RunUntilIdle(planner, now);
  const PlannedReplica& repaired = planner.Replicas().at(replica.name);
  CHECK(repaired.epoch > replica.epoch);
  CHECK(repaired.phase == ReplicaPhase::kServing);
}

// Guards against a repair that takes its members from other heads with work.
TEST_CASE("FleetPlanner leaves several silent replicas their work")
{
  FakeFleet fleet = MakeBusyFleet(18);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const auto replicas = planner.Replicas();
  REQUIRE(replicas.size() >= 3);
  for (const auto& [name, replica] : replicas) {
    fleet.members.at(replica.members.front()).unresponsive = true;
  }
  for (int i = 0; i < 30; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(), now);
    for (const auto& [name, replica] : replicas) {
      CHECK(CountInterruptions(orders, replica) == 0);
    }
  }
}

// Guards against work that is cut when a head returns from a partition.
TEST_CASE("FleetPlanner lets a superseded head finish its work")
{
  FakeFleet fleet = MakeBusyFleet(9);
  fleet.headsHaveWork = true;
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::string head = replica.members.front();
  const PlannerMember partitioned = fleet.members.at(head);
  fleet.members.erase(head);
  fleet.RunUntilIdle(planner, now);
  fleet.members[head] = partitioned;
  bool closedGently = false;
  for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(), now);
    for (const ReplicaOrder& order : orders) {
      const bool isForHead = order.target == head;
      closedGently =
        closedGently || (isForHead && order.kind == OrderKind::kCloseGently);
      CHECK_FALSE((isForHead && order.kind == OrderKind::kLeave));
    }
    fleet.Execute(orders);
  }
  CHECK(closedGently);
  fleet.members.at(head).record.membership->state = MemberState::kReady;
  fleet.RunUntilIdle(planner, now);
  CHECK(fleet.members.at(head).record.membership !=
        partitioned.record.membership);
  CHECK(fleet.violations.empty());
}

// Guards against a wait for silent heads where any work can continue elsewhere.
TEST_CASE(
  "FleetPlanner repairs a replica at once if a member's process is gone "
  "and its work is repeatable")
{
  FakeFleet fleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  fleet.members.at(replica.members.front()).unresponsive = true;
  const bool isOtherSilent = GENERATE(false, true);
  fleet.members.at(replica.members.back()).unresponsive = isOtherSilent;
  fleet.members.at(replica.members.back()).brieflySilent = isOtherSilent;
  CHECK(CountInterruptions(planner.PlanRound(fleet.View(), now), replica) > 0);
}

namespace {

/// Returns how long the planner lets the head finish its work before it orders
/// to abort it, and checks that no other order ends it.
Duration
TimeToFinish(FakeFleet& aFleet,
             FleetPlanner& aPlanner,
             const PlannedReplica& aReplica,
             Instant aNow)
{
  const Instant start = aNow;
  for (; aNow - start < seconds(30); aNow += milliseconds(50)) {
    const auto orders = aPlanner.PlanRound(aFleet.View(), aNow);
    const auto aborts =
      std::count_if(orders.begin(), orders.end(), [&](const auto& aOrder) {
        return aOrder.kind == OrderKind::kCloseNow &&
               aOrder.target == aReplica.members.front();
      });
    CHECK(CountInterruptions(orders, aReplica) == aborts);
    if (aborts > 0) {
      break;
    }
    aFleet.Execute(orders);
  }
  return aNow - start;
}

} // namespace

// Guards against streams of a sound head that are cut because another member,
// or the head itself, drains.
TEST_CASE("FleetPlanner lets the head of a draining replica finish its work")
{
  FakeFleet fleet = MakeBusyFleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.headsHaveWork = true;
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::size_t rank = GENERATE(0, 1);
  fleet.members.at(replica.members[rank]).record.leaving = true;
  SECTION("work that never ends")
  {
    CHECK(TimeToFinish(fleet, planner, replica, now) >= seconds(12));
  }
  SECTION("a silent head")
  {
    fleet.Execute(planner.PlanRound(fleet.View(), now));
    fleet.members.at(replica.members.front()).unresponsive = true;
    CHECK(TimeToFinish(fleet, planner, replica, now) >= seconds(12));
  }
  SECTION("work that ends")
  {
    for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
      fleet.Execute(planner.PlanRound(fleet.View(), now));
    }
    fleet.members.at(replica.members.front()).record.membership->state =
      MemberState::kReady;
    fleet.RunUntilIdle(planner, now);
    const PlannedReplica& repaired = planner.Replicas().at(replica.name);
    CHECK(repaired.phase == ReplicaPhase::kServing);
    CHECK(repaired.epoch > replica.epoch);
  }
}

TEST_CASE("FleetPlanner repeats a graceful close without effect")
{
  FakeFleet fleet = MakeBusyFleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  fleet.members.at(replica.members.back()).record.leaving = true;
  int closes = 0;
  for (int i = 0; i < 200; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(), now);
    CHECK(CountInterruptions(orders, replica) == 0);
    closes += static_cast<int>(
      std::count_if(orders.begin(), orders.end(), [&](const auto& aOrder) {
        return aOrder.kind == OrderKind::kCloseGently;
      }));
  }
  CHECK(closes == 4);
}

// Guards against streams that are cut to replace a slow member.
TEST_CASE("FleetPlanner replaces a slow member once its head has finished")
{
  FakeFleet fleet = MakeBusyFleet(12);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.headsHaveWork = true;
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const std::string slow = replica.members.back();
  fleet.members.at(slow).slow = true;
  for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(), now);
    CHECK(CountInterruptions(orders, replica) == 0);
    fleet.Execute(orders);
  }
  fleet.members.at(replica.members.front()).record.membership->state =
    MemberState::kReady;
  fleet.RunUntilIdle(planner, now);
  const PlannedReplica& repaired = planner.Replicas().at(replica.name);
  CHECK(repaired.phase == ReplicaPhase::kServing);
  CHECK(std::find(repaired.members.begin(), repaired.members.end(), slow) ==
        repaired.members.end());
}

// Guards against streams that are cut to convert their replica.
TEST_CASE("FleetPlanner lets donors of a repair finish their work")
{
  FakeFleet fleet = MakeBusyFleet(14);
  fleet.service.engine->models = {
    { .name = "large", .size = 8, .share = 0.5, .loadTime = seconds(16) },
    { .name = "small", .size = 3, .share = 0.5, .loadTime = seconds(12) },
  };
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(planner.CountReplicas("large", ReplicaPhase::kServing) == 1);
  REQUIRE(planner.CountReplicas("small", ReplicaPhase::kServing) == 2);
  fleet.headsHaveWork = true;
  fleet.demands = {
    { "large",
      { .requests = 60, .promptTokens = 42'000, .outputTokens = 12'000 } },
    { "small", { .requests = 0.5, .promptTokens = 350, .outputTokens = 100 } },
  };
  for (auto& [id, member] : fleet.members) {
    member.record.stagedModels = { "large", "small" };
  }
  std::vector<PlannedReplica> donors;
  for (const auto& [name, replica] : planner.Replicas()) {
    if (replica.model == "large") {
      fleet.members.erase(replica.members.back());
    } else {
      donors.push_back(replica);
    }
  }
  bool closedGently = false;
  for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(), now);
    for (const PlannedReplica& donor : donors) {
      CHECK(CountInterruptions(orders, donor) == 0);
      closedGently =
        closedGently ||
        std::any_of(orders.begin(), orders.end(), [&](const auto& aOrder) {
          return aOrder.kind == OrderKind::kCloseGently &&
                 aOrder.target == donor.members.front();
        });
    }
    fleet.Execute(orders);
  }
  CHECK(closedGently);
}
