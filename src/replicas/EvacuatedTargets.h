#ifndef APRICOTTRACK_REPLICAS_EVACUATEDTARGETS_H
#define APRICOTTRACK_REPLICAS_EVACUATEDTARGETS_H

#include "fleet/ZoneEvacuations.h"
#include "replicas/FleetPlanner.h"

namespace apricottrack {

/// Marks the targets in evacuated availability zones for the planner. Where the
/// whole fabric domain is evacuated, its targets stay members of their
/// replicas, which wait until the zone is taken back. In a domain that also has
/// other targets, those in the zone are treated as leaving, so that the others
/// take their places.
void
MarkEvacuatedTargets(const ZoneEvacuations& aEvacuations,
                     PlannerMembers& aMembers);

} // namespace apricottrack

#endif
