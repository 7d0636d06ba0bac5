#ifndef APRICOTTRACK_CONFIG_STOREDCONFIGURATION_H
#define APRICOTTRACK_CONFIG_STOREDCONFIGURATION_H

#include "apricottrack/Error.h"
#include "apricottrack/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace apricottrack {

/// A submitted configuration, as stored in the platform's key-value service.
struct StoredConfiguration
{
  /// The version of the configuration that it replaced, plus one.
  std::uint64_t version = 0;
  /// Unique id, chosen by the submitter to identify its own write when it
  /// reads back.
  std::string submission;
  UnixMillis submittedAt = 0;
  /// The operators' TOML text.
  std::string text;

  friend bool operator==(const StoredConfiguration&,
                         const StoredConfiguration&) = default;
};

/// Encodes the JSON object that the key-value service stores.
std::string
EncodeStoredConfiguration(const StoredConfiguration& aStored);

/// Decodes the stored JSON object; kBadReply if the text is not a JSON object.
/// Absent members are read as zero or empty. `aPeer` names the origin in the
/// error.
Result<StoredConfiguration>
ParseStoredConfiguration(std::string_view aText, std::string_view aPeer);

} // namespace apricottrack

#endif
