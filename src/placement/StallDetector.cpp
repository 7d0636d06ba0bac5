#include "placement/StallDetector.h"

namespace apricottrack {

void
StallDetector::OnSent(const std::string& aTarget, Instant aNow)
{
  Entry& entry = this->entries[aTarget];
  if (entry.inFlight == 0) {
    entry.progressAt = aNow;
    entry.stalled = false;
  }
  ++entry.inFlight;
}

void
StallDetector::OnProgress(const std::string& aTarget, Instant aNow)
{
  Entry& entry = this->entries[aTarget];
  entry.progressAt = aNow;
  if (entry.stalled) {
    entry.stalled = false;
    entry.avoidUntil = aNow;
  }
}

void
StallDetector::OnEnded(const std::string& aTarget)
{
  Entry& entry = this->entries[aTarget];
  if (entry.inFlight > 0) {
    --entry.inFlight;
  }
}

void
StallDetector::OnBroken(const std::string& aTarget, Instant aNow)
{
  this->entries[aTarget].avoidUntil = aNow + this->options.avoidance;
}

StallDetector::Sightings
StallDetector::Look(Instant aNow)
{
  const bool stoodStill = aNow - this->lookedAt > this->options.ownGap;
  this->lookedAt = aNow;
  Sightings sightings;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    auto& [target, entry] = *it;
    if (stoodStill) {
      entry.progressAt = aNow;
    }
    if (entry.inFlight == 0 && aNow >= entry.avoidUntil) {
      it = this->entries.erase(it);
      continue;
    }
    const Duration silent = aNow - entry.progressAt;
    if (entry.inFlight > 0 && silent > this->options.doubt &&
        aNow - entry.doubtedAt > this->options.doubtAgain) {
      entry.doubtedAt = aNow;
      sightings.doubtful.push_back(target);
    }
    if (entry.inFlight > 0 && !entry.stalled &&
        silent > this->options.silence) {
      entry.stalled = true;
      entry.avoidUntil = aNow + this->options.avoidance;
      sightings.stalled.push_back(target);
    }
    ++it;
  }
  return sightings;
}

bool
StallDetector::Doubts(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && found->second.inFlight > 0 &&
         aNow - found->second.progressAt > this->options.doubt;
}

bool
StallDetector::Avoids(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && aNow < found->second.avoidUntil;
}

} // namespace apricottrack
