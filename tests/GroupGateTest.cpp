#include "groups/GroupGate.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(10) };

Assignment
MakeTwoMemberAssignment()
{
  Assignment assignment;
  assignment.group = "g";
  assignment.epoch = 7;
  assignment.members = { { "v1", "i1", "" }, { "v2", "i2", "" } };
  return assignment;
}

MemberReports
MakeReports()
{
  const MemberReport first{ .incarnation = "i1",
                            .group = "g",
                            .epoch = 7,
                            .ready = true,
                            .requests = 0,
                            .probedAt = kNow };
  MemberReport second = first;
  second.incarnation = "i2";
  second.ready = false;
  return { { "v1", first }, { "v2", second } };
}

GateReason
Evaluate(const MemberReports& aReports,
         const std::set<std::string, std::less<>>& aLeaving = {},
         Instant aNow = kNow,
         const std::set<std::string, std::less<>>& aEvacuated = {})
{
  const IntactGroupGate gate(seconds(2));
  return gate
    .Evaluate(
      MakeTwoMemberAssignment(),
      { .reports = aReports, .leaving = aLeaving, .evacuated = aEvacuated },
      aNow)
    .reason;
}

} // namespace

TEST_CASE("IntactGroupGate opens a group only if all members are present as "
          "planned and the first is ready")
{
  CHECK(Evaluate(MakeReports()) == GateReason::kNone);

  MemberReports reports = MakeReports();
  reports.erase("v2");
  CHECK(Evaluate(reports) == GateReason::kMemberUnresponsive);

  CHECK(Evaluate(MakeReports(), {}, kNow + seconds(3)) ==
        GateReason::kMemberUnresponsive);

  reports = MakeReports();
  reports["v2"].incarnation = "restarted";
  CHECK(Evaluate(reports) == GateReason::kMemberRestarted);

  reports = MakeReports();
  reports["v2"].epoch = 6;
  CHECK(Evaluate(reports) == GateReason::kMemberWithoutOrder);

  reports = MakeReports();
  reports["v1"].ready = false;
  CHECK(Evaluate(reports) == GateReason::kNotReady);

  CHECK(Evaluate(MakeReports(), { "v2" }) == GateReason::kMemberLeaving);

  CHECK(Evaluate(MakeReports(), {}, kNow, { "v2" }) ==
        GateReason::kZoneEvacuated);
}

// A scenario with PlanOnlyGate shows that the scenario checker detects groups
// that open although members are missing. If PlanOnlyGate kept such groups
// closed, there would be nothing to detect.
TEST_CASE("PlanOnlyGate without any report opens the group")
{
  const PlanOnlyGate planOnlyGate;
  CHECK(planOnlyGate
          .Evaluate(MakeTwoMemberAssignment(),
                    { .reports = {}, .leaving = {}, .evacuated = {} },
                    kNow)
          .reason == GateReason::kNone);
}
