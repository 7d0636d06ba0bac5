#include "placement/StallDetector.h"

#include <algorithm>
#include <cmath>

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

double
StallDetector::FadedPeak(const Entry& aEntry, Instant aNow) const
{
  return aEntry.peakSeconds * std::exp(-ToSeconds(aNow - aEntry.peakAt) /
                                       ToSeconds(this->options.passMemory));
}

Duration
StallDetector::DoubtAfter(const Entry& aEntry, Instant aNow) const
{
  if (aEntry.streaming == 0) {
    // Requests whose response has not begun may be queued at the target.
    return this->options.mostDoubt;
  }
  return std::clamp(
    FromSeconds(this->options.doubtFactor * this->FadedPeak(aEntry, aNow)),
    this->options.leastDoubt,
    this->options.mostDoubt);
}

Duration
StallDetector::FleeAfter(const Entry& aEntry, Instant aNow) const
{
  if (aEntry.streaming < this->options.streamsToFlee) {
    return this->options.mostFlight;
  }
  return std::clamp(
    FromSeconds(this->options.fleeFactor * this->FadedPeak(aEntry, aNow)),
    this->options.leastFlight,
    this->options.mostFlight);
}

void
StallDetector::OnProgress(const std::string& aTarget, bool aFirst, Instant aNow)
{
  Entry& entry = this->entries[aTarget];
  if (entry.streaming > 0) {
    const double gap = ToSeconds(aNow - entry.progressAt);
    entry.peakSeconds = std::max(gap, this->FadedPeak(entry, aNow));
    entry.peakAt = aNow;
  }
  entry.streaming += aFirst ? 1 : 0;
  entry.progressAt = aNow;
  if (entry.stalled) {
    entry.stalled = false;
    entry.avoidUntil = aNow;
  }
}

void
StallDetector::OnEnded(const std::string& aTarget, bool aStreaming)
{
  Entry& entry = this->entries[aTarget];
  entry.inFlight = std::max(0, entry.inFlight - 1);
  entry.streaming = std::max(0, entry.streaming - (aStreaming ? 1 : 0));
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
    if (entry.inFlight > 0 && silent > this->DoubtAfter(entry, aNow) &&
        aNow - entry.doubtedAt > this->options.doubtAgain) {
      entry.doubtedAt = aNow;
      sightings.doubtful.push_back(target);
    }
    if (entry.inFlight > 0 && !entry.stalled &&
        silent > this->FleeAfter(entry, aNow)) {
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
         aNow - found->second.progressAt >
           this->DoubtAfter(found->second, aNow);
}

bool
StallDetector::Avoids(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && aNow < found->second.avoidUntil;
}

} // namespace apricottrack
