#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// Makes targets of one fabric domain for replicas of eight and of three
/// members, so that a large replica needs the members of three small ones.
FakeFleet
MakeMixedFleet(int aTargetCount)
{
  FakeFleet fleet(aTargetCount);
  fleet.service.engine->models = {
    { .name = "large", .size = 8, .share = 0.5, .loadTime = seconds(16) },
    { .name = "small", .size = 3, .share = 0.5, .loadTime = seconds(12) },
  };
  return fleet;
}

ModelDemand
MakeDemand(double aRequestsPerSecond)
{
  return { .requests = aRequestsPerSecond,
           .promptTokens = aRequestsPerSecond * 700,
           .outputTokens = aRequestsPerSecond * 200 };
}

/// Runs four series of planning rounds, each later than the minimum time
/// between two conversions, so that several conversions can follow each other.
void
RunPlanning(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  for (int i = 0; i < 4; ++i) {
    aFleet.RunUntilIdle(aPlanner, aNow);
    aNow += seconds(2);
  }
}

/// Directs nearly all demand at the small model, which gets the available
/// targets, and stages both models on each host.
void
ServeMostlySmallModel(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  aFleet.demands = { { "large", MakeDemand(0.1) },
                     { "small", MakeDemand(150) } };
  RunPlanning(aFleet, aPlanner, aNow);
  for (auto& [id, member] : aFleet.members) {
    member.record.stagedModels = { "large", "small" };
  }
}

} // namespace

TEST_CASE("FleetPlanner converts several small replicas to one large replica")
{
  FakeFleet fleet = MakeMixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  ServeMostlySmallModel(fleet, planner, now);
  const int smallReplicas =
    planner.CountReplicas("small", ReplicaPhase::kServing);
  const int largeReplicas =
    planner.CountReplicas("large", ReplicaPhase::kServing);
  REQUIRE(smallReplicas >= 3);
  // Demand moves to the large model. One small replica has too few members for
  // a large one.
  fleet.demands = { { "large", MakeDemand(120) }, { "small", MakeDemand(1) } };
  RunPlanning(fleet, planner, now);
  CHECK(planner.CountReplicas("large", ReplicaPhase::kServing) > largeReplicas);
  CHECK(planner.CountReplicas("small", ReplicaPhase::kServing) < smallReplicas);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner repairs a large replica with members of a small one")
{
  FakeFleet fleet = MakeMixedFleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(planner.CountReplicas("large", ReplicaPhase::kServing) == 1);
  REQUIRE(planner.CountReplicas("small", ReplicaPhase::kServing) == 2);
  for (auto& [id, member] : fleet.members) {
    member.record.stagedModels = { "large", "small" };
  }
  fleet.demands = { { "large", MakeDemand(60) }, { "small", MakeDemand(0.5) } };
  for (const auto& [name, replica] : planner.Replicas()) {
    if (replica.model == "large") {
      fleet.members.at(replica.members.back()).unresponsive = true;
    }
  }
  RunPlanning(fleet, planner, now);
  CHECK(planner.CountReplicas("large", ReplicaPhase::kServing) == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE(
  "FleetPlanner takes no members from a donor whose head may still serve")
{
  FakeFleet fleet = MakeMixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  ServeMostlySmallModel(fleet, planner, now);
  fleet.demands = { { "large", MakeDemand(120) }, { "small", MakeDemand(1) } };
  // The donors' heads become unresponsive right after the order to stop, and do
  // not execute it.
  auto orders = planner.PlanRound(fleet.View(), now);
  std::set<std::string> donorHeads;
  for (const ReplicaOrder& order : orders) {
    if (order.kind == OrderKind::kCloseGently) {
      donorHeads.insert(order.target);
      fleet.members.at(order.target).unresponsive = true;
    }
  }
  REQUIRE(donorHeads.size() >= 2);
  RunPlanning(fleet, planner, now);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner keeps a replica serving if members have no store entry")
{
  // Targets partitioned from the store still respond to the planner while their
  // entries expire.
  FakeFleet fleet(4);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(CountServing(planner) == 1);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const auto expireEntry = [&](const std::string& aId) {
    fleet.members.at(aId).listed = false;
    fleet.members.at(aId).record.leaving = true;
  };
  expireEntry(replica.members.at(1));
  expireEntry(replica.members.at(2));
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
  CHECK(planner.ConfirmedReplicas(fleet.members) ==
        std::set<std::string>{
          ReplicaKey({ .replica = replica.name, .epoch = replica.epoch }) });
  // Nodes send requests to listed targets only, so a listed member becomes the
  // head.
  expireEntry(replica.members.front());
  fleet.RunUntilIdle(planner, now);
  CHECK(CountServing(planner) == 1);
  CHECK(planner.Replicas().begin()->second.members.front() ==
        replica.members.back());
  // A replica with an unresponsive member is not confirmed.
  fleet.members.at(replica.members.at(1)).unresponsive = true;
  CHECK(planner.ConfirmedReplicas(fleet.members).empty());
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner ignores a report whose rank is another member's")
{
  // The address of one member now belongs to another target of the same
  // replica, so its reports carry that target's rank. Counting them would open
  // a replica with a member that never joined.
  FakeFleet fleet(4);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  const auto isLastMemberJoin = [&](const ReplicaOrder& aOrder) {
    return aOrder.kind == OrderKind::kJoin && aOrder.members.size() == 4 &&
           aOrder.target == aOrder.members.back();
  };
  bool opened = false;
  for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
    auto orders = planner.PlanRound(fleet.View(true), now);
    for (const ReplicaOrder& order : orders) {
      opened = opened || order.kind == OrderKind::kOpen;
    }
    const auto misdirected =
      std::find_if(orders.begin(), orders.end(), isLastMemberJoin);
    if (misdirected != orders.end()) {
      const std::string lastMember = misdirected->target;
      const Membership otherMembership{ .replica = misdirected->replica,
                                        .epoch = misdirected->epoch,
                                        .rank = 1,
                                        .state = MemberState::kReady };
      orders.erase(misdirected);
      fleet.Execute(orders);
      fleet.members.at(lastMember).record.membership = otherMembership;
    } else {
      fleet.Execute(orders);
    }
  }
  CHECK_FALSE(opened);
}

TEST_CASE("FleetPlanner loads a spare for a large replica that has none")
{
  FakeFleet fleet = MakeMixedFleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(planner.CountReplicas("large", ReplicaPhase::kServing) == 1);
  fleet.demands = { { "large", MakeDemand(40) }, { "small", MakeDemand(60) } };
  // A target without weights arrives. Two more such targets would complete a
  // small replica, which loads faster, but until then the large replica could
  // not be repaired.
  PlannerMember coldTarget;
  coldTarget.record = fleet.members.begin()->second.record;
  coldTarget.record.id = "fresh";
  coldTarget.record.address = "fresh:1";
  coldTarget.record.model.clear();
  coldTarget.record.stagedModels.clear();
  coldTarget.record.membership.reset();
  fleet.members.emplace("fresh", coldTarget);
  std::string orderedModel;
  for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(), now);
    for (const ReplicaOrder& order : orders) {
      if (order.target == "fresh" && order.kind == OrderKind::kJoin) {
        orderedModel = order.model;
      }
    }
    fleet.Execute(orders);
  }
  CHECK(orderedModel == "large");
}

TEST_CASE("FleetPlanner keeps spares if the overloaded model cannot use them")
{
  FakeFleet fleet = MakeMixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const auto smallReplicas = [&] {
    return planner.CountReplicas("small", ReplicaPhase::kServing);
  };
  const int smallReplicasBefore = smallReplicas();
  REQUIRE(planner.CountReplicas("large", ReplicaPhase::kServing) == 1);
  // The large model is overloaded, but there are too few targets for another
  // replica of it; the small model has spare capacity.
  fleet.demands = { { "large", MakeDemand(200) }, { "small", MakeDemand(20) } };
  for (int i = 0; i < 3; ++i, now += seconds(2)) {
    fleet.RunUntilIdle(planner, now);
  }
  CHECK(smallReplicas() <= smallReplicasBefore);
  CHECK(fleet.violations.empty());
}
