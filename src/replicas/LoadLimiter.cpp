#include "replicas/LoadLimiter.h"

#include <algorithm>

namespace apricottrack {

void
LoadLimiter::Configure(Options aOptions)
{
  this->options = aOptions;
}

bool
LoadLimiter::TryBegin(Duration aExpected, Instant aNow)
{
  if (this->filledAt == Instant{}) {
    this->filledAt = aNow;
  }
  this->saved = std::min(this->options.burst,
                         this->saved + ToSeconds(aNow - this->filledAt) *
                                         this->options.loadsPerSecond);
  this->filledAt = aNow;
  std::erase_if(this->ends, [&](Instant aEnd) { return aEnd <= aNow; });
  if (this->saved < 1 ||
      this->ends.size() >=
        static_cast<std::size_t>(this->options.concurrentLoads)) {
    return false;
  }
  this->saved -= 1;
  this->ends.push_back(aNow + aExpected);
  return true;
}

int
LoadLimiter::Running(Instant aNow) const
{
  return static_cast<int>(
    std::count_if(this->ends.begin(), this->ends.end(), [&](Instant aEnd) {
      return aEnd > aNow;
    }));
}

} // namespace apricottrack
