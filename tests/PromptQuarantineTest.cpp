#include "quarantine/PromptQuarantine.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("PromptQuarantine refuses requests with a part until its end")
{
  PromptQuarantine quarantine;
  const Instant start{ seconds(100) };
  CHECK(quarantine.Add({ { .parts = { "a" }, .remaining = seconds(10) },
                         { .parts = { "b" }, .remaining = seconds(4) } },
                       start));
  CHECK(quarantine.RemainingFor({ "x", "b", "a" }, start) == seconds(10));
  CHECK(!quarantine.RemainingFor({ "x" }, start));
  CHECK(!quarantine.RemainingFor({}, start));
  CHECK(!quarantine.RemainingFor({ "b" }, start + seconds(4)));
  CHECK(quarantine.Combinations(start + seconds(7)) ==
        std::vector<QuarantinedParts>{
          { .parts = { "a" }, .remaining = seconds(3) } });
}

// Guards against sound requests that are refused for a part that they share.
TEST_CASE("PromptQuarantine refuses only requests with all quarantined parts")
{
  PromptQuarantine quarantine;
  const Instant start{ seconds(100) };
  CHECK(quarantine.Add({ { .parts = { "a", "b" }, .remaining = seconds(10) } },
                       start));
  CHECK(quarantine.RemainingFor({ "b", "x", "a" }, start) == seconds(10));
  CHECK(!quarantine.RemainingFor({ "a", "x" }, start));
  CHECK(!quarantine.RemainingFor({ "b" }, start));
  CHECK(
    quarantine.Add({ { .parts = { "a" }, .remaining = seconds(4) } }, start));
  CHECK(quarantine.RemainingFor({ "a", "x" }, start) == seconds(4));
  CHECK_FALSE(
    quarantine.Add({ { .parts = {}, .remaining = seconds(4) } }, start));
  CHECK(!quarantine.RemainingFor({}, start));
}

TEST_CASE("PromptQuarantine reports growth only for parts that are new")
{
  PromptQuarantine quarantine;
  const Instant start{ seconds(100) };
  CHECK(
    quarantine.Add({ { .parts = { "a" }, .remaining = seconds(10) } }, start));
  CHECK_FALSE(
    quarantine.Add({ { .parts = { "a" }, .remaining = seconds(20) } }, start));
  CHECK(quarantine.RemainingFor({ "a" }, start) == seconds(20));
  // A report from another node is shorter by its way here.
  CHECK_FALSE(
    quarantine.Add({ { .parts = { "a" }, .remaining = seconds(19) } }, start));
  CHECK(quarantine.RemainingFor({ "a" }, start) == seconds(20));
  CHECK_FALSE(quarantine.Add({ { .parts = { "b" } } }, start));
  CHECK(quarantine.Add({ { .parts = { "a" }, .remaining = seconds(1) } },
                       start + seconds(20)));
}

TEST_CASE("PromptQuarantine drops the combination that ends first")
{
  PromptQuarantine quarantine;
  for (std::size_t i = 0; i < PromptQuarantine::kMaxCombinations; ++i) {
    CHECK(quarantine.Add(
      { { .parts = { std::to_string(i) }, .remaining = seconds(100 + i) } },
      Instant{ seconds(1000) }));
  }
  CHECK_FALSE(
    quarantine.Add({ { .parts = { "early" }, .remaining = seconds(50) } },
                   Instant{ seconds(1000) }));
  CHECK(quarantine.Add({ { .parts = { "late" }, .remaining = seconds(900) } },
                       Instant{ seconds(1000) }));
  CHECK(quarantine.Combinations(Instant{ seconds(1000) }).size() ==
        PromptQuarantine::kMaxCombinations);
  CHECK_FALSE(quarantine.RemainingFor({ "0" }, Instant{ seconds(1000) }));
  CHECK(quarantine.RemainingFor({ "x", "late" }, Instant{ seconds(1000) }));
}

TEST_CASE("PromptQuarantine compares parts in any order")
{
  PromptQuarantine quarantine;
  quarantine.Add({ { .parts = { "z", "a" }, .remaining = seconds(9) } },
                 Instant{ seconds(1000) });
  CHECK(quarantine.RemainingFor({ "z", "m", "a" }, Instant{ seconds(1000) }));
  CHECK_FALSE(quarantine.RemainingFor({ "m", "a" }, Instant{ seconds(1000) }));
}
