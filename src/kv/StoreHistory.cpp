#include "kv/StoreHistory.h"

#include "base/JsonFields.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

namespace apricottrack {

std::string
HistoryRecord::Encode() const
{
  return boost::json::serialize(
    boost::json::object{ { "history", this->history },
                         { "catalog_version", this->catalogVersion },
                         { "settled", this->isSettled } });
}

std::optional<HistoryRecord>
HistoryRecord::Decode(std::string_view aText)
{
  const auto object = ParseJsonObject(aText, "read history", "store");
  if (!object) {
    return std::nullopt;
  }
  return HistoryRecord{ .history = JsonInteger(*object, "history"),
                        .catalogVersion =
                          JsonInteger(*object, "catalog_version"),
                        .isSettled = JsonFlag(*object, "settled") };
}

void
StoreHistory::OnHistory(std::optional<std::int64_t> aHistory,
                        bool aWasRestored,
                        bool aKnowsCatalog,
                        Instant aNow)
{
  if (!aHistory) {
    this->isSettled = true;
    this->isWitness = true;
    return;
  }
  if (aHistory == this->history) {
    return;
  }
  this->history = aHistory;
  this->seenAt = aNow;
  this->isWitness = this->options.isFirstStart || aKnowsCatalog;
  this->isSettled = this->options.isFirstStart && !aWasRestored;
  this->minCatalogVersion = 0;
  this->record.reset();
}

void
StoreHistory::OnRecord(const std::optional<HistoryRecord>& aRecord,
                       Instant aNow)
{
  this->record = aRecord;
  if (!this->isWitness && aNow - this->seenAt >= this->options.witnessTime) {
    this->isSettled = true;
  }
  if (!aRecord || aRecord->history != this->history) {
    return;
  }
  this->minCatalogVersion =
    std::max(this->minCatalogVersion, aRecord->catalogVersion);
  this->isSettled = this->isSettled || aRecord->isSettled;
}

bool
StoreHistory::IsSettled(Instant aReadSentAt) const
{
  if (this->isSettled) {
    return true;
  }
  if (!this->history) {
    return this->options.isFirstStart;
  }
  return this->isWitness &&
         aReadSentAt - this->seenAt >= this->options.rewriteTime;
}

std::optional<HistoryRecord>
StoreHistory::RecordToWrite(const View& aView) const
{
  if (!this->history || (!this->isWitness && !aView.isProven)) {
    return std::nullopt;
  }
  HistoryRecord next{ .history = *this->history,
                      .catalogVersion = aView.catalogVersion,
                      .isSettled = aView.isProven };
  if (!this->record || this->record->history < next.history) {
    return next;
  }
  if (this->record->history > next.history) {
    return std::nullopt;
  }
  if (this->record->isSettled) {
    // What the operator has changed since then needs no record.
    const bool isMissing =
      aView.isOutdated && next.catalogVersion > this->record->catalogVersion;
    return isMissing ? std::optional(next) : std::nullopt;
  }
  next.catalogVersion =
    std::max(next.catalogVersion, this->record->catalogVersion);
  return next != *this->record ? std::optional(next) : std::nullopt;
}

} // namespace apricottrack
