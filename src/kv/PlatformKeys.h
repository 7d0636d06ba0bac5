#ifndef APRICOTTRACK_KV_PLATFORMKEYS_H
#define APRICOTTRACK_KV_PLATFORMKEYS_H

#include <fmt/format.h>
#include <string>
#include <string_view>

/// Keys at the platform's service. One watch covers all under kStatePrefix;
/// journals lie outside of it, so that they cost watchers nothing.
namespace apricottrack::keys {

inline constexpr std::string_view kStatePrefix = "apricottrack/state/";
inline constexpr std::string_view kConfiguration =
  "apricottrack/state/configuration";
inline constexpr std::string_view kDrained = "apricottrack/state/drained";
inline constexpr std::string_view kPlanner = "apricottrack/state/planner";
inline constexpr std::string_view kNodePrefix = "apricottrack/state/nodes/";
inline constexpr std::string_view kPlanPrefix = "apricottrack/state/plans/";
inline constexpr std::string_view kJournalPrefix = "apricottrack/journal/";

/// Journals that non-idempotent requests hash onto. All nodes must agree on
/// it, or two of them would look for one key in different journals; so it is
/// no setting.
inline constexpr int kJournalCount = 16;

/// Prefix of the segments of one journal.
inline std::string
JournalOf(int aIndex)
{
  return fmt::format("{}{:04}/", kJournalPrefix, aIndex);
}

inline std::string
PlanOf(std::string_view aDomain)
{
  return fmt::format("{}{}", kPlanPrefix, aDomain);
}

inline std::string
NodeOf(std::string_view aNode)
{
  return fmt::format("{}{}", kNodePrefix, aNode);
}

} // namespace apricottrack::keys

#endif
