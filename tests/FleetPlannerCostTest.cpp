#include "FakeFleet.h"

#include <catch2/catch.hpp>
#include <ctime>

using namespace apricottrack;

namespace {

constexpr int kTargetsPerDomain = 60;

/// Returns the least processor time, of several tries, that the first round of
/// a deployment takes when all targets are cold.
double
SecondsOfFirstRound(int aTargetCount)
{
  FakeFleet fleet(0);
  for (int i = 0; i < aTargetCount; ++i) {
    fleet.Add(MakeTarget(i, fmt::format("d{}", i / kTargetsPerDomain)));
  }
  double shortest = std::numeric_limits<double>::max();
  for (int i = 0; i < 5; ++i) {
    FleetPlanner planner = MakePlanner(1);
    const std::clock_t startedAt = std::clock();
    const auto orders = planner.PlanRound(fleet.View(true), kStart);
    const double elapsed =
      static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC;
    REQUIRE(orders.size() == static_cast<std::size_t>(aTargetCount));
    shortest = std::min(shortest, elapsed);
  }
  return shortest;
}

} // namespace

// Guards against rounds of a large fleet that leave the planner's node no
// processor time to renew its lease.
TEST_CASE("FleetPlanner takes time in proportion to the number of targets")
{
  // Four times as many targets; a quadratic cost would take 16 times as long.
  CHECK(SecondsOfFirstRound(1200) < 8 * SecondsOfFirstRound(300));
}
