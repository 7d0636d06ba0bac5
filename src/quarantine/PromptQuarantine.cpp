#include "quarantine/PromptQuarantine.h"

#include <algorithm>

namespace apricottrack {

bool
PromptQuarantine::Add(const std::vector<QuarantinedParts>& aCombinations,
                      Instant aNow)
{
  std::erase_if(this->endsByParts,
                [&](const auto& aItem) { return aItem.second <= aNow; });
  bool grew = false;
  for (const QuarantinedParts& combination : aCombinations) {
    // A combination without parts would refuse every request.
    if (combination.remaining <= Duration::zero() ||
        combination.parts.empty()) {
      continue;
    }
    const Instant end = aNow + combination.remaining;
    const auto [entry, isNew] =
      this->endsByParts.try_emplace(combination.parts, end);
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
  for (const auto& [parts, end] : this->endsByParts) {
    const bool hasAll =
      std::all_of(parts.begin(), parts.end(), [&](const std::string& aPart) {
        return std::find(aParts.begin(), aParts.end(), aPart) != aParts.end();
      });
    if (hasAll && end > aNow) {
      remaining =
        std::max(remaining.value_or(Duration::zero()), Duration(end - aNow));
    }
  }
  return remaining;
}

std::vector<QuarantinedParts>
PromptQuarantine::Combinations(Instant aNow) const
{
  std::vector<QuarantinedParts> combinations;
  for (const auto& [parts, end] : this->endsByParts) {
    if (end > aNow) {
      combinations.push_back({ .parts = parts, .remaining = end - aNow });
    }
  }
  return combinations;
}

} // namespace apricottrack
