#ifndef APRICOTTRACK_TESTS_SCENARIOS_SCENARIO_H
#define APRICOTTRACK_TESTS_SCENARIOS_SCENARIO_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricottrack::scenarios {

/// One scripted fault: what, where, from when and for how long.
struct Fault
{
  std::string what;
  std::string where;
  Duration at = Duration::zero();
  Duration lasts = Duration::zero();
};

/// A scenario file: sizes, the strategies under test, and faults.
struct Scenario
{
  std::string name;
  std::string kind;
  std::uint64_t seed = 1;
  Duration length = seconds(30);
  int nodes = 3;
  /// The safeguard that is replaced by its naive form; empty: none.
  std::string naive;
  /// What the checker must find; empty: nothing.
  std::string finds;
  // Bookings.
  int bookings = 200;
  // Groups.
  int domains = 3;
  int vmsPerDomain = 9;
  int groups = 5;
  int groupSize = 4;
  bool checksFencing = true;
  double downtimeWeight = 1;
  double strandedWeight = 1;
  /// Most group downtime allowed, VM-seconds; negative: not checked.
  double downtimeLimit = -1;
  std::vector<Fault> faults;
};

/// Reads a scenario; throws with the place of a mistake.
Scenario
ReadScenario(const std::string& aPath);

/// Names of all scenario files.
std::vector<std::string>
ScenarioFiles();

/// What a run showed: violations found by the checker, and measurements.
struct Findings
{
  std::vector<std::string> violations;
  int asked = 0;
  int answered = 0;
  int refused = 0;
  int unknown = 0;
  int ranTwice = 0;
  int falseNotRun = 0;
  std::int64_t writes = 0;
  std::int64_t reads = 0;
  /// VM-seconds.
  double downtime = 0;
  double stranded = 0;
  double total = 0;
  /// Longest time in which a broken group was still sent requests.
  Duration worstDetection = Duration::zero();
};

Findings
RunBookings(const Scenario& aScenario);
Findings
RunGroups(const Scenario& aScenario);
Findings
RunConfiguration(const Scenario& aScenario);

/// Random faults from the scenario's seed, in place of its own.
Scenario
WithRandomFaults(Scenario aScenario);

} // namespace apricottrack::scenarios

#endif
