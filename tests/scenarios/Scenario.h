#ifndef APRICOTTRACK_TESTS_SCENARIOS_SCENARIO_H
#define APRICOTTRACK_TESTS_SCENARIOS_SCENARIO_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace apricottrack::scenarios {

/// One fault to inject. See README.md for its kinds.
struct Fault
{
  std::string what;
  /// Node, VM, domain, operator or count, depending on the kind.
  std::string where;
  /// Start, from the start of the run.
  Duration at = Duration::zero();
  Duration activeDuration = Duration::zero();
};

/// Content of a scenario file: sizes, policy, faults and the expected
/// violation.
struct Scenario
{
  std::string name;
  std::string kind;
  std::uint64_t seed = 1;
  Duration length = seconds(30);
  int nodes = 3;
  /// The safeguard to replace by a naive form; empty for none.
  std::string naiveVariant;
  /// Start of a violation that the checker must report; empty if there must be
  /// none.
  std::string expectedViolation;
  // Bookings.
  int bookings = 200;
  // Groups.
  int domains = 3;
  int vmsPerDomain = 9;
  int groups = 5;
  int groupSize = 4;
  bool checksFencing = true;
  /// The weights of GroupPolicy: cost of the downtime of one VM of a group, and
  /// of an idle spare VM over the same time.
  double downtimeWeight = 1;
  double strandedWeight = 1;
  /// Maximum group downtime in VM-seconds; negative for no check.
  double downtimeLimit = -1;
  std::vector<Fault> faults;
};

/// Reads a scenario file; throws std::runtime_error with the position of each
/// mistake.
Scenario
ReadScenario(const std::string& aPath);

/// Returns the paths of all scenario files, sorted.
std::vector<std::string>
ScenarioFiles();

/// Result of a run: violations found by the checker, counts and measurements.
struct Findings
{
  std::vector<std::string> violations;
  /// Bookings submitted by callers, and their last reported outcomes.
  int submitted = 0;
  int answered = 0;
  int notRun = 0;
  int unknown = 0;
  /// Bookings that a target ran more than once.
  int ranTwice = 0;
  /// Responses of "not run" to a request that a target had run.
  int falseNotRun = 0;
  /// Calls to the store.
  std::int64_t writes = 0;
  std::int64_t reads = 0;
  /// VM-seconds: of groups that were not intact, of responding VMs outside of
  /// an intact group, and of all VMs.
  double downtime = 0;
  double stranded = 0;
  double total = 0;
  /// Longest time after the loss of a member for which a node would still have
  /// sent requests to the group.
  Duration worstDetection = Duration::zero();
};

Findings
RunBookings(const Scenario& aScenario);
Findings
RunGroups(const Scenario& aScenario);
Findings
RunConfiguration(const Scenario& aScenario);

/// Replaces the scenario's faults by random ones, determined by its seed.
Scenario
WithRandomFaults(Scenario aScenario);

} // namespace apricottrack::scenarios

#endif
