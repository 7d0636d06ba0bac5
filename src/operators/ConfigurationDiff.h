#ifndef APRICOTTRACK_OPERATORS_CONFIGURATIONDIFF_H
#define APRICOTTRACK_OPERATORS_CONFIGURATIONDIFF_H

#include "apricottrack/Configuration.h"

#include <string>
#include <vector>

namespace apricottrack {

/// One difference between two configurations and what it brings about.
struct ConfigurationChange
{
  /// What changes, such as "groups.advisor".
  std::string subject;
  /// "added", "removed" or "changed", with the values.
  std::string change;
  /// What happens to running work.
  std::string effect;

  friend bool operator==(const ConfigurationChange&,
                         const ConfigurationChange&) = default;
};

/// All differences, in the order of the configuration.
std::vector<ConfigurationChange>
Diff(const Configuration& aBefore, const Configuration& aAfter);

} // namespace apricottrack

#endif
