#ifndef APRICOTTRACK_CONFIG_STOREDCONFIGURATION_H
#define APRICOTTRACK_CONFIG_STOREDCONFIGURATION_H

#include "apricottrack/Error.h"
#include "apricottrack/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace apricottrack {

/// A submitted configuration as the platform's service holds it.
struct StoredConfiguration
{
  /// One more than that of the configuration it replaced.
  std::uint64_t version = 0;
  /// Chosen by the submitter, to recognise its own write.
  std::string submission;
  UnixMillis submittedAt = 0;
  /// The operators' TOML text.
  std::string text;

  friend bool operator==(const StoredConfiguration&,
                         const StoredConfiguration&) = default;
};

std::string
EncodeStoredConfiguration(const StoredConfiguration& aStored);

Result<StoredConfiguration>
ParseStoredConfiguration(std::string_view aText, std::string_view aPeer);

} // namespace apricottrack

#endif
