#include "limits/TargetLimits.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Instant kStart{ seconds(100) };
constexpr double kRate = 17;
/// What a cold target bears in one second.
constexpr double kMostInOneSecond = kRate * 1.5 + 5;

std::size_t
MostInOneSecond(const std::vector<Instant>& aTimes)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < aTimes.size(); ++i) {
    while (aTimes[i] - aTimes[first] >= seconds(1)) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

} // namespace

// The load: all nodes have more requests for a target than it accepts.
TEST_CASE("TargetLimits keeps all nodes together within what a cold target "
          "accepts in a second")
{
  const int nodeCount = GENERATE(1, 6, 83, 295);
  std::vector<TargetLimits> nodes;
  for (int i = 0; i < nodeCount; ++i) {
    nodes.emplace_back(TargetLimits::Options{}, 100 + i);
    nodes.back().OnCold("t", kRate, kStart + seconds(10), kStart);
  }
  const DemandSplit demand{ .own = 1,
                            .other = nodeCount - 1.0,
                            .nodeCount = nodeCount };
  std::vector<Instant> sent;
  for (Instant now = kStart; now < kStart + seconds(10); now += kStep) {
    for (TargetLimits& node : nodes) {
      while (node.NextTurn("t", demand, now) <= now) {
        node.TakeTurn("t", demand, now);
        sent.push_back(now);
      }
    }
  }
  CHECK(sent.size() > kRate * 10 * 0.6);
  CHECK(MostInOneSecond(sent) <= kMostInOneSecond);
}

// The load: a burst at all nodes after a pause in which no turn was taken.
TEST_CASE("TargetLimits keeps a burst at all nodes within what a cold target "
          "accepts in a second")
{
  const int nodeCount = GENERATE(1, 2, 3, 6, 31, 83, 295);
  const bool isDemandEqual = GENERATE(true, false);
  const std::uint64_t seed = GENERATE(1, 1000, 2000, 3000, 4000);
  std::vector<DemandSplit> demands;
  for (int i = 0; i < nodeCount; ++i) {
    const double own = isDemandEqual ? 1 : 1 + i % 4;
    const double all = isDemandEqual ? nodeCount : 2.5 * nodeCount;
    demands.push_back({ .own = own,
                        .other = std::max(0.0, all - own),
                        .nodeCount = nodeCount });
  }
  std::vector<Instant> sent;
  const Instant burstAt = kStart + seconds(5);
  std::vector<TargetLimits> nodes;
  for (int i = 0; i < nodeCount; ++i) {
    nodes.emplace_back(TargetLimits::Options{}, seed + i);
    nodes.back().OnCold("t", kRate, kStart + seconds(10), kStart);
  }
  for (Instant now = burstAt; now < burstAt + seconds(1); now += kStep) {
    for (int i = 0; i < nodeCount; ++i) {
      while (nodes[i].NextTurn("t", demands[i], now) <= now) {
        nodes[i].TakeTurn("t", demands[i], now);
        sent.push_back(now);
      }
    }
  }
  CHECK(static_cast<double>(MostInOneSecond(sent)) <= kMostInOneSecond);
}

TEST_CASE("TargetLimits ends the limit of a cold target by itself")
{
  TargetLimits limits(TargetLimits::Options{}, 1);
  limits.OnCold("t", kRate, kStart + seconds(3), kStart);
  limits.OnCold("t", kRate, kStart + seconds(1), kStart);
  const Instant last = kStart + milliseconds(2999);
  CHECK(limits.IsCold("t", last));
  CHECK(limits.IsLimited("t", last));
  CHECK_FALSE(limits.LimitOf("t", last));
  CHECK_FALSE(limits.IsLimited("t", kStart + seconds(3)));
  CHECK_FALSE(limits.MayBeCold(kStart + seconds(3)));
}

TEST_CASE("TargetLimits applies the lower one of two limits")
{
  TargetLimits limits(TargetLimits::Options{}, 1);
  const DemandSplit alone{ .own = 1, .other = 0, .nodeCount = 1 };
  limits.OnCold("t", 10, kStart + seconds(3), kStart);
  const double cold = *limits.OwnRate("t", alone, kStart);
  limits.OnResponse("t", 4, kStart, kStart + milliseconds(1));
  CHECK(*limits.OwnRate("t", alone, kStart + seconds(1)) < cold);
  CHECK(limits.LimitOf("t", kStart + seconds(5)) == 4.0);
}

TEST_CASE("TargetLimits gives out no turns at a cold target while the number "
          "of nodes is unknown")
{
  TargetLimits limits(TargetLimits::Options{}, 1);
  limits.OnCold("t", kRate, kStart + seconds(3), kStart);
  CHECK(limits.NextTurn("t", DemandSplit{ .own = 1 }, kStart) ==
        Instant::max());
}

TEST_CASE("TargetLimits states the cold targets with the time that remains")
{
  TargetLimits limits(TargetLimits::Options{}, 1);
  limits.OnCold("t", kRate, kStart + seconds(3), kStart);
  const auto samples = limits.ColdTargets(kStart + seconds(1));
  REQUIRE(samples.size() == 1);
  CHECK(samples.front() ==
        ColdSample{ .target = "t", .rate = kRate, .remaining = seconds(2) });
  CHECK(limits.ColdTargets(kStart + seconds(3)).empty());
  // A limit that a target states is told to others separately.
  CHECK(limits.SamplesSince(Instant{}, true, kStart).empty());
}
