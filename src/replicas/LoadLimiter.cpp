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
  if (this->refilledAt == Instant{}) {
    this->refilledAt = aNow;
  }
  this->tokens = std::min(this->options.burst,
                          this->tokens + ToSeconds(aNow - this->refilledAt) *
                                           this->options.loadsPerSecond);
  this->refilledAt = aNow;
  std::erase_if(this->expectedEnds, [&](Instant aEnd) { return aEnd <= aNow; });
  if (this->tokens < 1 ||
      this->expectedEnds.size() >=
        static_cast<std::size_t>(this->options.concurrentLoads)) {
    return false;
  }
  this->tokens -= 1;
  this->expectedEnds.push_back(aNow + aExpected);
  return true;
}

int
LoadLimiter::RunningLoads(Instant aNow) const
{
  return static_cast<int>(std::count_if(
    this->expectedEnds.begin(), this->expectedEnds.end(), [&](Instant aEnd) {
      return aEnd > aNow;
    }));
}

} // namespace apricottrack
