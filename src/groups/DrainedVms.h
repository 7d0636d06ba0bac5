#ifndef APRICOTTRACK_GROUPS_DRAINEDVMS_H
#define APRICOTTRACK_GROUPS_DRAINEDVMS_H

#include <set>
#include <string>
#include <string_view>

namespace apricottrack {

/// Ids of the VMs that operators take out of service.
using DrainedVms = std::set<std::string, std::less<>>;

/// A JSON array of ids.
std::string
EncodeDrainedVms(const DrainedVms& aVms);

/// Empty where the text is no such array.
DrainedVms
ParseDrainedVms(std::string_view aText);

} // namespace apricottrack

#endif
