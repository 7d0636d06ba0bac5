#ifndef APRICOTTRACK_KV_PLATFORMKEYS_H
#define APRICOTTRACK_KV_PLATFORMKEYS_H

#include <fmt/format.h>
#include <string>
#include <string_view>

/// Keys in the platform's key-value service. One watch covers all keys under
/// kStatePrefix. Journals lie outside that prefix, because watchers need not
/// receive their frequent writes.
namespace apricottrack::keys {

inline constexpr std::string_view kStatePrefix = "apricottrack/state/";
/// The submitted configuration, as a StoredConfiguration.
inline constexpr std::string_view kConfigurationKey =
  "apricottrack/state/configuration";
/// The list of VMs that operators have drained.
inline constexpr std::string_view kDrainedVmsKey = "apricottrack/state/drained";
/// The availability zones that operators have evacuated.
inline constexpr std::string_view kEvacuatedZonesKey =
  "apricottrack/state/evacuated";
/// Exists while a node holds the planner lease.
inline constexpr std::string_view kPlannerLeaseKey =
  "apricottrack/state/planner";
/// The quarantined prompt parts with their ends, as QuarantineTask encodes
/// them.
inline constexpr std::string_view kQuarantineKey =
  "apricottrack/state/quarantine";
/// What nodes know of the store's present history, as a HistoryRecord.
inline constexpr std::string_view kHistoryKey = "apricottrack/state/history";

/// Prefix of the keys of NodeKey.
inline constexpr std::string_view kNodePrefix = "apricottrack/state/nodes/";
/// Prefix of the keys of PlanKey.
inline constexpr std::string_view kPlanPrefix = "apricottrack/state/plans/";
/// Prefix of the keys of all journals.
inline constexpr std::string_view kJournalPrefix = "apricottrack/journal/";

/// Number of journals over which non-idempotent requests are distributed by
/// hash. It is not a setting, because nodes with different numbers would look
/// for the same request in different journals.
inline constexpr int kJournalCount = 16;

/// Returns the key prefix of the segments of one journal.
inline std::string
JournalPrefix(int aIndex)
{
  return fmt::format("{}{:04}/", kJournalPrefix, aIndex);
}

/// Returns the key of the plan of one domain.
inline std::string
PlanKey(std::string_view aDomain)
{
  return fmt::format("{}{}", kPlanPrefix, aDomain);
}

/// Returns the key of the record of one node.
inline std::string
NodeKey(std::string_view aNode)
{
  return fmt::format("{}{}", kNodePrefix, aNode);
}

} // namespace apricottrack::keys

#endif
