#include "groups/GroupGate.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(10) };

Assignment
TwoMembers()
{
  Assignment assignment;
  assignment.group = "g";
  assignment.epoch = 7;
  assignment.members = { { "v1", "i1", "" }, { "v2", "i2", "" } };
  return assignment;
}

MemberReports
Reports()
{
  const MemberReport first{ .incarnation = "i1",
                            .group = "g",
                            .epoch = 7,
                            .ready = true,
                            .requests = 0,
                            .heardAt = kNow };
  MemberReport second = first;
  second.incarnation = "i2";
  second.ready = false;
  return { { "v1", first }, { "v2", second } };
}

GateReason
Judge(const MemberReports& aReports,
      const std::set<std::string, std::less<>>& aLeaving = {},
      Instant aNow = kNow)
{
  const WholeGroupGate gate(seconds(2));
  return gate
    .Judge(TwoMembers(), { .reports = aReports, .leaving = aLeaving }, aNow)
    .reason;
}

} // namespace

TEST_CASE("IntactGroupGate opens a group only if all members are present as "
          "planned and the first is ready")
{
  CHECK(Judge(Reports()) == GateReason::kNone);

  MemberReports reports = Reports();
  reports.erase("v2");
  CHECK(Judge(reports) == GateReason::kMemberUnheard);

  CHECK(Judge(Reports(), {}, kNow + seconds(3)) == GateReason::kMemberUnheard);

  reports = Reports();
  reports["v2"].incarnation = "restarted";
  CHECK(Judge(reports) == GateReason::kMemberRestarted);

  reports = Reports();
  reports["v2"].epoch = 6;
  CHECK(Judge(reports) == GateReason::kMemberWithoutOrder);

  reports = Reports();
  reports["v1"].ready = false;
  CHECK(Judge(reports) == GateReason::kNotReady);

  CHECK(Judge(Reports(), { "v2" }) == GateReason::kMemberLeaving);
}

// Without this, the scenario that must detect a missing gate would prove
// nothing.
TEST_CASE("PlanOnlyGate without any report opens the group")
{
  const PlanOnlyGate naive;
  CHECK(
    naive.Judge(TwoMembers(), { .reports = {}, .leaving = {} }, kNow).reason ==
    GateReason::kNone);
}
