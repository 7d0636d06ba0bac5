#include "replicas/RoundIndex.h"
#include "FakeFleet.h"

using namespace apricottrack;

TEST_CASE("RoundIndex groups targets by fabric domain")
{
  FakeFleet fleet(2);
  fleet.Add(MakeTarget(2, "d2"));
  const RoundIndex index(fleet.members);
  CHECK(index.Domains().size() == 2);
  CHECK(index.TargetsIn("d1").size() == 2);
  REQUIRE(index.TargetsIn("d2").size() == 1);
  CHECK(index.TargetsIn("d2").front()->record.id == "t02");
  CHECK(index.TargetsIn("d3").empty());
}

TEST_CASE("RoundIndex returns the state of the head of a list of members")
{
  FakeFleet fleet(2);
  fleet.members.at("t00").record.membership = {
    .replica = "r1", .epoch = 7, .rank = 0, .state = MemberState::kOpen
  };
  const RoundIndex index(fleet.members);
  CHECK(index.HeadState({ .replica = "r1", .epoch = 7, .rank = 3 }) ==
        MemberState::kOpen);
  CHECK(index.HeadState({ .replica = "r1", .epoch = 8 }) == MemberState::kNone);
}

TEST_CASE("RoundIndex counts the lists of planned replicas that name a target")
{
  RoundIndex index({});
  index.AddPlanned({ "a", "b" });
  index.AddPlanned({ "b" });
  index.RemovePlanned({ "a", "b" });
  CHECK_FALSE(index.IsPlanned("a"));
  CHECK(index.IsPlanned("b"));
  index.RemovePlanned({ "b", "c" });
  CHECK_FALSE(index.IsPlanned("b"));
}
