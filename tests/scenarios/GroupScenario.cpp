/// Group scenarios: the production planner, gate and node view run with fake
/// VMs and a fake platform under faults. The checker inspects the fake VMs and
/// the stored plans.

#include "scenarios/GroupWorld.h"

namespace apricottrack::scenarios {

Findings
RunGroups(const Scenario& aScenario)
{
  return detail::World(aScenario).Run();
}

} // namespace apricottrack::scenarios
