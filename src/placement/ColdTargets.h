#ifndef APRICOTTRACK_PLACEMENT_COLDTARGETS_H
#define APRICOTTRACK_PLACEMENT_COLDTARGETS_H

#include "catalog/Catalog.h"
#include "fleet/Fleet.h"
#include "fleet/ZoneEvacuations.h"
#include "limits/TargetLimits.h"

namespace apricottrack {

/// Decides which targets are cold, and so accept few requests: those whose
/// entries say so, and those of a zone that was just taken back. The latter may
/// have become cold while the zone was evacuated, and their entries may be read
/// later than the operator's key.
class ColdTargets
{
public:
  /// Returns until when the target is cold; none if it is warm, or its service
  /// does not limit cold targets.
  static std::optional<Instant> ColdUntil(const CatalogService& aService,
                                          const TargetRecord& aRecord,
                                          Instant aChangedAt,
                                          const ZoneEvacuations& aEvacuations,
                                          Instant aNow);

  /// Limits the requests to all targets of the fleet that are cold.
  static void Limit(const Catalog& aCatalog,
                    const Fleet& aFleet,
                    const ZoneEvacuations& aEvacuations,
                    TargetLimits& aLimits,
                    Instant aNow);
};

} // namespace apricottrack

#endif
