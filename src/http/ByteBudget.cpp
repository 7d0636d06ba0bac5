#include "http/ByteBudget.h"

#include <algorithm>

namespace apricottrack {

void
ByteBudget::ExportCounts(Counters& aCounters) const
{
  aCounters.Set(
    "caller_memory_bytes", {}, static_cast<double>(this->usedBytes));
  aCounters.Set(
    "caller_memory_revoked", {}, static_cast<double>(this->counts.revoked));
  aCounters.Set(
    "caller_memory_refused", {}, static_cast<double>(this->counts.refused));
}

bool
ByteBudget::MakeRoom(std::size_t aBytes, const Reservation& aAsking)
{
  const std::size_t own = aAsking.IsUnfinished() ? aAsking.countedBytes : 0;
  const std::size_t others = this->revocableBytes - own;
  if (this->usedBytes - others + aBytes > this->options.totalBytes) {
    return false;
  }
  while (this->usedBytes + aBytes > this->options.totalBytes) {
    const auto most =
      std::ranges::max_element(this->holders, {}, [](const auto& aEntry) {
        return aEntry.second.bytes;
      });
    most->second.unfinished.front()->Revoke();
    if (aAsking.isRevoked) {
      return false;
    }
  }
  return true;
}

bool
ByteBudget::Reservation::TryGrowTo(std::size_t aBytes)
{
  if (this->isRevoked) {
    return false;
  }
  const Options& limits = this->budget.options;
  const std::size_t counted =
    aBytes > limits.freeBytesPerBody ? aBytes - limits.freeBytesPerBody : 0;
  if (counted <= this->countedBytes) {
    return true;
  }
  const std::size_t added = counted - this->countedBytes;
  if (this->budget.usedBytes + added > limits.totalBytes &&
      !this->budget.MakeRoom(added, *this)) {
    ++this->budget.counts.refused;
    return false;
  }
  if (this->IsUnfinished()) {
    this->AddToHolder(added);
  }
  this->budget.usedBytes += added;
  this->countedBytes = counted;
  return true;
}

void
ByteBudget::Reservation::AddToHolder(std::size_t aBytes)
{
  if (this->countedBytes == 0) {
    Holders& holders = this->budget.holders;
    this->holder = holders.find(this->holderName);
    if (this->holder == holders.end()) {
      this->holder =
        holders.emplace(std::string(this->holderName), Holder{}).first;
    }
    std::list<Reservation*>& unfinished = this->holder->second.unfinished;
    this->position = unfinished.insert(unfinished.end(), this);
  }
  this->holder->second.bytes += aBytes;
  this->budget.revocableBytes += aBytes;
}

void
ByteBudget::Reservation::LeaveHolder()
{
  if (!this->IsUnfinished() || this->countedBytes == 0) {
    return;
  }
  this->budget.revocableBytes -= this->countedBytes;
  this->holder->second.bytes -= this->countedBytes;
  this->holder->second.unfinished.erase(this->position);
  if (this->holder->second.unfinished.empty()) {
    this->budget.holders.erase(this->holder);
  }
}

void
ByteBudget::Reservation::Finish()
{
  this->LeaveHolder();
  this->onRevoke = nullptr;
}

void
ByteBudget::Reservation::Release()
{
  this->LeaveHolder();
  this->budget.usedBytes -= this->countedBytes;
  this->countedBytes = 0;
}

void
ByteBudget::Reservation::Revoke()
{
  this->Release();
  this->isRevoked = true;
  ++this->budget.counts.revoked;
  this->onRevoke();
}

} // namespace apricottrack
