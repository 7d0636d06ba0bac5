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

Task<Result<PrefixChange>>
KeyValueStore::ListIfChanged(std::string aPrefix, Revision /*aCheckedRevision*/)
{
  PrefixChange change{ .values = {}, .isComplete = true };
  auto values = co_await this->List(std::move(aPrefix), change.checkedRevision);
  if (!values) {
    co_return tl::unexpected(values.error());
  }
  change.values = std::move(*values);
  co_return change;
}

} // namespace apricottrack
