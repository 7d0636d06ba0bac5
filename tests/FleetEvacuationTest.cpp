#include "FakeFleet.h"
#include "replicas/EvacuatedTargets.h"

using namespace apricottrack;

namespace {

/// Domains d1 and d2 lie in the zones a and b.
struct TwoZones : FakeFleet
{
  explicit TwoZones(int aTargetsPerZone)
    : FakeFleet(0)
  {
    this->AddSpares(aTargetsPerZone);
  }

  /// Adds targets without weights to each zone.
  void AddSpares(int aTargetsPerZone)
  {
    for (int i = 0; i < 2 * aTargetsPerZone; ++i) {
      const bool isFirst = i < aTargetsPerZone;
      TargetRecord record = MakeTarget(static_cast<int>(this->members.size()),
                                       isFirst ? "d1" : "d2");
      record.availabilityZone = isFirst ? "a" : "b";
      record.stagedModels = { "large", "small" };
      this->Add(std::move(record));
    }
  }

  void Evacuate(const ZoneEvacuations::Zones& aZones)
  {
    for (auto& [id, member] : this->members) {
      member.evacuated = false;
      member.record.leaving = false;
    }
    this->evacuations.Apply({ .zones = aZones, .revision = ++this->revision },
                            kStart);
    MarkEvacuatedTargets(this->evacuations, this->members);
  }

  int CountOpenHeadsIn(const std::string& aZone) const
  {
    int heads = 0;
    for (const auto& [id, member] : this->members) {
      heads += member.record.availabilityZone == aZone &&
                   member.record.membership &&
                   member.record.membership->state == MemberState::kOpen
                 ? 1
                 : 0;
    }
    return heads;
  }

  ZoneEvacuations evacuations;
  Revision revision = 0;
};

ModelDemand
MakeDemand(double aRequestsPerSecond)
{
  return { .requests = aRequestsPerSecond,
           .promptTokens = aRequestsPerSecond * 700,
           .outputTokens = aRequestsPerSecond * 200 };
}

} // namespace

TEST_CASE("FleetPlanner keeps the replicas of an evacuated zone as they are")
{
  TwoZones fleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  const int heads = fleet.CountOpenHeadsIn("a");
  REQUIRE(heads > 0);
  fleet.Evacuate({ "a" });
  fleet.RunUntilIdle(planner, now);
  CHECK(fleet.CountOpenHeadsIn("a") == heads);
  fleet.Evacuate({});
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
  CHECK(fleet.CountOpenHeadsIn("a") == heads);
}

// The load: one zone has to serve what two served.
TEST_CASE("FleetPlanner forms further replicas from spare targets of the other "
          "zones only")
{
  TwoZones fleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.AddSpares(4);
  fleet.demands = { { "large", MakeDemand(1) }, { "small", MakeDemand(1) } };
  fleet.RunUntilIdle(planner, now);
  const int evacuatedBefore = fleet.CountOpenHeadsIn("a");
  const int otherBefore = fleet.CountOpenHeadsIn("b");
  fleet.Evacuate({ "a" });
  fleet.demands = { { "large", MakeDemand(90) }, { "small", MakeDemand(90) } };
  fleet.RunUntilIdle(planner, now);
  CHECK(fleet.CountOpenHeadsIn("a") == evacuatedBefore);
  CHECK(fleet.CountOpenHeadsIn("b") > otherBefore);
  CHECK(fleet.violations.empty());
}

TEST_CASE("FleetPlanner orders nothing while all zones are evacuated")
{
  TwoZones fleet(14);
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  fleet.demands = { { "large", MakeDemand(90) }, { "small", MakeDemand(90) } };
  fleet.Evacuate({ "a", "b" });
  CHECK(fleet.RunUntilIdle(planner, now) == 0);
}

TEST_CASE("FleetPlanner moves the replicas of a partly evacuated domain to its "
          "other targets")
{
  TwoZones fleet(10);
  for (auto& [id, member] : fleet.members) {
    member.record.fabricDomain = "d1";
  }
  FleetPlanner planner = MakePlanner(1);
  Instant now = kStart;
  fleet.RunUntilIdle(planner, now, true);
  fleet.RunUntilIdle(planner, now);
  fleet.Evacuate({ "a" });
  fleet.RunUntilIdle(planner, now);
  CHECK(fleet.CountOpenHeadsIn("a") == 0);
  CHECK(fleet.CountOpenHeadsIn("b") > 0);
  CHECK(fleet.violations.empty());
}
