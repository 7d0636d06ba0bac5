#include "scenarios/Scenario.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace apricottrack;
using namespace apricottrack::scenarios;

namespace {

Findings
RunScenario(const Scenario& aScenario)
{
  if (aScenario.kind == "bookings") {
    return RunBookings(aScenario);
  }
  return aScenario.kind == "groups" ? RunGroups(aScenario)
                                    : RunConfiguration(aScenario);
}

/// Seeds of a random run: a fixed number in CI, more by hand.
std::uint64_t
SeedCount()
{
  const char* const text = std::getenv("SCENARIO_SEEDS");
  return text == nullptr ? 60 : std::stoull(text);
}

bool
Contains(const std::vector<std::string>& aViolations, const std::string& aText)
{
  for (const std::string& violation : aViolations) {
    if (violation.starts_with(aText)) {
      return true;
    }
  }
  return false;
}

/// Runs many seeds and prints what they added up to.
void
RunSeeds(Scenario aScenario)
{
  Findings sum;
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    aScenario.seed = seed;
    const Scenario random = WithRandomFaults(aScenario);
    const Findings found = RunScenario(random);
    INFO("seed " << seed);
    CHECK(found.violations == std::vector<std::string>{});
    sum.asked += found.asked;
    sum.answered += found.answered;
    sum.refused += found.refused;
    sum.unknown += found.unknown;
    sum.ranTwice += found.ranTwice;
    sum.falseNotRun += found.falseNotRun;
    sum.downtime += found.downtime;
    sum.stranded += found.stranded;
    sum.total += found.total;
    sum.worstDetection = std::max(sum.worstDetection, found.worstDetection);
  }
  std::cout << aScenario.kind << " seeds=1.." << SeedCount()
            << " asked=" << sum.asked << " answered=" << sum.answered
            << " not_run=" << sum.refused << " unknown=" << sum.unknown
            << " ran_twice=" << sum.ranTwice
            << " false_not_run=" << sum.falseNotRun
            << " downtime_vm_s=" << sum.downtime
            << " stranded_vm_s=" << sum.stranded << " vm_s=" << sum.total
            << " worst_detection_s=" << ToSeconds(sum.worstDetection) << "\n";
}

} // namespace

TEST_CASE("scripted scenarios hold, and naive forms are caught")
{
  const std::vector<std::string> files = ScenarioFiles();
  REQUIRE_FALSE(files.empty());
  for (const std::string& file : files) {
    const Scenario scenario = ReadScenario(file);
    DYNAMIC_SECTION(scenario.name)
    {
      const Findings found = RunScenario(scenario);
      if (scenario.finds.empty()) {
        CHECK(found.violations == std::vector<std::string>{});
      } else {
        CHECK(Contains(found.violations, scenario.finds));
      }
      // The same seed gives the same run.
      CHECK(RunScenario(scenario).violations == found.violations);
    }
  }
}

TEST_CASE("bookings hold under random faults")
{
  Scenario scenario;
  scenario.kind = "bookings";
  RunSeeds(scenario);
}

TEST_CASE("groups hold under random faults")
{
  Scenario scenario;
  scenario.kind = "groups";
  scenario.length = seconds(60);
  scenario.checksFencing = GENERATE(true, false);
  RunSeeds(scenario);
}
