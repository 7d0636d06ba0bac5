#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// One fabric domain of 20 targets; a large replica takes the place of three
/// small ones. Each host has the other model staged.
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

/// Rounds for a while, so that several conversions can follow each other.
void
Play(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  for (int i = 0; i < 4; ++i) {
    aFleet.Settle(aPlanner, aNow);
    aNow += seconds(2);
  }
}

/// Only the small model is asked for, and gets all there is.
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

TEST_CASE("FleetPlanner makes a large replica of several small ones")
{
  FakeFleet fleet = MixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  ServeSmall(fleet, planner, now);
  const int small = planner.Count("small", ReplicaPhase::kServing);
  const int large = planner.Count("large", ReplicaPhase::kServing);
  REQUIRE(small >= 3);
  // Then the large one; no single small replica could serve it.
  fleet.demands = { { "large", Demand(120) }, { "small", Demand(1) } };
  Play(fleet, planner, now);
  CHECK(planner.Count("large", ReplicaPhase::kServing) > large);
  CHECK(planner.Count("small", ReplicaPhase::kServing) < small);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner completes a large replica from a small one")
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

TEST_CASE("FleetPlanner takes no members whose head may still serve")
{
  FakeFleet fleet = MixedFleet(20);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  ServeSmall(fleet, planner, now);
  fleet.demands = { { "large", Demand(120) }, { "small", Demand(1) } };
  // The donors' heads fall silent right after they were told to stop, and do
  // not carry that out.
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

TEST_CASE("FleetPlanner serves on with members that the store does not list")
{
  // All targets of a partition answer, and only their entries lapsed.
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
  // A head gets requests, so another member takes its place.
  lapse(replica.members.front());
  fleet.Settle(planner, now);
  CHECK(Serving(planner) == 1);
  CHECK(planner.Replicas().begin()->second.members.front() ==
        replica.members.back());
  // A member that does not answer is vouched for no longer.
  fleet.members.at(replica.members.at(1)).silent = true;
  CHECK(planner.Vouched(fleet.members).empty());
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner does not take another target's report for a member's")
{
  // The address of one member belongs to another target of the same replica,
  // whose reports carry that one's rank.
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

TEST_CASE("FleetPlanner keeps a target warm for a large replica's repair")
{
  FakeFleet fleet = MixedFleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.Settle(planner, now, true);
  REQUIRE(planner.Count("large", ReplicaPhase::kServing) == 1);
  fleet.demands = { { "large", Demand(40) }, { "small", Demand(60) } };
  // A target that holds nothing comes. Two more like it would make a small
  // replica sooner, but the large one could not be repaired meanwhile.
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

TEST_CASE("FleetPlanner leaves spares to repairs while no model is short")
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
  // The large model is short and cannot have another replica here; the small
  // one is at ease.
  fleet.demands = { { "large", Demand(200) }, { "small", Demand(20) } };
  for (int i = 0; i < 3; ++i, now += seconds(2)) {
    fleet.Settle(planner, now);
  }
  CHECK(small() <= before);
  CHECK(fleet.violations.empty());
}
