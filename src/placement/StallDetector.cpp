#include "placement/StallDetector.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

void
StallDetector::OnSent(const std::string& aTarget, Instant aNow)
{
  Entry& entry = this->entries[aTarget];
  if (entry.inFlight == 0) {
    entry.lastProgressAt = aNow;
    entry.stalled = false;
  }
  ++entry.inFlight;
}

double
StallDetector::DecayedLongestPass(const Entry& aEntry, Instant aNow) const
{
  return aEntry.longestPassSeconds *
         std::exp(-ToSeconds(aNow - aEntry.longestPassAt) /
                  ToSeconds(this->options.passDecayTime));
}

Duration
StallDetector::SuspectTimeout(const Entry& aEntry, Instant aNow) const
{
  if (aEntry.startedResponses == 0) {
    // Requests whose response has not begun may be queued at the target.
    return this->options.maxSuspectTimeout;
  }
  return std::clamp(FromSeconds(this->options.suspectFactor *
                                this->DecayedLongestPass(aEntry, aNow)),
                    this->options.minSuspectTimeout,
                    this->options.maxSuspectTimeout);
}

Duration
StallDetector::StallTimeout(const Entry& aEntry, Instant aNow) const
{
  if (aEntry.startedResponses < this->options.minStalledStreams) {
    return this->options.maxStallTimeout;
  }
  return std::clamp(FromSeconds(this->options.stallFactor *
                                this->DecayedLongestPass(aEntry, aNow)),
                    this->options.minStallTimeout,
                    this->options.maxStallTimeout);
}

void
StallDetector::OnProgress(const std::string& aTarget, bool aFirst, Instant aNow)
{
  this->lastProgressAt = aNow;
  Entry& entry = this->entries[aTarget];
  if (entry.startedResponses > 0) {
    const double gap = ToSeconds(aNow - entry.lastProgressAt);
    entry.longestPassSeconds =
      std::max(gap, this->DecayedLongestPass(entry, aNow));
    entry.longestPassAt = aNow;
  }
  entry.startedResponses += aFirst ? 1 : 0;
  entry.lastProgressAt = aNow;
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
  entry.startedResponses =
    std::max(0, entry.startedResponses - (aStreaming ? 1 : 0));
}

void
StallDetector::OnFailure(const std::string& aTarget, Instant aNow)
{
  this->entries[aTarget].avoidUntil = aNow + this->options.avoidDuration;
}

StallDetector::Findings
StallDetector::Check(Instant aNow)
{
  Findings findings{ .checkInterval = aNow - this->checkedAt };
  const bool nodeWasStalled =
    findings.checkInterval > this->options.maxCheckInterval;
  this->checkedAt = aNow;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    auto& [target, entry] = *it;
    if (nodeWasStalled) {
      entry.lastProgressAt = aNow;
    }
    if (entry.inFlight == 0 && aNow >= entry.avoidUntil) {
      it = this->entries.erase(it);
      continue;
    }
    const Duration sinceProgress = aNow - entry.lastProgressAt;
    if (entry.inFlight > 0 &&
        sinceProgress > this->SuspectTimeout(entry, aNow) &&
        aNow - entry.suspectedAt > this->options.suspectInterval) {
      entry.suspectedAt = aNow;
      findings.suspected.push_back(target);
    }
    const bool isDue = !entry.stalled || aNow - entry.stallReportedAt >=
                                           this->options.stallInterval;
    if (entry.inFlight > 0 && isDue &&
        sinceProgress > this->StallTimeout(entry, aNow)) {
      entry.stalled = true;
      entry.stallReportedAt = aNow;
      entry.avoidUntil = aNow + this->options.avoidDuration;
      findings.stalled.push_back(
        { .target = target,
          .silence = sinceProgress,
          .startedResponses = entry.startedResponses });
    }
    ++it;
  }
  return findings;
}

bool
StallDetector::IsSuspected(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && found->second.inFlight > 0 &&
         aNow - found->second.lastProgressAt >
           this->SuspectTimeout(found->second, aNow);
}

bool
StallDetector::IsAvoided(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found != this->entries.end() && aNow < found->second.avoidUntil;
}

} // namespace apricottrack
