#include "fleet/Fleet.h"

#include <set>

namespace apricottrack {

void
Fleet::Put(TargetRecord aRecord, Instant aNow)
{
  const auto known = this->records.find(aRecord.id);
  if (known != this->records.end() &&
      aRecord.revision < known->second.revision) {
    return;
  }
  if (this->restoredEntries.IsHeld(aRecord, aNow)) {
    return;
  }
  const std::string id = aRecord.id;
  this->restoredEntries.Release(id);
  this->restoredEntries.OnListed(id);
  this->graceEnds.erase(id);
  if (known == this->records.end() || known->second != aRecord) {
    this->changeSequences[id] = ++this->sequence;
    this->changedAt[id] = aNow;
  }
  this->records.insert_or_assign(id, std::move(aRecord));
}

void
Fleet::RemoveNow(const std::string& aId)
{
  this->graceEnds.erase(aId);
  if (this->records.erase(aId) > 0) {
    this->changeSequences[aId] = ++this->sequence;
    this->changedAt.erase(aId);
    this->PruneHistory();
  }
}

void
Fleet::RemoveGone(const std::string& aId, Instant aNow)
{
  if (const TargetRecord* const known = this->Find(aId)) {
    this->restoredEntries.OnRemoved(*known, aNow);
  }
  this->RemoveNow(aId);
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
  this->restoredEntries.Release(aId);
  if (this->storeRecoveredAt == Instant::min() ||
      aNow - this->storeRecoveredAt >= this->options.absenceGrace) {
    this->RemoveGone(aId, aNow);
  } else if (this->records.contains(aId)) {
    this->graceEnds.insert_or_assign(
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
  std::set<std::string> listed;
  for (TargetRecord& record : aRecords) {
    listed.insert(record.id);
    absent.erase(record.id);
    this->Put(std::move(record), aNow);
  }
  if (aRemoval == Removal::kImmediate) {
    this->restoredEntries.Clear();
  } else {
    this->restoredEntries.RetainOnly(listed);
  }
  for (const std::string& id : absent) {
    if (aRemoval == Removal::kImmediate) {
      this->RemoveNow(id);
    } else {
      this->Remove(id, aNow);
    }
  }
}

void
Fleet::ReplaceAllRestored(std::vector<TargetRecord> aRecords, Instant aNow)
{
  RestoredEntries resolved = this->restoredEntries;
  resolved.Clear();
  std::vector<TargetRecord> records;
  for (const TargetRecord& entry : aRecords) {
    if (auto record = resolved.Resolve(entry, this->Find(entry.id), aNow)) {
      records.push_back(std::move(*record));
    }
  }
  // The merged records have the revisions of the entries that are held back.
  this->restoredEntries.Clear();
  this->OnStoreRecovered(aNow);
  this->ReplaceAll(std::move(records), Removal::kWithGrace, aNow);
  this->restoredEntries = std::move(resolved);
}

bool
Fleet::RemoveExpired(Instant aNow)
{
  bool changed = false;
  for (auto it = this->graceEnds.begin(); it != this->graceEnds.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    const std::string id = it->first;
    ++it;
    this->RemoveGone(id, aNow);
    changed = true;
  }
  for (TargetRecord& entry : this->restoredEntries.TakeDue(aNow)) {
    this->Put(std::move(entry), aNow);
    changed = true;
  }
  return changed;
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
