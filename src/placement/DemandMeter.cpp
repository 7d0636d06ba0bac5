#include "placement/DemandMeter.h"

#include <cmath>

namespace apricottrack {

void
DemandMeter::Decay(Entry& aEntry, Instant aNow) const
{
  const double remaining = std::exp(-ToSeconds(aNow - aEntry.decayedAt) /
                                    ToSeconds(this->options.timeConstant));
  aEntry.sums.requests *= remaining;
  aEntry.sums.promptTokens *= remaining;
  aEntry.sums.outputTokens *= remaining;
  aEntry.decayedAt = aNow;
}

void
DemandMeter::OnRequest(const std::string& aModel,
                       int aPromptTokens,
                       int aOutputTokens,
                       Instant aNow)
{
  this->startedAt = this->startedAt.value_or(aNow);
  Entry& entry =
    this->entries.try_emplace(aModel, Entry{ .sums = {}, .decayedAt = aNow })
      .first->second;
  this->Decay(entry, aNow);
  entry.sums.requests += 1;
  entry.sums.promptTokens += aPromptTokens;
  entry.sums.outputTokens += aOutputTokens;
}

ModelDemands
DemandMeter::Demands(Instant aNow) const
{
  ModelDemands demands;
  const double timeConstant = ToSeconds(this->options.timeConstant);
  const double secondsSinceFirstRequest =
    this->startedAt ? ToSeconds(aNow - *this->startedAt) : 0;
  if (secondsSinceFirstRequest < timeConstant) {
    return demands;
  }
  for (const auto& [model, storedEntry] : this->entries) {
    Entry entry = storedEntry;
    this->Decay(entry, aNow);
    // The sums cover a window that grows towards `timeConstant` after the first
    // request.
    const double window =
      timeConstant * (1 - std::exp(-secondsSinceFirstRequest / timeConstant));
    demands[model] = { .requests = entry.sums.requests / window,
                       .promptTokens = entry.sums.promptTokens / window,
                       .outputTokens = entry.sums.outputTokens / window };
  }
  return demands;
}

} // namespace apricottrack
