#include "replicas/EvacuatedTargets.h"

namespace apricottrack {

void
MarkEvacuatedTargets(const ZoneEvacuations& aEvacuations,
                     PlannerMembers& aMembers)
{
  if (aEvacuations.Evacuated().empty()) {
    return;
  }
  std::set<std::string_view> remainingDomains;
  for (const auto& [id, member] : aMembers) {
    if (!aEvacuations.IsEvacuated(member.record.availabilityZone)) {
      remainingDomains.insert(member.record.fabricDomain);
    }
  }
  for (auto& [id, member] : aMembers) {
    if (!aEvacuations.IsEvacuated(member.record.availabilityZone)) {
      continue;
    }
    if (remainingDomains.contains(member.record.fabricDomain)) {
      member.record.leaving = true;
    } else {
      member.evacuated = true;
    }
  }
}

} // namespace apricottrack
