#include "placement/DemandMeter.h"

#include <cmath>

namespace apricottrack {

void
DemandMeter::Fade(Entry& aEntry, Instant aNow) const
{
  const double left = std::exp(-ToSeconds(aNow - aEntry.fadedAt) /
                               ToSeconds(this->options.memory));
  aEntry.sums.requests *= left;
  aEntry.sums.promptTokens *= left;
  aEntry.sums.outputTokens *= left;
  aEntry.fadedAt = aNow;
}

void
DemandMeter::OnRequest(const std::string& aModel,
                       int aPromptTokens,
                       int aOutputTokens,
                       Instant aNow)
{
  this->startedAt = this->startedAt.value_or(aNow);
  Entry& entry =
    this->entries.try_emplace(aModel, Entry{ .sums = {}, .fadedAt = aNow })
      .first->second;
  this->Fade(entry, aNow);
  entry.sums.requests += 1;
  entry.sums.promptTokens += aPromptTokens;
  entry.sums.outputTokens += aOutputTokens;
}

ModelDemands
DemandMeter::Demands(Instant aNow) const
{
  ModelDemands demands;
  const double memory = ToSeconds(this->options.memory);
  const double age = this->startedAt ? ToSeconds(aNow - *this->startedAt) : 0;
  if (age < memory) {
    return demands;
  }
  for (const auto& [model, kept] : this->entries) {
    Entry entry = kept;
    this->Fade(entry, aNow);
    // The sums cover a window that grows towards `memory` after the first
    // request.
    const double window = memory * (1 - std::exp(-age / memory));
    demands[model] = { .requests = entry.sums.requests / window,
                       .promptTokens = entry.sums.promptTokens / window,
                       .outputTokens = entry.sums.outputTokens / window };
  }
  return demands;
}

} // namespace apricottrack
