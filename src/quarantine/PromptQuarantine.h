#ifndef APRICOTTRACK_QUARANTINE_PROMPTQUARANTINE_H
#define APRICOTTRACK_QUARANTINE_PROMPTQUARANTINE_H

#include "quarantine/CrashReports.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// The combinations of prompt parts whose requests this node refuses, because
/// they crash targets. Each serving node has one; CrashAttribution selects
/// them.
class PromptQuarantine
{
public:
  /// More are not kept; those that end first are dropped.
  static constexpr std::size_t kMaxCombinations = 512;

  /// Adds combinations, or extends their time. Returns true if any is new.
  bool Add(const std::vector<QuarantinedParts>& aCombinations, Instant aNow);

  /// Returns how long a request with these parts will be refused, or none if it
  /// may be sent to a target.
  std::optional<Duration> RemainingFor(const std::vector<std::string>& aParts,
                                       Instant aNow) const;

  std::vector<QuarantinedParts> Combinations(Instant aNow) const;

private:
  /// Makes room for a combination that ends at `aEnd`, by dropping the one that
  /// ends first. Returns false if all others end later.
  bool MakeRoomUntil(Instant aEnd);

  /// End of the quarantine, by sorted parts.
  std::map<std::vector<std::string>, Instant> endsByParts;
};

} // namespace apricottrack

#endif
