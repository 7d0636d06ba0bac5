#include "FakeFleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// Demand of the model "small", in requests per second.
constexpr double kDemand = 40;

FakeFleet
MakeFleetWithDemand(int aTargetCount = 18)
{
  FakeFleet fleet(aTargetCount);
  fleet.demands["small"] = { .requests = kDemand,
                             .promptTokens = kDemand * 100,
                             .outputTokens = kDemand * 300 };
  return fleet;
}

std::vector<PlannedReplica>
ReplicasOf(const FleetPlanner& aPlanner, std::string_view aModel)
{
  std::vector<PlannedReplica> replicas;
  for (const auto& [name, replica] : aPlanner.Replicas()) {
    if (replica.model == aModel) {
      replicas.push_back(replica);
    }
  }
  return replicas;
}

/// Runs rounds for this long. Returns the lowest number of serving replicas of
/// the model "small".
int
RunFor(Duration aTime, FakeFleet& aFleet, FleetPlanner& aPlanner, Instant& aNow)
{
  int fewest = std::numeric_limits<int>::max();
  for (const Instant end = aNow + aTime; aNow < end; aNow += milliseconds(50)) {
    aFleet.Execute(aPlanner.PlanRound(aFleet.View(), aNow));
    fewest =
      std::min(fewest, aPlanner.CountReplicas("small", ReplicaPhase::kServing));
  }
  return fewest;
}

} // namespace

// Guards against replicas that accept next to nothing after a repair.
TEST_CASE("FleetPlanner gives a repaired replica a head without a limit")
{
  FakeFleet fleet = MakeFleetWithDemand();
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  const PlannedReplica before = ReplicasOf(planner, "small").front();
  fleet.Add(MakeTarget(20));
  fleet.members.at("t20").record.model = "small";
  fleet.members.at("t20").record.stagedModels = { "small" };
  fleet.members.at(before.members[1]).requestLimit = 1;
  fleet.members.erase(before.members[0]);
  RunFor(seconds(5), fleet, planner, now);
  const PlannedReplica& repaired = planner.Replicas().at(before.name);
  CHECK(repaired.phase == ReplicaPhase::kServing);
  CHECK(repaired.members.front() != before.members[1]);
  CHECK(std::count(repaired.members.begin(),
                   repaired.members.end(),
                   before.members[1]) == 1);
  CHECK(fleet.violations.empty());
}

// Guards against requests that are refused for a limit while other members of
// the replica have none.
TEST_CASE("FleetPlanner replaces a head whose limit is below its demand")
{
  FakeFleet fleet = MakeFleetWithDemand();
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  const std::vector<PlannedReplica> before = ReplicasOf(planner, "small");
  REQUIRE(before.size() >= 2);
  for (const PlannedReplica& replica : before) {
    fleet.members.at(replica.members.front()).requestLimit = 1;
  }
  // The replicas stop in turn.
  CHECK(RunFor(seconds(10), fleet, planner, now) ==
        static_cast<int>(before.size()) - 1);
  for (const PlannedReplica& replica : before) {
    const PlannedReplica& current = planner.Replicas().at(replica.name);
    CHECK(current.phase == ReplicaPhase::kServing);
    CHECK(current.members.front() == replica.members[1]);
    CHECK(std::is_permutation(current.members.begin(),
                              current.members.end(),
                              replica.members.begin(),
                              replica.members.end()));
  }
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner lets a limited head finish its work before it replaces "
          "it")
{
  FakeFleet fleet = MakeFleetWithDemand();
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  fleet.headsHaveWork = true;
  const PlannedReplica replica = ReplicasOf(planner, "small").front();
  const std::string& head = replica.members.front();
  fleet.members.at(head).requestLimit = 1;
  const auto orders = planner.PlanRound(fleet.View(), now);
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().kind == OrderKind::kCloseGently);
  CHECK(orders.front().target == head);
  fleet.Execute(orders);
  RunFor(seconds(1), fleet, planner, now);
  CHECK(planner.Replicas().at(replica.name).members == replica.members);
  fleet.members.at(head).record.membership->state = MemberState::kReady;
  RunFor(seconds(1), fleet, planner, now);
  CHECK(planner.Replicas().at(replica.name).members.front() != head);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner keeps a limited head that no member can replace, or "
          "whose limit does not bind")
{
  FakeFleet fleet = MakeFleetWithDemand();
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  const auto replicas = planner.Replicas();
  const PlannedReplica replica = ReplicasOf(planner, "small").front();
  const bool areAllLimited = GENERATE(false, true);
  if (areAllLimited) {
    for (const std::string& id : replica.members) {
      fleet.members.at(id).requestLimit = 1;
    }
  } else {
    // Half of its share.
    const auto replicaCount =
      static_cast<double>(ReplicasOf(planner, "small").size());
    fleet.members.at(replica.members.front()).requestLimit =
      kDemand / replicaCount / 2;
  }
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
  CHECK(planner.Replicas() == replicas);
}

// Guards against a replica that stops again and again, because the limit of a
// member becomes known only once it is the head.
TEST_CASE("FleetPlanner replaces a limited head once, and not that of the only "
          "replica")
{
  const bool isOnlyReplica = GENERATE(false, true);
  FakeFleet fleet = MakeFleetWithDemand(isOnlyReplica ? 7 : 18);
  fleet.demands["large"] = fleet.demands["small"];
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  const std::vector<PlannedReplica> replicas = ReplicasOf(planner, "small");
  REQUIRE((replicas.size() == 1) == isOnlyReplica);
  int closes = 0;
  for (int i = 0; i < 200; ++i, now += milliseconds(50)) {
    const auto& current = planner.Replicas().at(replicas.front().name);
    if (current.phase == ReplicaPhase::kServing) {
      fleet.members.at(current.members.front()).requestLimit = 1;
    }
    const auto orders = planner.PlanRound(fleet.View(), now);
    closes += static_cast<int>(
      std::count_if(orders.begin(), orders.end(), [](const auto& aOrder) {
        return aOrder.kind == OrderKind::kCloseGently;
      }));
    fleet.Execute(orders);
  }
  CHECK(closes == (isOnlyReplica ? 0 : 1));
  CHECK(fleet.violations.empty());
}
