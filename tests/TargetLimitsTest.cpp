#include "limits/TargetLimits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace apricottrack;

namespace {

constexpr Duration kStep = milliseconds(20);
constexpr Instant kStart{ seconds(100) };

TargetLimits
MakeLimits(std::uint64_t aSeed)
{
  return TargetLimits(TargetLimits::Options{}, aSeed);
}

DemandSplit
EqualSplit(int aNodeCount)
{
  return { .own = 1, .other = aNodeCount - 1.0, .nodeCount = aNodeCount };
}

/// Largest number of times within any four seconds.
std::size_t
MostInFourSeconds(std::vector<Instant> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < aTimes.size(); ++i) {
    while (aTimes[i] - aTimes[first] > seconds(4)) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

/// Sends at every turn of every node from `aFrom` on for half a minute.
std::vector<Instant>
SendAtEveryTurn(std::vector<TargetLimits>& aNodes,
                const std::vector<DemandSplit>& aDemands,
                Instant aFrom)
{
  std::vector<Instant> sent;
  for (const TargetLimits& node : aNodes) {
    REQUIRE(node.LimitOf("t", aFrom));
  }
  for (Instant now = aFrom; now < aFrom + seconds(30); now += kStep) {
    for (std::size_t i = 0; i < aNodes.size(); ++i) {
      while (aNodes[i].NextTurn("t", aDemands[i], now) <= now) {
        aNodes[i].TakeTurn("t", aDemands[i], now);
        sent.push_back(now);
      }
    }
  }
  return sent;
}

} // namespace

TEST_CASE("TargetLimits keeps all nodes together within a limit")
{
  const auto [nodeCount, limit] =
    GENERATE(table<int, double>({ { 1, 0.5 },
                                  { 6, 0.5 },
                                  { 6, 3.5 },
                                  { 6, 40 },
                                  { 295, 1 },
                                  { 295, 4 },
                                  { 295, 60 },
                                  { 1, 10'000 } }));
  // How long nodes know the limit before they send anything.
  const Duration idleTime = GENERATE(seconds(0), seconds(20));
  CAPTURE(nodeCount, limit, idleTime.count());
  std::vector<TargetLimits> nodes;
  for (int i = 0; i < nodeCount; ++i) {
    nodes.push_back(MakeLimits(static_cast<std::uint64_t>(i) + 1));
    nodes.back().OnResponse("t", limit, kStart, kStart);
  }
  const std::vector<DemandSplit> demands(nodes.size(), EqualSplit(nodeCount));
  const auto sent = SendAtEveryTurn(nodes, demands, kStart + idleTime);
  CHECK(static_cast<double>(MostInFourSeconds(sent)) <= 1.5 * limit * 4 + 5);
  CHECK(static_cast<double>(sent.size()) >= 0.6 * limit * 30 - 2);
}

TEST_CASE("TargetLimits divides a limit by the demand of the nodes")
{
  std::vector<TargetLimits> nodes;
  nodes.push_back(MakeLimits(1));
  nodes.push_back(MakeLimits(2));
  nodes.push_back(MakeLimits(3));
  for (TargetLimits& node : nodes) {
    node.OnResponse("t", 10, kStart, kStart);
  }
  const std::vector<DemandSplit> demands{
    { .own = 60, .other = 40, .nodeCount = 3 },
    { .own = 30, .other = 70, .nodeCount = 3 },
    { .own = 10, .other = 90, .nodeCount = 3 },
  };
  std::vector<std::size_t> sent;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    std::vector<TargetLimits> single{ nodes[i] };
    sent.push_back(SendAtEveryTurn(single, { demands[i] }, kStart).size());
  }
  CHECK(sent[0] > sent[1]);
  CHECK(sent[1] > sent[2]);
  CHECK(sent[2] >= 10);
  CHECK(sent[0] + sent[1] + sent[2] <= 300);
}

// Guards against a burst while each node knows only its own demand, as after a
// change of the planner.
TEST_CASE("TargetLimits bounds a node's share while the demand is known in "
          "part")
{
  std::vector<TargetLimits> nodes;
  for (std::uint64_t i = 0; i < 6; ++i) {
    nodes.push_back(MakeLimits(i));
    nodes.back().OnResponse("t", 4, kStart, kStart);
  }
  const std::vector<DemandSplit> demands(
    nodes.size(), { .own = 50, .other = 0, .nodeCount = 6 });
  const auto sent = SendAtEveryTurn(nodes, demands, kStart);
  CHECK(sent.size() <= 240);
}

TEST_CASE("TargetLimits gives no turn to a node that does not know how many "
          "nodes there are")
{
  TargetLimits limits = MakeLimits(1);
  CHECK(limits.NextTurn("t", {}, Instant{}) <= Instant{});
  limits.OnResponse("t", 4, kStart, kStart);
  CHECK(limits.NextTurn("t", {}, kStart + seconds(9)) == Instant::max());
}

// Guards against a limit that ends by a response to an earlier request.
TEST_CASE("TargetLimits ends a limit only by a response to a later request")
{
  const Instant start{ seconds(10) };
  TargetLimits limits = MakeLimits(1);
  limits.OnResponse("t", 4, start, start + milliseconds(20));
  limits.OnResponse(
    "t", std::nullopt, start + milliseconds(10), start + milliseconds(50));
  CHECK(limits.LimitOf("t", start + seconds(1)) == 4);
  limits.OnResponse(
    "t", std::nullopt, start + milliseconds(30), start + milliseconds(60));
  CHECK_FALSE(limits.LimitOf("t", start + seconds(1)));
}

TEST_CASE("TargetLimits applies what other nodes have heard by its age")
{
  const Instant now{ seconds(10) };
  TargetLimits limits = MakeLimits(1);
  limits.OnForwarded({ .target = "t", .limit = 4, .age = milliseconds(100) },
                     now);
  CHECK(limits.LimitOf("t", now) == 4);
  limits.OnForwarded({ .target = "t", .limit = 2, .age = milliseconds(200) },
                     now);
  CHECK(limits.LimitOf("t", now) == 4);
  limits.OnForwarded(
    { .target = "t", .limit = std::nullopt, .age = milliseconds(50) }, now);
  CHECK_FALSE(limits.LimitOf("t", now));
  // Only what this node has heard itself is sent to the planner's node.
  CHECK(limits.SamplesSince(Instant{}, false, now).empty());
  CHECK(limits.SamplesSince(Instant{}, true, now) ==
        std::vector<LimitSample>{
          { .target = "t", .limit = std::nullopt, .age = milliseconds(50) } });
}

// Guards against a target that is never sent to again, so that no response
// shows that its limit has ended.
TEST_CASE("TargetLimits still sends to a target that accepts nothing, but "
          "rarely")
{
  std::vector<TargetLimits> nodes{ MakeLimits(1) };
  nodes[0].OnResponse("t", 0, kStart, kStart);
  const auto sent = SendAtEveryTurn(nodes, { EqualSplit(1) }, kStart);
  CHECK(sent.size() >= 2);
  CHECK(MostInFourSeconds(sent) <= 5);
}
