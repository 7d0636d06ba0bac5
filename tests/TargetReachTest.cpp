#include "placement/TargetReach.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };
const std::vector<std::string> kTargets{ "a", "b", "c", "d", "e", "f" };

struct Node
{
  std::vector<std::string> DueChecks(
    Instant aNow,
    std::vector<std::string> aTargets = kTargets)
  {
    return this->reach.DueChecks(aTargets, aNow, this->random);
  }

  /// Fails the first connection and all checks that follow from it.
  void Isolate(Instant aNow)
  {
    this->reach.OnConnectFailed("a", aNow);
    for (const std::string& target : this->DueChecks(aNow)) {
      this->reach.OnCheckEnded(target, false, aNow);
    }
  }

  TargetReach reach{ TargetReach::Options{} };
  std::mt19937_64 random{ 1 };
};

} // namespace

TEST_CASE("TargetReach takes a node that reaches none of several targets for "
          "isolated")
{
  Node node;
  node.reach.OnConnectFailed("a", kStart);
  CHECK(node.reach.IsInDoubt());
  CHECK(node.reach.IsUnreachable("a"));
  CHECK_FALSE(node.reach.IsUnreachable("b"));
  const auto samples = node.DueChecks(kStart);
  REQUIRE(samples.size() == 4);
  CHECK(std::count(samples.begin(), samples.end(), "a") == 0);
  CHECK(node.DueChecks(kStart).empty());
  for (const std::string& target : samples) {
    CHECK_FALSE(node.reach.IsIsolated());
    node.reach.OnCheckEnded(target, false, kStart);
  }
  CHECK(node.reach.IsIsolated());
  CHECK_FALSE(node.reach.IsInDoubt());
  CHECK(node.reach.IsolatedFor(kStart + seconds(2)) == seconds(2));
  CHECK(node.reach.IsUnreachable("unknown"));
}

// Guards against a planner that stops because some targets have failed.
TEST_CASE("TargetReach blames the target if any other one accepts a connection")
{
  Node node;
  node.reach.OnConnectFailed("a", kStart);
  const auto samples = node.DueChecks(kStart);
  node.reach.OnCheckEnded(samples[0], false, kStart);
  node.reach.OnCheckEnded(samples[1], false, kStart);
  node.reach.OnCheckEnded(samples[2], true, kStart);
  node.reach.OnCheckEnded(samples[3], false, kStart);
  CHECK_FALSE(node.reach.IsIsolated());
  CHECK_FALSE(node.reach.IsInDoubt());
  CHECK(node.reach.IsUnreachable("a"));
  CHECK(node.reach.IsUnreachable(samples[0]));
  CHECK_FALSE(node.reach.IsUnreachable(samples[2]));
}

TEST_CASE("TargetReach does not call a node isolated without other targets")
{
  Node node;
  node.reach.OnConnectFailed("a", kStart);
  CHECK(node.DueChecks(kStart, { "a" }).empty());
  CHECK_FALSE(node.reach.IsInDoubt());
  CHECK_FALSE(node.reach.IsIsolated());

  Node two;
  two.reach.OnConnectFailed("a", kStart);
  REQUIRE(two.DueChecks(kStart, { "a", "b" }).size() == 1);
  two.reach.OnCheckEnded("b", false, kStart);
  CHECK_FALSE(two.reach.IsIsolated());
  CHECK_FALSE(two.reach.IsInDoubt());
}

TEST_CASE("TargetReach checks an unreachable target again until it is reached")
{
  Node node;
  node.reach.OnConnectFailed("a", kStart);
  node.reach.OnCheckEnded(node.DueChecks(kStart).front(), true, kStart);
  CHECK(node.DueChecks(kStart + milliseconds(400)).empty());
  CHECK(node.DueChecks(kStart + milliseconds(500)) ==
        std::vector<std::string>{ "a" });
  CHECK(node.DueChecks(kStart + milliseconds(900)).empty());
  node.reach.OnCheckEnded("a", true, kStart + milliseconds(900));
  CHECK_FALSE(node.reach.IsUnreachable("a"));
  CHECK_FALSE(node.reach.HasFailures());
}

// Guards against a node that forwards requests after its cut has ended.
TEST_CASE(
  "TargetReach samples targets of an isolated node until one is reached")
{
  Node node;
  node.Isolate(kStart);
  REQUIRE(node.reach.IsIsolated());
  CHECK(node.DueChecks(kStart + milliseconds(100)).empty());
  const Instant later = kStart + milliseconds(200);
  const auto samples = node.DueChecks(later);
  REQUIRE(samples.size() == 2);
  node.reach.OnCheckEnded(samples[0], false, later);
  CHECK(node.reach.IsIsolated());
  node.reach.OnCheckEnded(samples[1], true, later);
  CHECK_FALSE(node.reach.IsIsolated());
  CHECK_FALSE(node.reach.IsUnreachable(samples[1]));
  // The others that had failed are checked at once.
  CHECK(node.DueChecks(later).size() >= 3);
}

TEST_CASE("TargetReach forgets targets that are gone")
{
  Node node;
  node.reach.OnConnectFailed("a", kStart);
  node.reach.OnCheckEnded(node.DueChecks(kStart).front(), true, kStart);
  CHECK(node.DueChecks(kStart + seconds(1), { "b", "c" }).empty());
  CHECK_FALSE(node.reach.IsUnreachable("a"));
}
