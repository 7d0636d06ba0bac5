#include "fleet/ForwardingNodes.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };

} // namespace

TEST_CASE("ForwardingNodes names only nodes that accept requests, and not the "
          "asker")
{
  std::mt19937_64 random(1);
  ForwardingNodes nodes(ForwardingNodes::Options{});
  nodes.OnReport("a", "1", kStart);
  nodes.OnReport("b", "2", kStart);
  nodes.OnReport("c", "", kStart);
  CHECK(nodes.Sample("a", 6, kStart, random) ==
        std::vector<std::string>{ "2" });
  nodes.OnReport("b", "", kStart + milliseconds(1));
  CHECK(nodes.Sample("a", 6, kStart + milliseconds(1), random).empty());
  CHECK(nodes.Sample("c", 6, kStart + milliseconds(1), random) ==
        std::vector<std::string>{ "1" });
  CHECK(nodes.Sample("c", 6, kStart + seconds(2), random).empty());
}

// Guards against forwarded requests that all meet the same few nodes.
TEST_CASE("ForwardingNodes spreads many senders over all nodes")
{
  std::mt19937_64 random(1);
  ForwardingNodes nodes(ForwardingNodes::Options{});
  for (int i = 0; i < 100; ++i) {
    nodes.OnReport(fmt::format("n{}", i), fmt::format("{}", i), kStart);
  }
  std::map<std::string, int> uses;
  for (int i = 0; i < 200; ++i) {
    const auto sample = nodes.Sample("asker", 6, kStart, random);
    REQUIRE(sample.size() == 6);
    for (const std::string& address : sample) {
      ++uses[address];
    }
  }
  CHECK(uses.size() == 100);
  for (const auto& [address, count] : uses) {
    CHECK(count < 40);
  }
}
