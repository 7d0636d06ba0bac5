#include "replicas/TargetReport.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kReportAt{ seconds(100) };

Membership
Head(MemberState aState, std::int64_t aEpoch = 208)
{
  return { .replica = "r208", .epoch = aEpoch, .rank = 0, .state = aState };
}

/// What is taken for the state of a target that has reported `aReported`, and
/// whose entry was read a second later.
std::optional<Membership>
Merge(std::optional<Membership> aEntry,
      Membership aReported,
      bool aMayHaveStopped)
{
  return MergeReport(
           { .membership = std::move(aEntry), .startedAt = 1 },
           kReportAt + seconds(1),
           TargetReport{ .membership = std::move(aReported), .startedAt = 1 },
           kReportAt,
           aMayHaveStopped)
    .membership;
}

} // namespace

// Guards against members that are moved while their head serves, because an
// entry from before it served was read late.
TEST_CASE(
  "MergeReport takes no entry for later that shows a head stopped which "
  "was not ordered to")
{
  const Membership serving = Head(MemberState::kOpen);
  CHECK(Merge(std::nullopt, serving, false) == serving);
  CHECK(Merge(Head(MemberState::kReady), serving, false) == serving);
  CHECK(Merge(Head(MemberState::kJoining), serving, false) == serving);
}

TEST_CASE(
  "MergeReport takes an entry for later that shows a head stopped by an "
  "order")
{
  const Membership serving = Head(MemberState::kOpen);
  CHECK(Merge(std::nullopt, serving, true) == std::nullopt);
  CHECK(Merge(Head(MemberState::kReady), serving, true) ==
        Head(MemberState::kReady));
}

TEST_CASE("MergeReport takes an entry for later that shows what needs no order")
{
  const Membership serving = Head(MemberState::kOpen);
  CHECK(Merge(Head(MemberState::kBroken), serving, false) ==
        Head(MemberState::kBroken));
  CHECK(Merge(Head(MemberState::kReady, 209), serving, false) ==
        Head(MemberState::kReady, 209));
  CHECK(Merge(Head(MemberState::kOpen), Head(MemberState::kReady), false) ==
        serving);
}
