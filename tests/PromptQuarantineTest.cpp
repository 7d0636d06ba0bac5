#include "quarantine/PromptQuarantine.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("PromptQuarantine refuses requests with a part until its end")
{
  PromptQuarantine quarantine;
  const Instant start{ seconds(100) };
  CHECK(quarantine.Add({ { .part = "a", .remaining = seconds(10) },
                         { .part = "b", .remaining = seconds(4) } },
                       start));
  CHECK(quarantine.RemainingFor({ "x", "b", "a" }, start) == seconds(10));
  CHECK(!quarantine.RemainingFor({ "x" }, start));
  CHECK(!quarantine.RemainingFor({}, start));
  CHECK(!quarantine.RemainingFor({ "b" }, start + seconds(4)));
  CHECK(
    quarantine.Parts(start + seconds(7)) ==
    std::vector<QuarantinedPart>{ { .part = "a", .remaining = seconds(3) } });
}

TEST_CASE("PromptQuarantine reports growth only for parts that are new")
{
  PromptQuarantine quarantine;
  const Instant start{ seconds(100) };
  CHECK(quarantine.Add({ { .part = "a", .remaining = seconds(10) } }, start));
  CHECK_FALSE(
    quarantine.Add({ { .part = "a", .remaining = seconds(20) } }, start));
  CHECK(quarantine.RemainingFor({ "a" }, start) == seconds(20));
  // A report from another node is shorter by its way here.
  CHECK_FALSE(
    quarantine.Add({ { .part = "a", .remaining = seconds(19) } }, start));
  CHECK(quarantine.RemainingFor({ "a" }, start) == seconds(20));
  CHECK_FALSE(quarantine.Add({ { .part = "b" } }, start));
  CHECK(quarantine.Add({ { .part = "a", .remaining = seconds(1) } },
                       start + seconds(20)));
}
