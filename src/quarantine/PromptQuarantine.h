#ifndef APRICOTTRACK_QUARANTINE_PROMPTQUARANTINE_H
#define APRICOTTRACK_QUARANTINE_PROMPTQUARANTINE_H

#include "quarantine/CrashReports.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// The prompt parts whose requests this node refuses, because they crash
/// targets. Each serving node has one; CrashAttribution selects the parts.
class PromptQuarantine
{
public:
  /// Adds parts, or extends their time. Returns true if any of them is new.
  bool Add(const std::vector<QuarantinedPart>& aParts, Instant aNow);

  /// Returns how long a request with these parts will be refused, or none if it
  /// may be sent to a target.
  std::optional<Duration> RemainingFor(const std::vector<std::string>& aParts,
                                       Instant aNow) const;

  std::vector<QuarantinedPart> Parts(Instant aNow) const;

private:
  /// End of the quarantine, by part.
  std::map<std::string, Instant> endsByPart;
};

} // namespace apricottrack

#endif
