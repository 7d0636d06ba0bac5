#include "quarantine/PromptQuarantine.h"

#include <algorithm>

namespace apricottrack {

bool
PromptQuarantine::Add(const std::vector<QuarantinedPart>& aParts, Instant aNow)
{
  std::erase_if(this->endsByPart,
                [&](const auto& aItem) { return aItem.second <= aNow; });
  bool grew = false;
  for (const QuarantinedPart& part : aParts) {
    if (part.remaining <= Duration::zero()) {
      continue;
    }
    const Instant end = aNow + part.remaining;
    const auto [entry, isNew] = this->endsByPart.try_emplace(part.part, end);
    entry->second = std::max(entry->second, end);
    grew = grew || isNew;
  }
  return grew;
}

std::optional<Duration>
PromptQuarantine::RemainingFor(const std::vector<std::string>& aParts,
                               Instant aNow) const
{
  std::optional<Duration> remaining;
  for (const std::string& part : aParts) {
    const auto found = this->endsByPart.find(part);
    if (found != this->endsByPart.end() && found->second > aNow) {
      remaining = std::max(remaining.value_or(Duration::zero()),
                           Duration(found->second - aNow));
    }
  }
  return remaining;
}

std::vector<QuarantinedPart>
PromptQuarantine::Parts(Instant aNow) const
{
  std::vector<QuarantinedPart> parts;
  for (const auto& [part, end] : this->endsByPart) {
    if (end > aNow) {
      parts.push_back({ .part = part, .remaining = end - aNow });
    }
  }
  return parts;
}

} // namespace apricottrack
