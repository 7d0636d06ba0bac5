#ifndef APRICOTTRACK_CONFIG_CONFIGURATIONHOLDER_H
#define APRICOTTRACK_CONFIG_CONFIGURATIONHOLDER_H

#include "apricottrack/Configuration.h"
#include "config/StoredConfiguration.h"

#include <memory>

namespace apricottrack {

enum class OfferResult
{
  kTaken,
  /// Not newer than the one in force.
  kOld,
  /// Does not parse; the one in force stays.
  kInvalid,
};

/// The configuration in force at one node. Its version only grows, whichever
/// way offers arrive: watch, slow check or another node.
class ConfigurationHolder
{
public:
  OfferResult Offer(const StoredConfiguration& aStored);

  /// Null until a first configuration was taken.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

  const StoredConfiguration& Stored() const { return this->stored; }

private:
  StoredConfiguration stored;
  std::shared_ptr<const Configuration> current;
};

} // namespace apricottrack

#endif
