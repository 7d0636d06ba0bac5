#include "fleet/Fleet.h"

#include <set>

namespace apricottrack {

void
Fleet::Put(TargetRecord aRecord)
{
  this->missing.erase(aRecord.id);
  const std::string id = aRecord.id;
  this->records.insert_or_assign(id, std::move(aRecord));
}

void
Fleet::Remove(const std::string& aId, Instant aNow)
{
  if (this->returnedAt == Instant::min() ||
      aNow - this->returnedAt >= this->options.returnGrace) {
    this->missing.erase(aId);
    this->records.erase(aId);
  } else if (this->records.contains(aId)) {
    this->missing.emplace(aId, this->returnedAt + this->options.returnGrace);
  }
}

void
Fleet::ReplaceAll(std::vector<TargetRecord> aRecords, Instant aNow)
{
  std::set<std::string> gone;
  for (const auto& [id, record] : this->records) {
    gone.insert(id);
  }
  for (TargetRecord& record : aRecords) {
    gone.erase(record.id);
    this->Put(std::move(record));
  }
  for (const std::string& id : gone) {
    this->Remove(id, aNow);
  }
}

bool
Fleet::DropLapsed(Instant aNow)
{
  bool dropped = false;
  for (auto it = this->missing.begin(); it != this->missing.end();) {
    if (aNow < it->second) {
      ++it;
      continue;
    }
    this->records.erase(it->first);
    it = this->missing.erase(it);
    dropped = true;
  }
  return dropped;
}

const TargetRecord*
Fleet::Find(std::string_view aId) const
{
  const auto found = this->records.find(aId);
  return found == this->records.end() ? nullptr : &found->second;
}

} // namespace apricottrack
