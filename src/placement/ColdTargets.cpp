#include "placement/ColdTargets.h"

#include <algorithm>

namespace apricottrack {

std::optional<Instant>
ColdTargets::ColdUntil(const CatalogService& aService,
                       const TargetRecord& aRecord,
                       Instant aChangedAt,
                       const ZoneEvacuations& aEvacuations,
                       Instant aNow)
{
  if (aService.coldRate <= 0) {
    return std::nullopt;
  }
  Instant until = aChangedAt + aRecord.coldRemaining;
  if (const auto takenBackAt =
        aEvacuations.TakenBackAt(aRecord.availabilityZone)) {
    until = std::max<Instant>(until, *takenBackAt + aService.coldTime);
  }
  return until > aNow ? std::optional(until) : std::nullopt;
}

void
ColdTargets::Limit(const Catalog& aCatalog,
                   const Fleet& aFleet,
                   const ZoneEvacuations& aEvacuations,
                   TargetLimits& aLimits,
                   Instant aNow)
{
  for (const CatalogService& service : aCatalog.services) {
    if (service.coldRate <= 0) {
      continue;
    }
    for (const auto& [id, record] : aFleet.All()) {
      if (record.service != service.name) {
        continue;
      }
      if (const auto until = ColdUntil(
            service, record, aFleet.ChangedAt(id), aEvacuations, aNow)) {
        aLimits.OnCold(id, service.coldRate, *until, aNow);
      }
    }
  }
}

} // namespace apricottrack
