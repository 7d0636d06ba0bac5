#include "retry/RetryBudget.h"

#include <algorithm>

namespace apricottrack {

RetryBudget::RetryBudget(Options aOptions)
  : options(aOptions)
  , availableRetries(aOptions.reserve)
{
}

void
RetryBudget::OnFirstAttempt()
{
  this->availableRetries = std::min(
    this->options.reserve, this->availableRetries + this->options.ratio);
}

void
RetryBudget::SetReserve(double aReserve)
{
  if (this->options.isProvisional) {
    this->availableRetries += std::max(0.0, aReserve - this->options.reserve);
    this->options.isProvisional = false;
  }
  this->options.reserve = aReserve;
  this->availableRetries = std::min(this->availableRetries, aReserve);
}

bool
RetryBudget::TryConsume()
{
  if (this->availableRetries < 1) {
    return false;
  }
  this->availableRetries -= 1;
  return true;
}

} // namespace apricottrack
