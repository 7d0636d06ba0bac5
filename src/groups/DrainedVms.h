#ifndef APRICOTTRACK_GROUPS_DRAINEDVMS_H
#define APRICOTTRACK_GROUPS_DRAINEDVMS_H

#include <set>
#include <string>
#include <string_view>

namespace apricottrack {

/// Ids of the VMs that operators have taken out of service.
using DrainedVms = std::set<std::string, std::less<>>;

/// Returns the ids as a JSON array.
std::string
EncodeDrainedVms(const DrainedVms& aVms);

/// Parses a JSON array of ids. Returns an empty set if the text is not an
/// array; items that are not strings are skipped.
DrainedVms
ParseDrainedVms(std::string_view aText);

} // namespace apricottrack

#endif
