#include "operators/EvacuationProgress.h"

#include "base/JsonFields.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

namespace json = boost::json;

namespace {

/// Returns what a node reports about an evacuated zone; null if it does not
/// have the zone as evacuated.
const json::object*
FindZone(const NodeStatus& aNode, std::string_view aZone)
{
  const json::array* const items = JsonArray(aNode.status, "evacuated_zones");
  if (items != nullptr) {
    for (const json::value& item : *items) {
      const json::object* const zone = item.if_object();
      if (zone != nullptr && JsonText(*zone, "zone") == aZone) {
        return zone;
      }
    }
  }
  return nullptr;
}

EvacuatedZones
ReportedZones(const std::vector<NodeStatus>& aNodes)
{
  EvacuatedZones zones;
  for (const NodeStatus& node : aNodes) {
    const json::array* const items = JsonArray(node.status, "evacuated_zones");
    if (items == nullptr) {
      continue;
    }
    for (const json::value& item : *items) {
      if (const json::object* const zone = item.if_object()) {
        zones.insert(JsonText(*zone, "zone"));
      }
    }
  }
  return zones;
}

} // namespace

std::vector<EvacuationProgress>
MeasureEvacuations(const EvacuatedZones& aZones,
                   const std::vector<NodeStatus>& aNodes)
{
  EvacuatedZones zones = ReportedZones(aNodes);
  zones.insert(aZones.begin(), aZones.end());
  std::vector<EvacuationProgress> progresses;
  for (const std::string& zone : zones) {
    EvacuationProgress progress{ .zone = zone,
                                 .isEvacuated = aZones.contains(zone),
                                 .outdatedNodes = {},
                                 .nodes = static_cast<int>(aNodes.size()) };
    for (const NodeStatus& node : aNodes) {
      const json::object* const reported = FindZone(node, zone);
      if (node.status.empty() ||
          (reported != nullptr) != progress.isEvacuated) {
        progress.outdatedNodes.push_back(node.node);
      }
      if (reported != nullptr) {
        progress.vms = std::max(progress.vms, JsonInteger(*reported, "vms"));
        progress.unresponsiveVms = std::max(
          progress.unresponsiveVms, JsonInteger(*reported, "unresponsive_vms"));
        progress.requests =
          std::max(progress.requests, JsonInteger(*reported, "requests"));
      }
    }
    progresses.push_back(std::move(progress));
  }
  return progresses;
}

std::string
RenderEvacuation(const EvacuationProgress& aProgress)
{
  const std::size_t outdated = aProgress.outdatedNodes.size();
  return fmt::format(
    "zone {:<14} {} at {} of {} nodes{}, {} VMs ({} not responding), {} "
    "requests running\n",
    aProgress.zone,
    aProgress.isEvacuated ? "evacuated" : "taken back",
    static_cast<std::size_t>(aProgress.nodes) - outdated,
    aProgress.nodes,
    outdated == 0
      ? std::string{}
      : fmt::format(" (not at {})", fmt::join(aProgress.outdatedNodes, ", ")),
    aProgress.vms,
    aProgress.unresponsiveVms,
    aProgress.requests);
}

} // namespace apricottrack
