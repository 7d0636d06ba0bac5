#include "apricottrack/KeyValueStore.h"

namespace apricottrack {

Task<Result<KeyChange>>
KeyValueStore::GetIfChanged(std::string aKey, Revision /*aCheckedRevision*/)
{
  auto value = co_await this->Get(std::move(aKey));
  if (!value) {
    co_return tl::unexpected(value.error());
  }
  const Revision revision = value->revision;
  co_return KeyChange{ .value = std::move(*value),
                       .checkedRevision = revision };
}

} // namespace apricottrack
