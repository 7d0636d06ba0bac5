#ifndef APRICOTTRACK_OPERATORS_CONFIGURATIONDIFF_H
#define APRICOTTRACK_OPERATORS_CONFIGURATIONDIFF_H

#include "apricottrack/Configuration.h"

#include <string>
#include <vector>

namespace apricottrack {

/// One difference between two configurations and its effect. Operators review
/// these before they apply a configuration.
struct ConfigurationChange
{
  /// The item that differs, such as "groups.advisor".
  std::string subject;
  /// "added", "removed" or "changed".
  std::string change;
  /// What happens to requests and replica groups once it is in force.
  std::string effect;

  friend bool operator==(const ConfigurationChange&,
                         const ConfigurationChange&) = default;
};

/// Lists all differences: firm, policy, accounts, services, replica groups.
std::vector<ConfigurationChange>
DiffConfigurations(const Configuration& aBefore, const Configuration& aAfter);

} // namespace apricottrack

#endif
