#ifndef APRICOTTRACK_KV_STOREHISTORY_H
#define APRICOTTRACK_KV_STOREHISTORY_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// What the nodes know of one history of the store, as KeyValueStore::History
/// numbers them. Kept in the store under keys::kHistoryKey.
struct HistoryRecord
{
  std::int64_t history = 0;
  /// The newest catalog that was known when the history began has this version.
  std::int64_t catalogVersion = 0;
  /// The operator and the targets have had the time to write again what the
  /// restore lost.
  bool isSettled = false;

  std::string Encode() const;
  /// Returns none for a text that is not a record.
  static std::optional<HistoryRecord> Decode(std::string_view aText);

  friend bool operator==(const HistoryRecord&, const HistoryRecord&) = default;
};

/// Decides what a node may conclude from its own reads of the store. After a
/// restore from an older copy they show the present state only once the lost
/// writes have been repeated. A process that has just started cannot tell a
/// restored copy from the present state, so it relies on the record that nodes
/// which were running before keep in the store. Until that says that the
/// history has settled, a read proves nothing.
class StoreHistory
{
public:
  struct Options
  {
    /// The whole deployment starts for the first time: nothing can have been
    /// lost before this process's first read.
    bool isFirstStart = false;
    /// Time for the operator to repeat lost writes, from when a node that was
    /// running before the restore has seen the new history.
    Duration rewriteTime = milliseconds(500);
    /// Time for such a node to write the record. If there is none after that,
    /// no such node is left, and neither is anything but the store's state.
    Duration witnessTime = milliseconds(2000);
  };

  explicit StoreHistory(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records the history that the store has reported; none if it reports none.
  /// `aWasRestored`: this process has seen an earlier one.
  /// `aKnowsCatalog`: it has a catalog that was verified to be the newest.
  void OnHistory(std::optional<std::int64_t> aHistory,
                 bool aWasRestored,
                 bool aKnowsCatalog,
                 Instant aNow);

  /// Records that another node has verified the catalog of this one.
  void OnCatalogVerified() { this->isWitness = true; }

  /// Records what the store holds under keys::kHistoryKey; none if nothing.
  void OnRecord(const std::optional<HistoryRecord>& aRecord, Instant aNow);

  /// Returns true if a read that was sent at that time shows all that was
  /// acknowledged before a restore, provided that the catalog has at least
  /// MinCatalogVersion.
  bool IsSettled(Instant aReadSentAt) const;

  /// Version below which a catalog in the store is known to be outdated.
  std::int64_t MinCatalogVersion() const { return this->minCatalogVersion; }

  /// Returns whether this process knows the state before the present history,
  /// or need not know it.
  bool IsWitness() const { return this->isWitness; }

  /// What a node knows when it may write the record.
  struct View
  {
    /// Version of the catalog in force; zero if it was never verified.
    std::int64_t catalogVersion = 0;
    /// The last read has proven that catalog to be the newest.
    bool isProven = false;
    /// The store holds an older one.
    bool isOutdated = false;
  };

  /// Returns the record to write in place of the one last read, or none.
  std::optional<HistoryRecord> RecordToWrite(const View& aView) const;

private:
  Options options;
  std::optional<std::int64_t> history;
  /// When this process first saw that history.
  Instant seenAt;
  bool isWitness = false;
  /// Reads prove the state whatever their time.
  bool isSettled = false;
  std::int64_t minCatalogVersion = 0;
  std::optional<HistoryRecord> record;
};

} // namespace apricottrack

#endif
