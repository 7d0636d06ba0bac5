#include "fleet/RestoredEntries.h"

namespace apricottrack {

namespace {

/// Joins what is known of a target with its entry, which may be older than that
/// or have been written after the restore.
TargetRecord
Merge(const TargetRecord& aKnown, const TargetRecord& aEntry)
{
  TargetRecord merged = aEntry;
  if (aKnown.startedAt > aEntry.startedAt) {
    merged = aKnown;
    merged.revision = aEntry.revision;
  }
  if (aKnown.startedAt != aEntry.startedAt) {
    return merged;
  }
  merged.leaving = aEntry.leaving || aKnown.leaving;
  if (aKnown.membership && (!aEntry.membership || aEntry.membership->epoch <
                                                    aKnown.membership->epoch)) {
    merged.membership = aKnown.membership;
    merged.model = aKnown.model;
    merged.stagedModels = aKnown.stagedModels;
    merged.busy = aKnown.busy;
  }
  return merged;
}

} // namespace

void
RestoredEntries::OnRemoved(const TargetRecord& aRecord, Instant aNow)
{
  std::erase_if(this->removed, [&](const auto& aEntry) {
    return aNow - aEntry.second.removedAt > this->options.removedMemory;
  });
  this->removed[aRecord.id] = { .startedAt = aRecord.startedAt,
                                .removedAt = aNow };
}

std::optional<TargetRecord>
RestoredEntries::Resolve(const TargetRecord& aEntry,
                         const TargetRecord* aKnown,
                         Instant aNow)
{
  const HeldEntry heldEntry{ .entry = aEntry,
                             .until = aNow + this->options.delay };
  if (aKnown != nullptr) {
    TargetRecord merged = Merge(*aKnown, aEntry);
    if (merged != aEntry) {
      this->held[aEntry.id] = heldEntry;
    }
    return merged;
  }
  const auto gone = this->removed.find(aEntry.id);
  if (gone == this->removed.end() ||
      aNow - gone->second.removedAt > this->options.removedMemory ||
      aEntry.startedAt > gone->second.startedAt) {
    return aEntry;
  }
  this->held[aEntry.id] = heldEntry;
  return std::nullopt;
}

bool
RestoredEntries::IsHeld(const TargetRecord& aRecord, Instant aNow) const
{
  const auto found = this->held.find(aRecord.id);
  return found != this->held.end() &&
         found->second.entry.revision == aRecord.revision &&
         aNow < found->second.until;
}

void
RestoredEntries::RetainOnly(const std::set<std::string>& aIds)
{
  std::erase_if(this->held, [&](const auto& aEntry) {
    return !aIds.contains(aEntry.first);
  });
}

std::vector<TargetRecord>
RestoredEntries::TakeDue(Instant aNow)
{
  std::vector<TargetRecord> due;
  for (auto it = this->held.begin(); it != this->held.end();) {
    if (aNow < it->second.until) {
      ++it;
      continue;
    }
    due.push_back(std::move(it->second.entry));
    it = this->held.erase(it);
  }
  return due;
}

} // namespace apricottrack
