#include "node/NodeView.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(10) };

Vm
MakeVm(std::string aId, std::string aRole)
{
  return Vm{ .id = aId,
             .address = aId + ":1",
             .availabilityZone = "a",
             .fabricDomain = "d",
             .role = std::move(aRole) };
}

MemberReport
MakeReport(std::string aIncarnation, std::string aGroup = {})
{
  return MemberReport{ .incarnation = std::move(aIncarnation),
                       .group = std::move(aGroup),
                       .epoch = 1,
                       .ready = true,
                       .requests = 3,
                       .probedAt = kNow };
}

NodeView
MakeView()
{
  NodeView view(std::make_unique<IntactGroupGate>(seconds(2)), seconds(2));
  view.SetVms({ MakeVm("p1", "web"), MakeVm("e1", "engine") });
  view.SetEvacuatedZones({}, kNow);
  view.SetReport("p1", MakeReport("i1"));
  view.SetReport("e1", MakeReport("i2", "g-0"));
  Assignment assignment;
  assignment.group = "g-0";
  assignment.service = "chat";
  assignment.epoch = 1;
  assignment.members = { { "e1", "i2", "e1:1" } };
  DomainPlan plan;
  plan.domain = "d";
  plan.epoch = 1;
  plan.assignments = { assignment };
  view.SetPlan(plan);
  return view;
}

Service
MakeService(Contract aContract)
{
  Service service;
  service.name = "chat";
  service.contract = aContract;
  service.role = "web";
  return service;
}

} // namespace

TEST_CASE(
  "NodeView::TargetsFor returns reporting VMs or planned groups by contract")
{
  const NodeView view = MakeView();
  const auto plain = view.TargetsFor(MakeService(Contract::kPlain), kNow);
  REQUIRE(plain.size() == 1);
  CHECK(plain[0].id == "p1#i1");
  CHECK(plain[0].reportedRequests == 3);
  const auto groups = view.TargetsFor(MakeService(Contract::kChat), kNow);
  REQUIRE(groups.size() == 1);
  CHECK(groups[0].id == "g-0#1");
  CHECK(groups[0].address == "e1:1");
}

TEST_CASE(
  "NodeView::TargetsFor omits drained VMs and VMs with outdated reports")
{
  NodeView view = MakeView();
  const Service plain = MakeService(Contract::kPlain);
  const Service chat = MakeService(Contract::kChat);
  CHECK(view.TargetsFor(plain, kNow + seconds(3)).empty());
  CHECK(view.TargetsFor(chat, kNow + seconds(3)).empty());
  view.SetDrainedVms({ "p1", "e1" });
  CHECK(view.TargetsFor(plain, kNow).empty());
  CHECK(view.TargetsFor(chat, kNow).empty());
  view.SetDrainedVms({});
  CHECK(view.TargetsFor(chat, kNow).size() == 1);
}

TEST_CASE("NodeView keeps its plan and report when an older one is set")
{
  NodeView view = MakeView();
  DomainPlan older;
  older.domain = "d";
  view.SetPlan(older);
  CHECK(view.Plans().at("d").epoch == 1);
  MemberReport olderReport = MakeReport("old");
  olderReport.probedAt = kNow - seconds(1);
  view.SetReport("p1", olderReport);
  CHECK(view.Reports().find("p1")->second.incarnation == "i1");
}

TEST_CASE(
  "NodeView::MeasureFleetTime counts groups that do not serve as downtime")
{
  NodeView view = MakeView();
  Configuration configuration;
  configuration.groupSets = { { .name = "g", .role = "engine", .count = 2 } };
  const FleetTime time = view.MeasureFleetTime(configuration, seconds(1), kNow);
  CHECK(time == FleetTime{ .downtime = 1, .stranded = 0, .total = 1 });
  view.SetDrainedVms({ "e1" });
  const FleetTime drained =
    view.MeasureFleetTime(configuration, seconds(1), kNow);
  CHECK(drained.downtime == 2);
}

TEST_CASE(
  "NodeView::TargetsFor returns no target before the evacuated zones are "
  "known")
{
  NodeView view(std::make_unique<IntactGroupGate>(seconds(2)), seconds(2));
  view.SetVms({ MakeVm("p1", "web") });
  view.SetReport("p1", MakeReport("i1"));
  const Service plain = MakeService(Contract::kPlain);
  CHECK_FALSE(view.KnowsEvacuatedZones());
  CHECK(view.TargetsFor(plain, kNow).empty());
  view.SetEvacuatedZones({}, kNow);
  CHECK(view.KnowsEvacuatedZones());
  CHECK(view.TargetsFor(plain, kNow).size() == 1);
}

TEST_CASE(
  "NodeView::TargetsFor omits VMs and groups in an evacuated zone until "
  "it is taken back")
{
  NodeView view = MakeView();
  const Service plain = MakeService(Contract::kPlain);
  const Service chat = MakeService(Contract::kChat);
  const Target vm = view.TargetsFor(plain, kNow).at(0);
  const Target group = view.TargetsFor(chat, kNow).at(0);
  CHECK_FALSE(view.IsEvacuated(vm));
  CHECK_FALSE(view.IsEvacuated(group));
  view.SetEvacuatedZones({ .zones = { "a" }, .revision = 2 }, kNow);
  CHECK(view.TargetsFor(plain, kNow).empty());
  CHECK(view.TargetsFor(chat, kNow).empty());
  CHECK(view.IsEvacuated(vm));
  CHECK(view.IsEvacuated(group));
  CHECK(view.GroupStatuses(kNow).at(0).verdict ==
        GateVerdict{ .reason = GateReason::kZoneEvacuated, .vm = "e1" });
  CHECK(view.LeavingVms().empty());
  view.SetEvacuatedZones({ .zones = {}, .revision = 3 }, kNow);
  CHECK(view.TargetsFor(plain, kNow).size() == 1);
  CHECK(view.TargetsFor(chat, kNow).size() == 1);
  CHECK_FALSE(view.IsEvacuated(group));
}

TEST_CASE("NodeView ignores an older reading of the evacuated zones")
{
  NodeView view = MakeView();
  view.SetEvacuatedZones({ .zones = { "a" }, .revision = 2 }, kNow);
  view.SetEvacuatedZones({ .zones = {}, .revision = 1 }, kNow);
  view.SetEvacuatedZones({}, kNow);
  CHECK(view.TargetsFor(MakeService(Contract::kPlain), kNow).empty());
}

TEST_CASE("NodeView::TargetsFor omits a VM that is listed after its zone was "
          "evacuated")
{
  NodeView view = MakeView();
  view.SetEvacuatedZones({ .zones = { "b" }, .revision = 2 }, kNow);
  Vm added = MakeVm("p2", "web");
  added.availabilityZone = "b";
  view.SetVms({ MakeVm("p1", "web"), added });
  view.SetReport("p2", MakeReport("i3"));
  const auto targets = view.TargetsFor(MakeService(Contract::kPlain), kNow);
  REQUIRE(targets.size() == 1);
  CHECK(targets[0].id == "p1#i1");
}

TEST_CASE("NodeView closes a group if any member is in an evacuated zone")
{
  NodeView view = MakeView();
  Vm second = MakeVm("e2", "engine");
  second.availabilityZone = "b";
  view.SetVms({ MakeVm("e1", "engine"), second });
  view.SetReport("e2", MakeReport("i3", "g-0"));
  DomainPlan plan = view.Plans().at("d");
  plan.assignments[0].members.push_back({ "e2", "i3", "e2:1" });
  view.SetPlan(plan);
  const Service chat = MakeService(Contract::kChat);
  const Target group = view.TargetsFor(chat, kNow).at(0);
  view.SetEvacuatedZones({ .zones = { "b" }, .revision = 2 }, kNow);
  CHECK(view.TargetsFor(chat, kNow).empty());
  CHECK(view.IsEvacuated(group));
}

TEST_CASE(
  "NodeView::EvacuatedZoneStatuses counts VMs, reported requests and VMs "
  "without a recent report")
{
  NodeView view = MakeView();
  CHECK(view.EvacuatedZoneStatuses(kNow).empty());
  MemberReport old = MakeReport("i2", "g-0");
  old.probedAt = kNow - seconds(3);
  view.SetVms(
    { MakeVm("p1", "web"), MakeVm("p2", "web"), MakeVm("e3", "engine") });
  view.SetReport("e3", old);
  view.SetEvacuatedZones({ .zones = { "a", "z" }, .revision = 2 }, kNow);
  CHECK(view.EvacuatedZoneStatuses(kNow) ==
        std::vector<ZoneStatus>{
          { .zone = "a", .vms = 3, .unresponsiveVms = 2, .requests = 3 },
          { .zone = "z", .vms = 0, .unresponsiveVms = 0, .requests = 0 } });
}

TEST_CASE("NodeView::MeasureFleetTime does not count evacuated VMs as stranded")
{
  NodeView view = MakeView();
  Configuration configuration;
  configuration.groupSets = { { .name = "g", .role = "engine", .count = 1 } };
  view.SetEvacuatedZones({ .zones = { "a" }, .revision = 2 }, kNow);
  const FleetTime time = view.MeasureFleetTime(configuration, seconds(1), kNow);
  CHECK(time == FleetTime{ .downtime = 1, .stranded = 0, .total = 1 });
}
