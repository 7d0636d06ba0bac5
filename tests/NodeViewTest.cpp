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
