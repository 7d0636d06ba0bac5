#include "fleet/Fleet.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr Duration kDelay = seconds(6);

TargetRecord
MakeTarget(std::string aId, std::int64_t aRevision, bool aLeaving = false)
{
  return { .id = std::move(aId),
           .service = "s",
           .leaving = aLeaving,
           .startedAt = 5,
           .revision = aRevision };
}

Membership
MakeMembership(std::int64_t aEpoch, MemberState aState)
{
  return { .replica = "r", .epoch = aEpoch, .rank = 0, .state = aState };
}

/// Returns the membership that is kept when the store, restored, lists `aEntry`
/// and `aKnown` was known.
std::optional<Membership>
MembershipAfterRestore(std::optional<Membership> aKnown,
                       std::optional<Membership> aEntry)
{
  Fleet fleet(Fleet::Options{});
  TargetRecord record = MakeTarget("t", 10);
  record.membership = std::move(aKnown);
  fleet.Put(record, kStart);
  TargetRecord entry = MakeTarget("t", 20);
  entry.membership = std::move(aEntry);
  fleet.ReplaceAllRestored({ entry }, kStart);
  return fleet.Find("t")->membership;
}

} // namespace

// Guards against a live target that stays away because its entry never changes.
TEST_CASE("Fleet lists a target again whose entry did not change since a "
          "restore")
{
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("t", 10), kStart);
  fleet.ReplaceAllRestored({ MakeTarget("t", 20) }, kStart);
  // The planner's node sends only targets that serve.
  fleet.RemoveNow("t");
  fleet.ReplaceAll({ MakeTarget("t", 20) }, Fleet::Removal::kWithGrace, kStart);
  CHECK(fleet.Find("t") != nullptr);
}

TEST_CASE(
  "Fleet brings back a removed target of a restored store that is still "
  "listed after the delay")
{
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("t", 10), kStart);
  fleet.Remove("t", kStart);
  fleet.ReplaceAllRestored({ MakeTarget("t", 20) }, kStart);
  CHECK(fleet.Find("t") == nullptr);
  CHECK_FALSE(fleet.RemoveExpired(kStart + kDelay - milliseconds(1)));
  SECTION("unless its entry expires")
  {
    fleet.Remove("t", kStart + seconds(3));
    fleet.RemoveExpired(kStart + kDelay);
    CHECK(fleet.Find("t") == nullptr);
  }
  SECTION("unless a further listing lacks it")
  {
    fleet.ReplaceAll({}, Fleet::Removal::kWithGrace, kStart + seconds(3));
    fleet.RemoveExpired(kStart + kDelay);
    CHECK(fleet.Find("t") == nullptr);
  }
  SECTION("without a change")
  {
    CHECK(fleet.RemoveExpired(kStart + kDelay));
    CHECK(fleet.Find("t") != nullptr);
  }
}

// A node that follows the planner removes what the planner does not send.
TEST_CASE("Fleet takes no target for removed that only the planner left out")
{
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("t", 10), kStart);
  fleet.ReplaceAll({}, Fleet::Removal::kImmediate, kStart);
  fleet.ReplaceAllRestored({ MakeTarget("t", 20) }, kStart);
  CHECK(fleet.Find("t") != nullptr);
}

TEST_CASE("Fleet keeps a target leaving over two restores")
{
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("t", 10, true), kStart);
  fleet.ReplaceAllRestored({ MakeTarget("t", 20) }, kStart);
  CHECK(fleet.Find("t")->leaving);
  fleet.ReplaceAllRestored({ MakeTarget("t", 30) }, kStart + seconds(5));
  CHECK(fleet.Find("t")->leaving);
  fleet.Put(MakeTarget("t", 30), kStart + seconds(7));
  CHECK(fleet.Find("t")->leaving);
}

TEST_CASE("Fleet keeps absent targets for the grace period of the last restore")
{
  Fleet fleet(Fleet::Options{ .absenceGrace = seconds(2) });
  fleet.Put(MakeTarget("t", 10), kStart);
  fleet.ReplaceAllRestored({}, kStart);
  fleet.ReplaceAllRestored({}, kStart + milliseconds(1900));
  fleet.RemoveExpired(kStart + milliseconds(2100));
  CHECK(fleet.Find("t") != nullptr);
  fleet.RemoveExpired(kStart + seconds(4));
  CHECK(fleet.Find("t") == nullptr);
}

// Guards against a member that is ordered into another replica because the
// restored entry is from before it joined.
TEST_CASE("Fleet keeps the newer membership over a restored entry")
{
  using enum MemberState;
  const Membership open = MakeMembership(7, kOpen);
  CHECK(MembershipAfterRestore(open, MakeMembership(6, kOpen)) == open);
  CHECK(MembershipAfterRestore(open, std::nullopt) == open);
  const Membership next = MakeMembership(8, kJoining);
  CHECK(MembershipAfterRestore(open, next) == next);
  const Membership closing = MakeMembership(7, kClosing);
  CHECK(MembershipAfterRestore(open, closing) == closing);
}
