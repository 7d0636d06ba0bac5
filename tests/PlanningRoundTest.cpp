#include "groups/PlanningRound.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(100) };
constexpr UnixMillis kWallNow = 1'000'000;

/// Two fabric domains of VMs "d0-0", "d0-1", ... and their planner.
struct Fleet
{
  Fleet(int aVmsPerDomain, int aGroups)
  {
    for (int domain = 0; domain < 2; ++domain) {
      for (int i = 0; i < aVmsPerDomain; ++i) {
        this->AddVm("d" + std::to_string(domain), i);
      }
    }
    this->configuration.groupSets = { { .name = "g",
                                        .service = "chat",
                                        .role = "engine",
                                        .count = aGroups,
                                        .size = 2 } };
    this->Run();
  }

  void AddVm(const std::string& aDomain, int aIndex)
  {
    const std::string id = aDomain + "-" + std::to_string(aIndex);
    this->vms.push_back(Vm{ .id = id,
                            .address = id + ":1",
                            .availabilityZone = aDomain,
                            .fabricDomain = aDomain,
                            .role = "engine" });
    this->reports[id] = MemberReport{ .incarnation = "i",
                                      .group = {},
                                      .epoch = 0,
                                      .ready = true,
                                      .requests = 0,
                                      .probedAt = kNow };
  }

  /// Runs a planning round at the given time after the start and applies its
  /// plans. Returns whether there were any.
  bool Run(Duration aAfter = Duration::zero())
  {
    for (auto& [vm, report] : this->reports) {
      report.probedAt = kNow + aAfter;
    }
    const GroupPlanner planner(GroupPlanner::Options{});
    const PlannerView view{ .configuration = this->configuration,
                            .vms = this->vms,
                            .reports = this->reports,
                            .leaving = this->leaving,
                            .evacuated = this->evacuated,
                            .plans = this->plans,
                            .observingSince = {} };
    const auto changed =
      planner.Plan(view, kWallNow + aAfter / milliseconds(1), kNow + aAfter);
    for (const DomainPlan& plan : changed) {
      this->plans[plan.domain] = plan;
    }
    return !changed.empty();
  }

  void EvacuateDomain(const std::string& aDomain)
  {
    for (const Vm& vm : this->vms) {
      if (vm.fabricDomain == aDomain) {
        this->evacuated.insert(vm.id);
      }
    }
  }

  std::size_t GroupCount(const std::string& aDomain) const
  {
    const auto found = this->plans.find(aDomain);
    return found == this->plans.end() ? 0 : found->second.assignments.size();
  }

  Configuration configuration;
  VmList vms;
  MemberReports reports;
  std::set<std::string, std::less<>> leaving;
  std::set<std::string, std::less<>> evacuated;
  DomainPlans plans;
};

} // namespace

TEST_CASE(
  "PlanningRound keeps the groups of a zone that is evacuated as a whole")
{
  // The other domain has free VMs, to which drained groups would move.
  Fleet fleet(4, 2);
  REQUIRE(fleet.GroupCount("d0") + fleet.GroupCount("d1") == 2);
  const std::string used = fleet.GroupCount("d0") > 0 ? "d0" : "d1";
  const DomainPlans before = fleet.plans;
  fleet.EvacuateDomain(used);
  CHECK_FALSE(fleet.Run(seconds(1)));
  CHECK_FALSE(fleet.Run(seconds(700)));
  fleet.evacuated.clear();
  CHECK_FALSE(fleet.Run(seconds(701)));
  CHECK(fleet.plans == before);
}

TEST_CASE(
  "PlanningRound drains and forms again a group that is evacuated in part")
{
  Fleet fleet(5, 4);
  REQUIRE(fleet.GroupCount("d0") == 2);
  const Assignment& group = fleet.plans.at("d0").assignments.at(0);
  const std::string name = group.group;
  const std::string evacuated = group.members.at(0).vm;
  fleet.evacuated = { evacuated };
  REQUIRE(fleet.Run());
  CHECK(fleet.plans.at("d0").assignments.at(0).state ==
        AssignmentState::kDraining);
  REQUIRE(fleet.Run(seconds(4)));
  REQUIRE(fleet.GroupCount("d0") == 2);
  for (const Assignment& assignment : fleet.plans.at("d0").assignments) {
    CHECK(assignment.state == AssignmentState::kActive);
    for (const PlannedMember& member : assignment.members) {
      CHECK(member.vm != evacuated);
    }
  }
}

TEST_CASE(
  "PlanningRound forms no group of VMs in an evacuated zone until it is "
  "taken back")
{
  Fleet fleet(2, 0);
  fleet.configuration.groupSets[0].count = 2;
  fleet.EvacuateDomain("d0");
  fleet.Run();
  CHECK(fleet.GroupCount("d0") == 0);
  CHECK(fleet.GroupCount("d1") == 1);
  fleet.evacuated.clear();
  fleet.Run(seconds(1));
  CHECK(fleet.GroupCount("d0") == 1);
}

TEST_CASE(
  "PlanningRound moves an evacuated group that loses a member to another "
  "domain with free VMs")
{
  Fleet fleet(2, 1);
  const std::string used = fleet.GroupCount("d0") > 0 ? "d0" : "d1";
  const std::string other = used == "d0" ? "d1" : "d0";
  fleet.EvacuateDomain(used);
  fleet.reports.erase(used + "-1");
  fleet.Run(seconds(10));
  CHECK(fleet.GroupCount(used) == 0);
  CHECK(fleet.GroupCount(other) == 1);
}
