#include "http/ByteBudget.h"

namespace apricottrack {

bool
ByteBudget::Reservation::TryGrowTo(std::size_t aBodyBytes)
{
  const Options& limits = this->budget.options;
  const std::size_t counted = aBodyBytes > limits.freeBytesPerBody
                                ? aBodyBytes - limits.freeBytesPerBody
                                : 0;
  if (counted <= this->countedBytes) {
    return true;
  }
  const std::size_t added = counted - this->countedBytes;
  if (this->budget.usedBytes + added > limits.totalBytes) {
    return false;
  }
  this->budget.usedBytes += added;
  this->countedBytes = counted;
  return true;
}

void
ByteBudget::Reservation::Release()
{
  this->budget.usedBytes -= this->countedBytes;
  this->countedBytes = 0;
}

} // namespace apricottrack
