#include "replicas/CheckPacer.h"

#include <algorithm>

namespace apricottrack {

bool
CheckPacer::MayCheck(const std::string& aHead, Instant aNow)
{
  const auto [found, isNew] = this->entries.try_emplace(aHead);
  Entry& entry = found->second;
  const Duration since = aNow - entry.checkedAt;
  if (!isNew && since < entry.pause) {
    return false;
  }
  const bool first = isNew || since > this->options.calm;
  entry.pause =
    first ? this->options.least : std::min(2 * entry.pause, this->options.most);
  entry.checkedAt = aNow;
  std::erase_if(this->entries, [&](const auto& aEntry) {
    return aNow - aEntry.second.checkedAt > this->options.calm;
  });
  return true;
}

} // namespace apricottrack
