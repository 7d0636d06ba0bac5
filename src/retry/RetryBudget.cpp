#include "retry/RetryBudget.h"

#include <algorithm>

namespace apricottrack {

RetryBudget::RetryBudget(Options aOptions)
  : options(aOptions)
  , saved(aOptions.reserve)
{
}

void
RetryBudget::OnFirstAttempt()
{
  this->saved =
    std::min(this->options.reserve, this->saved + this->options.ratio);
}

void
RetryBudget::SetReserve(double aReserve)
{
  this->options.reserve = aReserve;
  this->saved = std::min(this->saved, aReserve);
}

bool
RetryBudget::TryTake()
{
  if (this->saved < 1) {
    return false;
  }
  this->saved -= 1;
  return true;
}

} // namespace apricottrack
