#ifndef APRICOTTRACK_GROUPS_EVACUATEDZONES_H
#define APRICOTTRACK_GROUPS_EVACUATEDZONES_H

#include "apricottrack/Error.h"
#include "fleet/ZoneEvacuations.h"

#include <string>
#include <string_view>

namespace apricottrack {

/// Availability zones that operators have evacuated.
using EvacuatedZones = ZoneEvacuations::Zones;

/// Returns the zones as a JSON array.
std::string
EncodeEvacuatedZones(const EvacuatedZones& aZones);

/// Parses a JSON array of zones. Fails with kBadReply, with `aAddress` as the
/// error's peer, if the text is anything else: an empty set would take all
/// zones back.
Result<EvacuatedZones>
ParseEvacuatedZones(std::string_view aText, std::string_view aAddress);

} // namespace apricottrack

#endif
