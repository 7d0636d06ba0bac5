#include "limits/TargetPauses.h"

#include "base/Log.h"

#include <algorithm>
#include <cstdint>

namespace apricottrack {

bool
TargetPauses::OnPause(const std::string& aTarget,
                      const PauseRequest& aRequest,
                      Instant aNow)
{
  Entry& entry = this->EntryOf(aTarget, aNow);
  entry.heardAt = aNow;
  if (!aRequest.isInRange && !entry.isRangeLogged) {
    entry.isRangeLogged = true;
    LogLine("target_pause_out_of_range")
      .With("target", aTarget)
      .With("used_ms", std::int64_t{ aRequest.duration / milliseconds(1) })
      .Warn();
  }
  const Instant until = aNow + aRequest.duration;
  if (until <= std::max(aNow, entry.pausedUntil)) {
    return false;
  }
  const bool wasPaused = aNow < entry.pausedUntil;
  entry.pausedUntil = until;
  if (wasPaused) {
    return false;
  }
  entry.pausedSince = aNow;
  LogLine("target_pause")
    .With("target", aTarget)
    .With("state", "start")
    .With("source", "response")
    .With("for_ms", std::int64_t{ aRequest.duration / milliseconds(1) })
    .Info();
  return true;
}

bool
TargetPauses::OnLeaving(const std::string& aTarget,
                        UnixMillis aStartedAt,
                        Instant aNow)
{
  Entry& entry = this->EntryOf(aTarget, aNow);
  entry.heardAt = aNow;
  if (entry.leavingStart && aStartedAt <= *entry.leavingStart) {
    return false;
  }
  entry.leavingStart = aStartedAt;
  entry.leavingSince = aNow;
  LogLine("target_leaving")
    .With("target", aTarget)
    .With("state", "start")
    .With("source", "response")
    .With("started_at", aStartedAt)
    .Info();
  return true;
}

void
TargetPauses::OnSend(const std::string& aTarget,
                     UnixMillis aStartedAt,
                     Instant aNow)
{
  const auto found = this->entries.find(aTarget);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.pausedSince != Instant{} && entry.pausedUntil <= aNow) {
    LogLine("target_pause")
      .With("target", aTarget)
      .With("state", "end")
      .With("after_ms",
            std::int64_t{ (aNow - entry.pausedSince) / milliseconds(1) })
      .Info();
    entry.pausedSince = Instant{};
  }
  if (entry.leavingStart && aStartedAt > *entry.leavingStart) {
    LogLine("target_leaving")
      .With("target", aTarget)
      .With("state", "end")
      .With("source", "restart")
      .With("after_ms",
            std::int64_t{ (aNow - entry.leavingSince) / milliseconds(1) })
      .Info();
    entry.leavingStart.reset();
  }
}

Instant
TargetPauses::EarliestSend(const std::string& aTarget, Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  return found == this->entries.end()
           ? aNow
           : std::max(aNow, found->second.pausedUntil);
}

Instant
TargetPauses::EarliestSend(const std::string& aTarget,
                           UnixMillis aStartedAt,
                           Instant aNow) const
{
  const auto found = this->entries.find(aTarget);
  if (found != this->entries.end() && found->second.leavingStart &&
      aStartedAt <= *found->second.leavingStart) {
    return Instant::max();
  }
  return this->EarliestSend(aTarget, aNow);
}

TargetPauses::Entry&
TargetPauses::EntryOf(const std::string& aTarget, Instant aNow)
{
  if (!this->entries.contains(aTarget) &&
      this->entries.size() >= this->options.maxTargets) {
    this->RemoveOne(aNow);
  }
  return this->entries[aTarget];
}

void
TargetPauses::RemoveOne(Instant aNow)
{
  std::erase_if(this->entries, [&](const auto& aItem) {
    return aItem.second.pausedUntil <= aNow && !aItem.second.leavingStart;
  });
  if (this->entries.size() >= this->options.maxTargets) {
    this->entries.erase(
      std::min_element(this->entries.begin(),
                       this->entries.end(),
                       [](const auto& aFirst, const auto& aSecond) {
                         return aFirst.second.heardAt < aSecond.second.heardAt;
                       }));
  }
}

} // namespace apricottrack
