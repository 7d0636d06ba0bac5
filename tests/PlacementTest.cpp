#include "placement/Placement.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

std::vector<Candidate>
Candidates(int aCount)
{
  std::vector<Candidate> candidates;
  candidates.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    candidates.push_back(
      { .id = fmt::format("t{}", i), .availabilityZone = "a", .slots = 4 });
  }
  return candidates;
}

} // namespace

TEST_CASE("Placement spreads a burst and refuses what has no room")
{
  LoadBook loads(LoadBook::Options{});
  StallDetector stalls(StallDetector::Options{});
  const Placement placement(Placement::Options{}, loads, stalls, "a");
  const auto candidates = Candidates(5);
  std::mt19937_64 random(3);
  int placed = 0;
  for (int i = 0; i < 200; ++i) {
    const auto choice = placement.Choose(candidates, {}, kStart, random);
    if (choice.refusal == PlacementRefusal::kNone) {
      loads.OnSent(choice.target.id);
      ++placed;
    }
  }
  // Four slots and a small queue each.
  CHECK(placed == 25);
  for (const Candidate& candidate : candidates) {
    CHECK(loads.Own(candidate.id) == 5);
  }
}

TEST_CASE("Placement corrects reports by what this node did since")
{
  LoadBook loads(LoadBook::Options{});
  loads.OnSent("t0");
  loads.OnReported("t0", 3, kStart);
  CHECK(loads.Estimate("t0", kStart) == Approx(3));
  loads.OnEnded("t0");
  CHECK(loads.Estimate("t0", kStart) == Approx(2));
  CHECK(loads.Estimate("t0", kStart + seconds(1)) == Approx(1));
}

TEST_CASE("Placement keeps away from targets that were tried or stand still")
{
  LoadBook loads(LoadBook::Options{});
  StallDetector stalls(StallDetector::Options{});
  stalls.OnBroken("t1", kStart);
  const Placement placement(Placement::Options{}, loads, stalls, "a");
  std::mt19937_64 random(3);
  for (int i = 0; i < 20; ++i) {
    CHECK(placement.Choose(Candidates(3), { "t0" }, kStart, random).target.id ==
          "t2");
  }
  CHECK(placement.Choose(Candidates(2), { "t0" }, kStart, random).refusal ==
        PlacementRefusal::kNoTarget);
}
