#include "replicas/LoopDelays.h"

#include <algorithm>

namespace apricottrack {

void
LoopDelays::OnTimer(Duration aLateness, Instant aNow)
{
  while (!this->delays.empty() &&
         aNow - this->delays.front().at > this->options.memory) {
    this->delays.pop_front();
  }
  if (aLateness > Duration::zero()) {
    this->delays.push_back({ .at = aNow, .lateness = aLateness });
  }
}

bool
LoopDelays::Explain(Instant aSentAt, Duration aTimeout, Instant aNow) const
{
  Duration total = Duration::zero();
  for (const Delay& delay : this->delays) {
    if (delay.at > aSentAt) {
      total += std::min<Duration>(delay.lateness, delay.at - aSentAt);
    }
  }
  return ToSeconds(aNow - aSentAt - total) <
         this->options.minWaitShare * ToSeconds(aTimeout);
}

} // namespace apricottrack
