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
  const std::string id = aRecord.id;
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
    this->RemoveNow(aId);
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
      this->RemoveNow(id);
    } else {
      this->Remove(id, aNow);
    }
  }
}

bool
Fleet::RemoveExpired(Instant aNow)
{
  bool removed = false;
  for (auto it = this->graceEnds.begin(); it != this->graceEnds.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    const std::string id = it->first;
    ++it;
    this->RemoveNow(id);
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
