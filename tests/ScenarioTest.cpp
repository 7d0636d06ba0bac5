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

/// Number of seeds, each with its own random faults: SCENARIO_SEEDS, or 60
/// without it.
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

/// Runs the scenario with random faults for each seed, checks that there is no
/// violation, and prints the summed findings.
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
    sum.submitted += found.submitted;
    sum.answered += found.answered;
    sum.notRun += found.notRun;
    sum.unknown += found.unknown;
    sum.ranTwice += found.ranTwice;
    sum.falseNotRun += found.falseNotRun;
    sum.downtime += found.downtime;
    sum.stranded += found.stranded;
    sum.total += found.total;
    sum.worstDetection = std::max(sum.worstDetection, found.worstDetection);
  }
  std::cout << aScenario.kind << " seeds=1.." << SeedCount()
            << " asked=" << sum.submitted << " answered=" << sum.answered
            << " not_run=" << sum.notRun << " unknown=" << sum.unknown
            << " ran_twice=" << sum.ranTwice
            << " false_not_run=" << sum.falseNotRun
            << " downtime_vm_s=" << sum.downtime
            << " stranded_vm_s=" << sum.stranded << " vm_s=" << sum.total
            << " worst_detection_s=" << ToSeconds(sum.worstDetection) << "\n";
}

} // namespace

// A file with a naive form must show its violation; otherwise the checker would
// not detect the missing safeguard.
TEST_CASE("scenario files show no violation, or the one that the file expects")
{
  const std::vector<std::string> files = ScenarioFiles();
  REQUIRE_FALSE(files.empty());
  for (const std::string& file : files) {
    const Scenario scenario = ReadScenario(file);
    DYNAMIC_SECTION(scenario.name)
    {
      const Findings found = RunScenario(scenario);
      if (scenario.expectedViolation.empty()) {
        CHECK(found.violations == std::vector<std::string>{});
      } else {
        CHECK(Contains(found.violations, scenario.expectedViolation));
      }
      // Runs with the same seed must be identical.
      CHECK(RunScenario(scenario).violations == found.violations);
    }
  }
}

TEST_CASE("bookings scenario under random faults shows no violation")
{
  Scenario scenario;
  scenario.kind = "bookings";
  RunSeeds(scenario);
}

TEST_CASE("groups scenario under random faults shows no violation")
{
  Scenario scenario;
  scenario.kind = "groups";
  scenario.length = seconds(60);
  scenario.checksFencing = GENERATE(true, false);
  RunSeeds(scenario);
}

// A measurement without checks, excluded from normal runs: prints downtime and
// stranded time of each policy under the same faults.
TEST_CASE("group policies under equal faults: downtime and stranded shares",
          "[.][measure]")
{
  struct Policy
  {
    std::string name;
    double downtimeWeight;
    double strandedWeight;
    std::string naiveVariant;
  };
  Scenario scenario;
  scenario.kind = "groups";
  scenario.length = seconds(120);
  // Each of the three domains of twelve VMs holds three groups of four, or two
  // groups and a spare. Seven groups fit only if one domain keeps no spare.
  scenario.groups = 7;
  scenario.vmsPerDomain = 12;
  const Policy policies[] = { { "downtime_heavy", 3, 1, "" },
                              { "stranded_heavy", 1, 4, "" },
                              { "first_fit_no_spares", 1, 1, "first_fit" } };
  for (const Policy& policy : policies) {
    Findings sum;
    for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      scenario.seed = seed;
      Scenario random = WithRandomFaults(scenario);
      random.downtimeWeight = policy.downtimeWeight;
      random.strandedWeight = policy.strandedWeight;
      random.naiveVariant = policy.naiveVariant;
      const Findings found = RunScenario(random);
      sum.downtime += found.downtime;
      sum.stranded += found.stranded;
      sum.total += found.total;
    }
    std::cout << "policy=" << policy.name
              << " downtime_share=" << sum.downtime / sum.total
              << " stranded_share=" << sum.stranded / sum.total << "\n";
  }
}
