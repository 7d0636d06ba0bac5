#include "routing/Router.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(10) };

std::vector<Target>
Targets(int aCount, int aSlots = 8)
{
  std::vector<Target> targets;
  for (int i = 0; i < aCount; ++i) {
    Target target;
    target.id = fmt::format("group-{}#1", i);
    target.group = fmt::format("group-{}", i);
    target.slots = aSlots;
    target.reportedAt = kNow - seconds(1);
    targets.push_back(target);
  }
  return targets;
}

Router
MakeRouter(const std::vector<Target>& aTargets)
{
  Router router({ .availabilityZone = "a" }, MakeAffinityStrategy());
  router.SetTargets(aTargets);
  return router;
}

/// Runs one request at a target, with this time to first byte.
void
RunRequest(Router& aRouter, const std::string& aId, Duration aFirstByte)
{
  aRouter.OnStart(aId, kNow);
  aRouter.OnFirstByte(aId, aFirstByte);
  aRouter.OnEnd(aId, false, kNow);
}

} // namespace

TEST_CASE("Router sends requests with the same prefix to the same target")
{
  Router router = MakeRouter(Targets(10));
  Random random(1);
  const auto first = router.Choose({ .prefix = 42 }, {}, kNow, random);
  REQUIRE(first);
  for (int i = 0; i < 5; ++i) {
    CHECK(router.Choose({ .prefix = 42 }, {}, kNow, random) == first);
  }
}

TEST_CASE("Router bounds the load of the target of a frequent prefix")
{
  Router router = MakeRouter(Targets(4, 100));
  Random random(1);
  std::map<std::string, int> sent;
  for (int i = 0; i < 200; ++i) {
    const auto target = router.Choose({ .prefix = 42 }, {}, kNow, random);
    REQUIRE(target);
    router.OnStart(target->id, kNow);
    ++sent[target->id];
  }
  CHECK(sent.size() >= 3);
  for (const auto& [id, count] : sent) {
    CHECK(count <= 50 * 1.25 + 100 * 0.25 + 2);
  }
}

TEST_CASE("Router counts own requests since the last report as load")
{
  Router router = MakeRouter(Targets(2, 2));
  Random random(1);
  for (int i = 0; i < 4; ++i) {
    const auto target = router.Choose({}, {}, kNow, random);
    REQUIRE(target);
    router.OnStart(target->id, kNow);
  }
  CHECK(router.FreeSlots(kNow) == 0);
  CHECK_FALSE(router.Choose({}, {}, kNow, random));
}

TEST_CASE("Router drops the correction for requests that a report includes")
{
  auto targets = Targets(1, 4);
  Router router = MakeRouter(targets);
  router.OnStart(targets[0].id, kNow);
  targets[0].reportedRequests = 3;
  targets[0].reportedAt = kNow + seconds(1);
  router.SetTargets(targets);
  CHECK(router.FreeSlots(kNow + seconds(1)) == 1);
}

TEST_CASE("Router sends a straggler one request per interval until it recovers")
{
  Router router = MakeRouter(Targets(4));
  for (int i = 0; i < 10; ++i) {
    for (int t = 0; t < 4; ++t) {
      RunRequest(
        router, fmt::format("group-{}#1", t), milliseconds(t == 3 ? 200 : 20));
    }
  }
  REQUIRE(router.IsStraggler("group-3#1"));
  Random random(1);
  int probes = 0;
  for (int i = 0; i < 100; ++i) {
    const auto target = router.Choose({}, {}, kNow + milliseconds(i), random);
    probes += target->id == "group-3#1" ? 1 : 0;
  }
  CHECK(probes == 1);
  for (int i = 0; i < 20; ++i) {
    RunRequest(router, "group-3#1", milliseconds(20));
  }
  CHECK_FALSE(router.IsStraggler("group-3#1"));
}

TEST_CASE("Router avoids tried targets for a retry if there is another")
{
  Router router = MakeRouter(Targets(2));
  Random random(1);
  const auto target = router.Choose({}, { "group-0#1" }, kNow, random);
  CHECK(target->id == "group-1#1");
  const auto again =
    router.Choose({}, { "group-0#1", "group-1#1" }, kNow, random);
  CHECK(again);
}

TEST_CASE("Router sends no requests to a failed target during its backoff")
{
  Router router = MakeRouter(Targets(1));
  Random random(1);
  router.OnStart("group-0#1", kNow);
  router.OnEnd("group-0#1", true, kNow);
  CHECK_FALSE(router.Choose({}, {}, kNow, random));
  CHECK(router.Choose({}, {}, kNow + seconds(1), random));
}

// Guards against requests that wait for a slot and are then refused, because
// the target's limit leaves this node no turn.
TEST_CASE("Router counts no free slots at a target without a turn")
{
  TargetLimits limits(TargetLimits::Options{}, 1);
  Router router({ .availabilityZone = "a", .limits = &limits },
                MakeAffinityStrategy());
  router.SetTargets(Targets(2, 4));
  CHECK(router.FreeSlots(kNow) == 8);
  CHECK_FALSE(router.LimitedRate(kNow));
  limits.OnResponse("group-0#1", 2, kNow, kNow);
  limits.OnResponse("group-1#1", 2, kNow, kNow);
  CHECK(router.FreeSlots(kNow) == 0);
  CHECK(router.LimitedRate(kNow) == 0.0);
  router.SetNodeCount(1);
  Random random(1);
  const Instant later = kNow + seconds(1);
  CHECK(router.LimitedRate(later) == Approx(4).epsilon(0.1));
  REQUIRE(router.FreeSlots(later) == 2);
  for (int i = 0; i < 6; ++i) {
    if (const auto target = router.Choose({ .prefix = 1 }, {}, later, random)) {
      router.OnStart(target->id, later);
    }
  }
  CHECK(router.FreeSlots(later) == 0);
}

TEST_CASE("Router sends nothing to a target that has asked for a pause")
{
  TargetPauses pauses(TargetPauses::Options{});
  Router router({ .availabilityZone = "a", .pauses = &pauses },
                MakeAffinityStrategy());
  router.SetTargets(Targets(2, 4));
  Random random(1);
  pauses.OnPause("group-0#1", { .duration = seconds(3) }, kNow);
  CHECK(router.FreeSlots(kNow) == 4);
  CHECK_FALSE(router.PauseEnd(kNow));
  for (std::uint64_t prefix = 0; prefix < 20; ++prefix) {
    const auto target = router.Choose({ .prefix = prefix }, {}, kNow, random);
    REQUIRE(target);
    CHECK(target->id == "group-1#1");
  }
  pauses.OnPause("group-1#1", { .duration = seconds(2) }, kNow);
  CHECK(router.FreeSlots(kNow) == 0);
  CHECK(router.PauseEnd(kNow) == kNow + seconds(2));
  CHECK_FALSE(router.Choose({ .prefix = 1 }, { "group-0#1" }, kNow, random));
  const Instant later = kNow + seconds(2);
  CHECK_FALSE(router.PauseEnd(later));
  CHECK(router.Choose({ .prefix = 1 }, {}, later, random)->id == "group-1#1");
}
