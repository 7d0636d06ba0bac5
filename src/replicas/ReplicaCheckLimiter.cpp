#include "replicas/ReplicaCheckLimiter.h"

#include <algorithm>

namespace apricottrack {

bool
ReplicaCheckLimiter::TryBeginCheck(const std::string& aHeadId, Instant aNow)
{
  const auto [found, isNew] = this->backoffs.try_emplace(aHeadId);
  Backoff& backoff = found->second;
  const Duration sinceLastCheck = aNow - backoff.checkedAt;
  if (!isNew && sinceLastCheck < backoff.delay) {
    return false;
  }
  const bool isFirst = isNew || sinceLastCheck > this->options.resetAfter;
  backoff.delay = isFirst ? this->options.initialDelay
                          : std::min(2 * backoff.delay, this->options.maxDelay);
  backoff.checkedAt = aNow;
  std::erase_if(this->backoffs, [&](const auto& aEntry) {
    return aNow - aEntry.second.checkedAt > this->options.resetAfter;
  });
  return true;
}

} // namespace apricottrack
