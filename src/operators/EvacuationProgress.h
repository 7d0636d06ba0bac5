#ifndef APRICOTTRACK_OPERATORS_EVACUATIONPROGRESS_H
#define APRICOTTRACK_OPERATORS_EVACUATIONPROGRESS_H

#include "groups/EvacuatedZones.h"
#include "operators/Operators.h"

#include <string>
#include <vector>

namespace apricottrack {

/// How far the evacuation of one zone is, or its end.
struct EvacuationProgress
{
  std::string zone;
  /// True if operators have evacuated the zone; false if they have taken it
  /// back, but a node still has it as evacuated.
  bool isEvacuated = false;
  /// Names of the nodes whose status does not agree with that, or that do not
  /// respond.
  std::vector<std::string> outdatedNodes;
  int nodes = 0;
  /// The highest counts that a node reports; see ZoneStatus.
  std::int64_t vms = 0;
  std::int64_t unresponsiveVms = 0;
  std::int64_t requests = 0;

  friend bool operator==(const EvacuationProgress&,
                         const EvacuationProgress&) = default;
};

/// Compares the zones in the store with those that the nodes report. Returns
/// one item for each zone that is in either.
std::vector<EvacuationProgress>
MeasureEvacuations(const EvacuatedZones& aZones,
                   const std::vector<NodeStatus>& aNodes);

/// Returns one line on the progress, with its end.
std::string
RenderEvacuation(const EvacuationProgress& aProgress);

} // namespace apricottrack

#endif
