#include "replicas/PlannerSuccession.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr PlannerSuccession::View kUsable{ .entriesUsable = true };
constexpr PlannerSuccession::View kUsableWhilePlannerResponds{
  .entriesUsable = true,
  .plannerResponds = true
};

PlannerSuccession
MakeSuccession(bool aIsLargeVm = true)
{
  PlannerSuccession succession({ .isLargeVm = aIsLargeVm });
  succession.OnStart(false, kStart);
  return succession;
}

} // namespace

TEST_CASE("PlannerSuccession lets small VMs wait for large ones")
{
  const PlannerSuccession large = MakeSuccession();
  CHECK(large.MayQuery(kStart));
  CHECK(large.MayAcquire(kUsable, kStart));
  const PlannerSuccession small = MakeSuccession(false);
  CHECK_FALSE(small.MayQuery(kStart + milliseconds(1100)));
  CHECK(small.MayQuery(kStart + milliseconds(1200)));
  CHECK_FALSE(small.MayAcquire(kUsable, kStart + milliseconds(5900)));
  CHECK(small.MayAcquire(kUsable, kStart + milliseconds(6000)));
}

// Guards against a small VM that takes the lease from large ones, because it
// could not follow a busy planner before that failed.
TEST_CASE(
  "PlannerSuccession counts the delay of small VMs from the last holder")
{
  PlannerSuccession small = MakeSuccession(false);
  const Instant seen = kStart + seconds(10);
  small.OnOtherHolder(seen);
  CHECK_FALSE(small.MayAcquire(kUsable, seen + milliseconds(1000)));
  CHECK(small.MayAcquire(kUsable, seen + milliseconds(6000)));
}

TEST_CASE("PlannerSuccession lets restarted small VMs ask for the holder")
{
  PlannerSuccession small({ .isLargeVm = false });
  small.OnStart(true, kStart);
  CHECK(small.MayQuery(kStart + milliseconds(100)));
}

TEST_CASE("PlannerSuccession does not count the time of a store outage")
{
  PlannerSuccession succession = MakeSuccession();
  const Instant recovery = kStart + seconds(9);
  succession.OnStoreFailure(recovery);
  CHECK_FALSE(succession.MayAcquire({}, recovery + milliseconds(399)));
  CHECK(succession.MayAcquire({}, recovery + milliseconds(400)));
}

// Guards against a change of planners, and seconds without repairs, after each
// outage of the store.
TEST_CASE("PlannerSuccession leaves the lease to a planner that outlived a "
          "store outage")
{
  PlannerSuccession other = MakeSuccession();
  const Instant recovery = kStart + seconds(9);
  other.OnStoreFailure(recovery);
  CHECK_FALSE(other.MayAcquire(kUsableWhilePlannerResponds,
                               recovery + milliseconds(1900)));
  CHECK(other.MayAcquire(kUsable, recovery + milliseconds(1900)));
  CHECK(other.MayAcquire(kUsableWhilePlannerResponds, recovery + seconds(2)));

  PlannerSuccession planner = MakeSuccession();
  planner.OnTermStarted();
  CHECK_FALSE(planner.ContinuesTerm(recovery));
  planner.OnTermEnded(recovery);
  CHECK(planner.MayAcquire({}, recovery));
  CHECK(planner.ContinuesTerm(recovery + milliseconds(100)));
  CHECK_FALSE(planner.ContinuesTerm(recovery + seconds(2)));
}

// A planner that only this node could reach must be replaced.
TEST_CASE("PlannerSuccession replaces a planner that alone lost the store")
{
  PlannerSuccession other = MakeSuccession();
  other.OnPlannerFollowed(kStart + seconds(5));
  CHECK(other.MayAcquire(kUsableWhilePlannerResponds, kStart + seconds(7)));
}

TEST_CASE("PlannerSuccession does not continue a term after another planner")
{
  const Instant end = kStart + seconds(9);
  PlannerSuccession planner = MakeSuccession();
  planner.OnTermStarted();
  // The holder was seen before the loss was noticed.
  planner.OnOtherHolder(end);
  planner.OnTermEnded(end);
  CHECK_FALSE(planner.ContinuesTerm(end));
  planner.OnTermStarted();
  planner.OnTermEnded(end);
  planner.OnPlannerFollowed(end + milliseconds(100));
  CHECK_FALSE(planner.ContinuesTerm(end + milliseconds(200)));
}

// Guards against replicas broken up by a planner that reaches no target.
TEST_CASE("PlannerSuccession leaves the lease to nodes that reach targets")
{
  constexpr PlannerSuccession::View kIsolated{ .entriesUsable = true,
                                               .isIsolated = true };
  const Instant end = kStart + seconds(9);
  PlannerSuccession planner = MakeSuccession();
  planner.OnTermStarted();
  planner.OnResigned(end);
  planner.OnTermEnded(end);
  CHECK_FALSE(planner.MayAcquire(kIsolated, end + milliseconds(2900)));
  CHECK(planner.MayAcquire(kIsolated, end + milliseconds(3000)));
  CHECK(planner.MayAcquire(kUsable, end + milliseconds(100)));
  CHECK_FALSE(planner.ContinuesTerm(end + milliseconds(100)));
}
