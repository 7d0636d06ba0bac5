#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// One fabric domain with replicas of eight and of three targets, so that a
/// large replica needs the members of three small ones.
FakeFleet
MixedFleet(int aCount)
{
  FakeFleet fleet(aCount);
  fleet.service.engine->models = {
    { .name = "large", .size = 8, .share = 0.5, .loadTime = seconds(16) },
    { .name = "small", .size = 3, .share = 0.5, .loadTime = seconds(12) },
  };
  return fleet;
}

ModelDemand
Demand(double aRequests)
{
  return { .requests = aRequests,
           .promptTokens = aRequests * 700,
           .outputTokens = aRequests * 200 };
}

/// Runs four series of planning rounds, each later than the minimum time
/// between two conversions, so that several conversions can follow each other.
void
Play(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  for (int i = 0; i < 4; ++i) {
    aFleet.Settle(aPlanner, aNow);
    aNow += seconds(2);
  }
}

/// Directs nearly all demand at the small model, which gets the available
/// targets, and stages both models on each host.
void
ServeSmall(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  aFleet.demands = { { "large", Demand(0.1) }, { "small", Demand(150) } };
  Play(aFleet, aPlanner, aNow);
  for (auto& [id, member] : aFleet.members) {
    member.record.stagedModels = { "large", "small" };
  }
}

} // namespace

TEST_CASE("FleetPlanner converts several small replicas to one large replica")
{
  FakeFleet fleet = MixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  ServeSmall(fleet, planner, now);
  const int small = planner.Count("small", ReplicaPhase::kServing);
  const int large = planner.Count("large", ReplicaPhase::kServing);
  REQUIRE(small >= 3);
  // Demand moves to the large model. One small replica has too few members for
  // a large one.
  fleet.demands = { { "large", Demand(120) }, { "small", Demand(1) } };
  Play(fleet, planner, now);
  CHECK(planner.Count("large", ReplicaPhase::kServing) > large);
  CHECK(planner.Count("small", ReplicaPhase::kServing) < small);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner repairs a large replica with members of a small one")
{
  FakeFleet fleet = MixedFleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  REQUIRE(planner.Count("large", ReplicaPhase::kServing) == 1);
  REQUIRE(planner.Count("small", ReplicaPhase::kServing) == 2);
  for (auto& [id, member] : fleet.members) {
    member.record.stagedModels = { "large", "small" };
  }
  fleet.demands = { { "large", Demand(60) }, { "small", Demand(0.5) } };
  for (const auto& [name, replica] : planner.Replicas()) {
    if (replica.model == "large") {
      fleet.members.at(replica.members.back()).silent = true;
    }
  }
  Play(fleet, planner, now);
  CHECK(planner.Count("large", ReplicaPhase::kServing) == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE(
  "FleetPlanner takes no members from a donor whose head may still serve")
{
  FakeFleet fleet = MixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  ServeSmall(fleet, planner, now);
  fleet.demands = { { "large", Demand(120) }, { "small", Demand(1) } };
  // The donors' heads become unresponsive right after the order to stop, and do
  // not execute it.
  auto orders = planner.Round(fleet.View(), now);
  std::set<std::string> heads;
  for (const ReplicaOrder& order : orders) {
    if (order.kind == OrderKind::kCloseGently) {
      heads.insert(order.target);
      fleet.members.at(order.target).silent = true;
    }
  }
  REQUIRE(heads.size() >= 2);
  Play(fleet, planner, now);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner keeps a replica serving if members have no store entry")
{
  // Targets partitioned from the store still respond to the planner while their
  // entries expire.
  FakeFleet fleet(4);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  REQUIRE(Serving(planner) == 1);
  const PlannedReplica replica = planner.Replicas().begin()->second;
  const auto lapse = [&](const std::string& aId) {
    fleet.members.at(aId).listed = false;
    fleet.members.at(aId).record.leaving = true;
  };
  lapse(replica.members.at(1));
  lapse(replica.members.at(2));
  CHECK(fleet.Settle(planner, now) == 0);
  CHECK(planner.Vouched(fleet.members) ==
        std::set<std::string>{
          ReplicaKey({ .replica = replica.name, .epoch = replica.epoch }) });
  // Nodes send requests to listed targets only, so a listed member becomes the
  // head.
  lapse(replica.members.front());
  fleet.Settle(planner, now);
  CHECK(Serving(planner) == 1);
  CHECK(planner.Replicas().begin()->second.members.front() ==
        replica.members.back());
  // A replica with an unresponsive member is not confirmed.
  fleet.members.at(replica.members.at(1)).silent = true;
  CHECK(planner.Vouched(fleet.members).empty());
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
  const auto played = [&](const ReplicaOrder& aOrder) {
    return aOrder.kind == OrderKind::kJoin && aOrder.members.size() == 4 &&
           aOrder.target == aOrder.members.back();
  };
  bool opened = false;
  for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
    auto orders = planner.Round(fleet.View(true), now);
    for (const ReplicaOrder& order : orders) {
      opened = opened || order.kind == OrderKind::kOpen;
    }
    const auto lost = std::find_if(orders.begin(), orders.end(), played);
    if (lost != orders.end()) {
      const std::string impostor = lost->target;
      const Membership other{ .replica = lost->replica,
                              .epoch = lost->epoch,
                              .rank = 1,
                              .state = MemberState::kReady };
      orders.erase(lost);
      fleet.Carry(orders);
      fleet.members.at(impostor).record.membership = other;
    } else {
      fleet.Carry(orders);
    }
  }
  CHECK_FALSE(opened);
}

TEST_CASE("FleetPlanner loads a spare for a large replica that has none")
{
  FakeFleet fleet = MixedFleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  REQUIRE(planner.Count("large", ReplicaPhase::kServing) == 1);
  fleet.demands = { { "large", Demand(40) }, { "small", Demand(60) } };
  // A target without weights arrives. With two more like it a small replica
  // could form sooner, but until then the large one could not be repaired.
  PlannerMember fresh;
  fresh.record = fleet.members.begin()->second.record;
  fresh.record.id = "fresh";
  fresh.record.address = "fresh:1";
  fresh.record.model.clear();
  fresh.record.stagedModels.clear();
  fresh.record.membership.reset();
  fleet.members.emplace("fresh", fresh);
  std::string loaded;
  for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
    const auto orders = planner.Round(fleet.View(), now);
    for (const ReplicaOrder& order : orders) {
      if (order.target == "fresh" && order.kind == OrderKind::kJoin) {
        loaded = order.model;
      }
    }
    fleet.Carry(orders);
  }
  CHECK(loaded == "large");
}

TEST_CASE("FleetPlanner keeps spares if the overloaded model cannot use them")
{
  FakeFleet fleet = MixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  const auto small = [&] {
    return planner.Count("small", ReplicaPhase::kServing);
  };
  const int before = small();
  REQUIRE(planner.Count("large", ReplicaPhase::kServing) == 1);
  // The large model is overloaded, but there are too few targets for another
  // replica of it; the small model has spare capacity.
  fleet.demands = { { "large", Demand(200) }, { "small", Demand(20) } };
  for (int i = 0; i < 3; ++i, now += seconds(2)) {
    fleet.Settle(planner, now);
  }
  CHECK(small() <= before);
  CHECK(fleet.violations.empty());
}
