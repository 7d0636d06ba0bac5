#include "quarantine/CrashAttribution.h"
#include "quarantine/PromptParts.h"

#include <catch2/catch.hpp>
#include <set>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

/// A request that was lost with its own target.
LostRequest
Lost(int aNumber, std::vector<std::string> aParts)
{
  aParts.push_back("request:" + std::to_string(aNumber));
  return { .target = "t" + std::to_string(aNumber),
           .parts = std::move(aParts),
           .attempt = std::to_string(aNumber) };
}

/// As many ids as an older build may send.
std::vector<std::string>
ManyParts(const std::string& aPrefix)
{
  std::vector<std::string> parts(2500);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i] = aPrefix + std::to_string(i);
  }
  return parts;
}

} // namespace

// Guards against review/13: requests wait while the planner's node compares the
// parts of lost prompts.
TEST_CASE("CrashAttribution finds a part among very many in bounded time")
{
  CrashAttribution attribution{ CrashAttribution::Options{} };
  std::vector<std::string> parts = ManyParts("p");
  parts.front() = "deadly";
  Instant now = kStart;
  std::vector<QuarantinedParts> started;
  const auto begunAt = std::chrono::steady_clock::now();
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(250);
    attribution.RecordLosses({ Lost(i, parts) }, now);
    const auto update = attribution.Update(now);
    started.insert(started.end(), update.begin(), update.end());
  }
  CHECK(std::chrono::steady_clock::now() - begunAt < seconds(2));
  REQUIRE_FALSE(started.empty());
  const CrashAttribution::Options options;
  CHECK(started.front().parts.size() <= options.maxCombinedParts);
  CHECK(attribution.Suspects().size() <= options.maxSuspects);
}

TEST_CASE("CrashAttribution bounds its suspects and the quarantines of a round")
{
  const CrashAttribution::Options options;
  CrashAttribution attribution{ options };
  Instant now = kStart;
  int number = 0;
  for (int round = 0; round < 4; ++round) {
    for (int group = 0; group < 30; ++group) {
      std::vector<std::string> parts = ManyParts(std::to_string(group) + "-");
      PromptParts::Bound(parts);
      attribution.RecordLosses({ Lost(++number, parts) }, now);
    }
    now += milliseconds(300);
    CHECK(attribution.Update(now).size() <=
          std::size_t(options.maxStartsPerUpdate));
    CHECK(attribution.Suspects().size() <= options.maxSuspects);
  }
  std::set<std::vector<std::string>> quarantined;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(250);
    const auto update = attribution.Update(now);
    CHECK(update.size() <= std::size_t(options.maxStartsPerUpdate));
    for (const QuarantinedParts& item : update) {
      CHECK(item.parts.size() <= options.maxCombinedParts);
      quarantined.insert(item.parts);
    }
  }
  CHECK(quarantined.size() >= 4);
}

TEST_CASE("CrashAttribution quarantines parts together that are sorted")
{
  CrashAttribution attribution{ CrashAttribution::Options{} };
  Instant now = kStart;
  std::vector<QuarantinedParts> started;
  for (int i = 0; i < 12; ++i) {
    now += milliseconds(400);
    attribution.RecordLosses({ Lost(i, { "z", "a", "m" }) }, now);
    const auto update = attribution.Update(now);
    started.insert(started.end(), update.begin(), update.end());
  }
  REQUIRE(started.size() == 1);
  CHECK(started.front().parts == std::vector<std::string>{ "a", "m", "z" });
}
