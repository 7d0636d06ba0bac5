#include "fleet/Fleet.h"

#include <set>

namespace apricottrack {

namespace {

/// Joins what is known of a target with its entry in a store that was restored
/// from an older copy. The entry may be older than the known record or have
/// been written after the restore.
TargetRecord
MergeRestored(const TargetRecord& aKnown, TargetRecord aEntry)
{
  if (aKnown.startedAt != aEntry.startedAt) {
    return aKnown.startedAt > aEntry.startedAt ? aKnown : aEntry;
  }
  aEntry.leaving = aEntry.leaving || aKnown.leaving;
  if (aKnown.membership && (!aEntry.membership || aEntry.membership->epoch <=
                                                    aKnown.membership->epoch)) {
    aEntry.membership = aKnown.membership;
    aEntry.model = aKnown.model;
    aEntry.stagedModels = aKnown.stagedModels;
    aEntry.busy = aKnown.busy;
  }
  return aEntry;
}

} // namespace

void
Fleet::Put(TargetRecord aRecord, Instant aNow)
{
  const auto known = this->records.find(aRecord.id);
  if (known != this->records.end() &&
      aRecord.revision < known->second.revision) {
    return;
  }
  if (this->IsRestoredEntry(aRecord, aNow)) {
    return;
  }
  this->restoredEntries.erase(aRecord.id);
  this->removed.erase(aRecord.id);
  const std::string id = aRecord.id;
  this->graceEnds.erase(id);
  if (known == this->records.end() || known->second != aRecord) {
    this->changeSequences[id] = ++this->sequence;
    this->changedAt[id] = aNow;
  }
  this->records.insert_or_assign(id, std::move(aRecord));
}

void
Fleet::RemoveNow(const std::string& aId, Instant aNow)
{
  this->graceEnds.erase(aId);
  const auto known = this->records.find(aId);
  if (known != this->records.end()) {
    this->removed[aId] = { .startedAt = known->second.startedAt,
                           .removedAt = aNow };
    this->records.erase(known);
    this->changeSequences[aId] = ++this->sequence;
    this->changedAt.erase(aId);
    this->PruneHistory();
  }
}

void
Fleet::PruneHistory()
{
  if (this->changeSequences.size() <=
      this->records.size() + this->options.maxRemovedKept) {
    return;
  }
  std::erase_if(this->changeSequences, [this](const auto& aEntry) {
    return !this->records.contains(aEntry.first);
  });
  this->prunedUpTo = this->sequence;
}

bool
Fleet::ChangesSince(std::uint64_t aSequence,
                    std::vector<TargetRecord>& aChanged,
                    std::vector<std::string>& aRemoved) const
{
  if (aSequence == 0 || aSequence < this->prunedUpTo ||
      aSequence > this->sequence) {
    return false;
  }
  for (const auto& [id, changeSequence] : this->changeSequences) {
    if (changeSequence <= aSequence) {
      continue;
    }
    if (const TargetRecord* const record = this->Find(id)) {
      aChanged.push_back(*record);
    } else {
      aRemoved.push_back(id);
    }
  }
  return true;
}

void
Fleet::Remove(const std::string& aId, Instant aNow)
{
  if (this->storeRecoveredAt == Instant::min() ||
      aNow - this->storeRecoveredAt >= this->options.absenceGrace) {
    this->RemoveNow(aId, aNow);
  } else if (this->records.contains(aId)) {
    this->graceEnds.emplace(
      aId, this->storeRecoveredAt + this->options.absenceGrace);
  }
}

void
Fleet::ReplaceAll(std::vector<TargetRecord> aRecords,
                  Removal aRemoval,
                  Instant aNow)
{
  std::set<std::string> absent;
  for (const auto& [id, record] : this->records) {
    absent.insert(id);
  }
  for (TargetRecord& record : aRecords) {
    absent.erase(record.id);
    this->Put(std::move(record), aNow);
  }
  for (const std::string& id : absent) {
    if (aRemoval == Removal::kImmediate) {
      this->RemoveNow(id, aNow);
    } else {
      this->Remove(id, aNow);
    }
  }
}

void
Fleet::ReplaceAllRestored(std::vector<TargetRecord> aRecords, Instant aNow)
{
  this->ForgetRemoved(aNow);
  this->restoredEntries.clear();
  std::map<std::string, RestoredEntry, std::less<>> entries;
  for (TargetRecord& record : aRecords) {
    if (const TargetRecord* const known = this->Find(record.id)) {
      const std::int64_t revision = record.revision;
      record = MergeRestored(*known, std::move(record));
      record.revision = revision;
      entries[record.id] = { .revision = revision,
                             .ignoredUntil = Instant::max() };
      continue;
    }
    const auto gone = this->removed.find(record.id);
    if (gone != this->removed.end() &&
        record.startedAt <= gone->second.startedAt) {
      this->restoredEntries[record.id] = {
        .revision = record.revision,
        .ignoredUntil = aNow + this->options.restoredEntryDelay
      };
    }
  }
  this->OnStoreRecovered(aNow);
  this->ReplaceAll(std::move(aRecords), Removal::kWithGrace, aNow);
  // Only now, so that the merged records were applied.
  this->restoredEntries.merge(entries);
}

bool
Fleet::IsRestoredEntry(const TargetRecord& aRecord, Instant aNow) const
{
  const auto entry = this->restoredEntries.find(aRecord.id);
  return entry != this->restoredEntries.end() &&
         entry->second.revision == aRecord.revision &&
         aNow < entry->second.ignoredUntil;
}

void
Fleet::ForgetRemoved(Instant aNow)
{
  std::erase_if(this->removed, [&](const auto& aEntry) {
    return aNow - aEntry.second.removedAt > this->options.removedMemory;
  });
}

bool
Fleet::RemoveExpired(Instant aNow)
{
  this->ForgetRemoved(aNow);
  bool removed = false;
  for (auto it = this->graceEnds.begin(); it != this->graceEnds.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    const std::string id = it->first;
    ++it;
    this->RemoveNow(id, aNow);
    removed = true;
  }
  return removed;
}

Instant
Fleet::ChangedAt(std::string_view aId) const
{
  const auto found = this->changedAt.find(aId);
  return found == this->changedAt.end() ? Instant{} : found->second;
}

const TargetRecord*
Fleet::Find(std::string_view aId) const
{
  const auto found = this->records.find(aId);
  return found == this->records.end() ? nullptr : &found->second;
}

} // namespace apricottrack
