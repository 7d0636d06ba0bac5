#include "quarantine/PromptParts.h"

#include "base/Hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

std::string
BoundedId(std::string_view aId)
{
  // The colon distinguishes a hash from an id, which has none.
  return aId.size() <= kMaxBoundedIdBytes
           ? std::string(aId)
           : fmt::format("long:{:016x}", StableHash(aId, 0));
}

void
PromptParts::Add(std::string_view aId)
{
  if (aId.empty() || std::ranges::find(this->first, aId) != this->first.end()) {
    return;
  }
  if (this->first.size() < kMaxFirstParts) {
    this->first.push_back(aId);
    return;
  }
  if (std::ranges::find(this->last, aId) != this->last.end()) {
    return;
  }
  if (this->last.size() < kMaxLastParts) {
    this->last.push_back(aId);
    return;
  }
  this->last[this->oldestOfLast] = aId;
  this->oldestOfLast = (this->oldestOfLast + 1) % kMaxLastParts;
}

std::vector<std::string>
PromptParts::Ids() const
{
  std::vector<std::string> ids;
  ids.reserve(this->first.size() + this->last.size());
  std::ranges::transform(this->first, std::back_inserter(ids), BoundedId);
  for (std::size_t i = 0; i < this->last.size(); ++i) {
    ids.push_back(
      BoundedId(this->last[(this->oldestOfLast + i) % this->last.size()]));
  }
  return ids;
}

void
PromptParts::Bound(std::vector<std::string>& aIds)
{
  constexpr std::size_t kMaxLastIds = kMaxLastParts + 1;
  if (aIds.size() > kMaxFirstParts + kMaxLastIds) {
    aIds.erase(aIds.begin() + kMaxFirstParts, aIds.end() - kMaxLastIds);
  }
}

} // namespace apricottrack
