#include "replicas/ReplicaCheckLimiter.h"

#include <algorithm>

namespace apricottrack {

bool
ReplicaCheckLimiter::TryBeginCheck(const std::string& aHead, Instant aNow)
{
  const auto [found, isNew] = this->entries.try_emplace(aHead);
  Entry& entry = found->second;
  const Duration sinceLastCheck = aNow - entry.checkedAt;
  if (!isNew && sinceLastCheck < entry.delay) {
    return false;
  }
  const bool isFirst = isNew || sinceLastCheck > this->options.resetAfter;
  entry.delay = isFirst ? this->options.initialDelay
                        : std::min(2 * entry.delay, this->options.maxDelay);
  entry.checkedAt = aNow;
  std::erase_if(this->entries, [&](const auto& aEntry) {
    return aNow - aEntry.second.checkedAt > this->options.resetAfter;
  });
  return true;
}

} // namespace apricottrack
