#include "fleet/RelayBudget.h"

#include <algorithm>

namespace apricottrack {

bool
RelayBudget::TryTake(std::size_t aBytes, Instant aNow)
{
  if (!this->options.linkBytesPerSecond) {
    return true;
  }
  const double link = *this->options.linkBytesPerSecond;
  const double most = link * ToSeconds(this->options.burst);
  const double refilled =
    this->available.value_or(most) +
    link * this->options.share * ToSeconds(aNow - this->updatedAt);
  this->available = std::min(most, refilled);
  this->updatedAt = aNow;
  const auto bytes = static_cast<double>(aBytes);
  if (bytes > *this->available) {
    return false;
  }
  *this->available -= bytes;
  return true;
}

} // namespace apricottrack
