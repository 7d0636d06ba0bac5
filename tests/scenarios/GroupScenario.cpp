/// Groups under failure: the real planner, gate and node view, with fake VMs
/// and a fake platform. The checker looks at the VMs and the stored plans.

#include "scenarios/GroupWorld.h"

namespace apricottrack::scenarios {

Findings
RunGroups(const Scenario& aScenario)
{
  return detail::World(aScenario).Run();
}

} // namespace apricottrack::scenarios
