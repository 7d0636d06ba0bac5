#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// Opens the replicas with a second order to each head; the first one has no
/// effect yet.
void
OpenWithSecondOrder(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  const auto isAnyOpening = [&] {
    return aPlanner.CountReplicas("large", ReplicaPhase::kOpening) +
             aPlanner.CountReplicas("small", ReplicaPhase::kOpening) >
           0;
  };
  aFleet.delayOpens = true;
  for (int i = 0; i < 100 && !isAnyOpening(); ++i, aNow += milliseconds(50)) {
    aFleet.Execute(aPlanner.PlanRound(aFleet.View(true), aNow));
  }
  aFleet.delayOpens = false;
  aFleet.RunUntilIdle(aPlanner, aNow, true);
}

/// Runs planning rounds in which the delayed orders to open are carried out
/// right before the joins of the same round.
void
RunWithLateOpens(FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  for (int i = 0; i < 100; ++i, aNow += milliseconds(50)) {
    auto orders = aPlanner.PlanRound(aFleet.View(), aNow);
    const auto joins = std::stable_partition(
      orders.begin(), orders.end(), [](const ReplicaOrder& aOrder) {
        return aOrder.kind != OrderKind::kJoin;
      });
    aFleet.Execute({ orders.begin(), joins });
    if (joins != orders.end()) {
      aFleet.ExecuteDelayedOpens();
    }
    aFleet.Execute({ joins, orders.end() });
  }
}

ModelDemand
MakeDemand(double aRequestsPerSecond)
{
  return { .requests = aRequestsPerSecond,
           .promptTokens = aRequestsPerSecond * 700,
           .outputTokens = aRequestsPerSecond * 200 };
}

} // namespace

// Guards against members that join another replica while their head serves
// again by an order that was repeated before the head was closed.
TEST_CASE("FleetPlanner moves no members of a closed replica whose head may "
          "carry out an earlier order to open")
{
  FakeFleet fleet(7);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  OpenWithSecondOrder(fleet, planner, now);
  REQUIRE(CountServing(planner) == 2);
  for (const auto& [name, replica] : planner.Replicas()) {
    fleet.members.at(replica.members.back()).unresponsive = true;
  }
  RunWithLateOpens(fleet, planner, now);
  CHECK(CountServing(planner) == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner takes no members from a closed donor whose head may "
          "carry out an earlier order to open")
{
  FakeFleet fleet(14);
  fleet.service.engine->models = {
    { .name = "large", .size = 8, .share = 0.5, .loadTime = seconds(16) },
    { .name = "small", .size = 3, .share = 0.5, .loadTime = seconds(12) },
  };
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  OpenWithSecondOrder(fleet, planner, now);
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
  RunWithLateOpens(fleet, planner, now);
  CHECK(planner.CountReplicas("large", ReplicaPhase::kServing) == 1);
  CHECK(fleet.violations.empty());
}

// Guards against the same where the first transmission of an order had no reply
// and only the second one did.
TEST_CASE("FleetPlanner takes an order to open that was sent twice and replied "
          "to once for outstanding")
{
  FakeFleet fleet(7);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  std::vector<ReplicaOrder> opens;
  for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
    const auto orders = planner.PlanRound(fleet.View(true), now);
    fleet.Execute(orders);
    for (const ReplicaOrder& order : orders) {
      if (order.kind == OrderKind::kOpen) {
        opens.push_back(order);
        planner.OnSentAgain(order);
        planner.OnReply(order, OrderReply::kAccepted);
      }
    }
  }
  REQUIRE(CountServing(planner) == 2);
  fleet.DelayOpens(opens);
  for (const auto& [name, replica] : planner.Replicas()) {
    fleet.members.at(replica.members.back()).unresponsive = true;
  }
  RunWithLateOpens(fleet, planner, now);
  CHECK(CountServing(planner) == 1);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner joins members of a closed replica at once if its "
          "orders to open had replies")
{
  FakeFleet fleet(7);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  for (int i = 0; i < 40; ++i, now += milliseconds(50)) {
    for (const ReplicaOrder& order : planner.PlanRound(fleet.View(true), now)) {
      fleet.Execute({ order });
      planner.OnReply(order, OrderReply::kAccepted);
    }
  }
  REQUIRE(CountServing(planner) == 2);
  for (const auto& [name, replica] : planner.Replicas()) {
    fleet.members.at(replica.members.back()).unresponsive = true;
  }
  bool joined = false;
  for (int i = 0; i < 100; ++i, now += milliseconds(50)) {
    for (const ReplicaOrder& order : planner.PlanRound(fleet.View(), now)) {
      joined = joined || order.kind == OrderKind::kJoin;
      CHECK((joined || order.kind != OrderKind::kLeave));
      fleet.Execute({ order });
    }
  }
  CHECK(CountServing(planner) == 1);
  CHECK(fleet.violations.empty());
}

// Guards against a head that was out of sight while its replica went on without
// it, returns in its former list of members, and serves by a late order to
// open.
TEST_CASE("FleetPlanner moves no head that returns in a list of members whose "
          "order to open may still be carried out")
{
  FakeFleet fleet(8);
  for (auto& [id, member] : fleet.members) {
    member.record.stagedModels = { "large", "small" };
  }
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.delayOpens = true;
  const auto opening = [&]() -> const PlannedReplica* {
    for (const auto& [name, replica] : planner.Replicas()) {
      if (replica.model == "large" && replica.phase == ReplicaPhase::kOpening) {
        return &replica;
      }
    }
    return nullptr;
  };
  while (opening() == nullptr) {
    REQUIRE(now < kStart + seconds(10));
    fleet.Execute(planner.PlanRound(fleet.View(true), now));
    now += milliseconds(50);
  }
  const std::string head = opening()->members.front();
  const PlannerMember before = fleet.members.at(head);
  REQUIRE(before.record.membership->state == MemberState::kReady);
  fleet.members.erase(head);
  fleet.delayOpens = false;
  fleet.RunUntilIdle(planner, now);
  REQUIRE(CountServing(planner) == 2);
  fleet.members.emplace(head, before);
  fleet.RunUntilIdle(planner, now);
  // The returned target is the only spare.
  for (const auto& [name, replica] : planner.Replicas()) {
    if (replica.model == "small") {
      fleet.members.at(replica.members.back()).unresponsive = true;
    }
  }
  RunWithLateOpens(fleet, planner, now);
  CHECK(fleet.violations.empty());
  CHECK(CountServing(planner) == 2);
}

// Guards against a replica that waits for ever for a target which is still in
// another list of members.
TEST_CASE("FleetPlanner joins a target that serves an earlier list of members "
          "once it has left that")
{
  FakeFleet fleet(7);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  REQUIRE(CountServing(planner) == 2);
  const auto& replica = planner.Replicas().begin()->second;
  const std::string member = replica.members.back();
  const Membership membership = *fleet.members.at(member).record.membership;
  // The target turns out to serve a list that was given up.
  fleet.members.at(member).record.membership =
    Membership{ .replica = "r1",
                .epoch = membership.epoch - 1,
                .rank = 0,
                .state = MemberState::kOpen };
  fleet.RunUntilIdle(planner, now);
  CHECK(CountServing(planner) == 2);
  CHECK(fleet.violations.empty());
}
