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
    std::vector<std::string> parts = combination.parts;
    std::ranges::sort(parts);
    const auto known = this->endsByParts.find(parts);
    if (known != this->endsByParts.end()) {
      known->second = std::max(known->second, end);
    } else if (this->MakeRoomUntil(end)) {
      this->endsByParts.emplace(std::move(parts), end);
      grew = true;
    }
  }
  return grew;
}

bool
PromptQuarantine::MakeRoomUntil(Instant aEnd)
{
  if (this->endsByParts.size() < kMaxCombinations) {
    return true;
  }
  const auto first = std::ranges::min_element(
    this->endsByParts, {}, [](const auto& aItem) { return aItem.second; });
  if (first->second >= aEnd) {
    return false;
  }
  this->endsByParts.erase(first);
  return true;
}

std::optional<Duration>
PromptQuarantine::RemainingFor(const std::vector<std::string>& aParts,
                               Instant aNow) const
{
  std::optional<Duration> remaining;
  if (this->endsByParts.empty()) {
    return remaining;
  }
  std::vector<std::string_view> sorted(aParts.begin(), aParts.end());
  std::ranges::sort(sorted);
  for (const auto& [parts, end] : this->endsByParts) {
    // Most requests lack the first part already.
    const bool hasAll =
      std::ranges::binary_search(sorted, std::string_view(parts.front())) &&
      std::includes(sorted.begin(), sorted.end(), parts.begin(), parts.end());
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
