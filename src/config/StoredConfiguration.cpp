#include "config/StoredConfiguration.h"

#include "base/JsonFields.h"

#include <boost/json.hpp>

namespace apricottrack {

std::string
EncodeStoredConfiguration(const StoredConfiguration& aStored)
{
  return boost::json::serialize(
    boost::json::object{ { "version", aStored.version },
                         { "submission", aStored.submission },
                         { "submitted_at", aStored.submittedAt },
                         { "text", aStored.text } });
}

Result<StoredConfiguration>
ParseStoredConfiguration(std::string_view aText, std::string_view aPeer)
{
  const auto object = ParseJsonObject(aText, "configuration.read", aPeer);
  if (!object) {
    return tl::unexpected(object.error());
  }
  return StoredConfiguration{
    .version = static_cast<std::uint64_t>(JsonInteger(*object, "version")),
    .submission = JsonText(*object, "submission"),
    .submittedAt = JsonInteger(*object, "submitted_at"),
    .text = JsonText(*object, "text"),
  };
}

} // namespace apricottrack
