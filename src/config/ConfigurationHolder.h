#ifndef APRICOTTRACK_CONFIG_CONFIGURATIONHOLDER_H
#define APRICOTTRACK_CONFIG_CONFIGURATIONHOLDER_H

#include "apricottrack/Configuration.h"
#include "config/StoredConfiguration.h"

#include <memory>

namespace apricottrack {

/// Result of offering a submitted configuration to a node.
enum class OfferResult
{
  kAccepted,
  /// The version is not higher than that of the configuration in force.
  kNotNewer,
  /// The text does not parse; the configuration in force is kept.
  kInvalid,
};

/// Holds the configuration in force at one node. Configurations reach a node
/// in three ways (store watch, periodic read, other nodes) and in any order;
/// the version in force never decreases.
class ConfigurationHolder
{
public:
  /// Parses the configuration and puts it in force if its version is higher.
  OfferResult Offer(const StoredConfiguration& aStored);

  /// The parsed configuration in force; null until one was accepted.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

  /// The configuration in force as submitted; version 0 until one was
  /// accepted.
  const StoredConfiguration& Stored() const { return this->stored; }

private:
  StoredConfiguration stored;
  std::shared_ptr<const Configuration> current;
};

} // namespace apricottrack

#endif
