#ifndef APRICOTTRACK_FLEET_FLEET_H
#define APRICOTTRACK_FLEET_FLEET_H

#include "fleet/RestoredEntries.h"
#include "fleet/TargetRecord.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// The targets that are registered in the platform's store, as far as this
/// node has read them, with a change sequence from which other nodes are sent
/// increments. After an outage of the store, entries that are absent are kept
/// for a grace period, so that a lapsed registration of a live target does not
/// remove the target.
class Fleet
{
public:
  struct Options
  {
    /// How long absent entries are kept after the store recovers. Live targets
    /// whose entries expired during the outage register again within it.
    Duration absenceGrace = milliseconds(2200);
    /// Maximum number of removed targets that `ChangesSince` still reports.
    std::size_t maxRemovedKept = 200;
  };

  using Records = std::map<std::string, TargetRecord, std::less<>>;

  explicit Fleet(Options aOptions)
    : options(aOptions)
  {
  }

  /// Adds or updates a target and cancels its deferred removal; ignored if the
  /// revision of the known record is newer.
  void Put(TargetRecord aRecord, Instant aNow);

  /// Time of the record's last change; Instant{} for an unknown target.
  Instant ChangedAt(std::string_view aId) const;

  /// Removes a target. Within the grace period after the store recovered, the
  /// removal is deferred to the end of that period, and cancelled if the entry
  /// reappears.
  void Remove(const std::string& aId, Instant aNow);

  /// Removes a target without a grace period, as another node has found it to
  /// be unusable.
  void RemoveNow(const std::string& aId);

  /// How `ReplaceAll` removes the targets that are not listed.
  enum class Removal
  {
    /// Like `Remove`.
    kWithGrace,
    /// Like `RemoveNow`.
    kImmediate,
  };

  /// Applies a complete listing: updates all listed targets and removes all
  /// others.
  void ReplaceAll(std::vector<TargetRecord> aRecords,
                  Removal aRemoval,
                  Instant aNow);

  /// Applies the first listing after the store was restored from an older copy
  /// of its contents. Keeps what is known of targets where the copy may be
  /// older; absent entries have a grace period.
  void ReplaceAllRestored(std::vector<TargetRecord> aRecords, Instant aNow);

  /// Starts the grace period: the store responds again after an outage.
  void OnStoreRecovered(Instant aNow) { this->storeRecoveredAt = aNow; }

  /// Removes absent entries whose grace period has ended and applies entries of
  /// a restored store that were held back; true if there were any.
  bool RemoveExpired(Instant aNow);

  /// Sequence number of the last change; increases with each change.
  std::uint64_t Sequence() const { return this->sequence; }

  /// Counts a change to other data that is sent together with the fleet, so
  /// that waiting queries of other nodes are answered.
  void MarkChanged() { ++this->sequence; }

  /// Appends the targets that were changed and removed after a sequence
  /// number. Returns false, and appends nothing, if that number is zero, not
  /// reached yet or older than the retained history; the caller then needs the
  /// complete fleet.
  bool ChangesSince(std::uint64_t aSequence,
                    std::vector<TargetRecord>& aChanged,
                    std::vector<std::string>& aRemoved) const;

  const Records& All() const { return this->records; }
  /// Null if the target is unknown.
  const TargetRecord* Find(std::string_view aId) const;

private:
  Options options;
  Records records;
  /// End of the grace period of each target that is absent from the store.
  std::map<std::string, Instant, std::less<>> graceEnds;
  /// Instant::min() until the store has recovered from an outage.
  Instant storeRecoveredAt = Instant::min();
  /// Removes a target that the store no longer lists.
  void RemoveGone(const std::string& aId, Instant aNow);
  /// Deletes all removed targets from the history once there are more than
  /// `maxRemovedKept`.
  void PruneHistory();

  std::uint64_t sequence = 0;
  /// The history is incomplete up to this sequence number.
  std::uint64_t prunedUpTo = 0;
  /// Sequence number of each target's last change, removed targets included.
  std::map<std::string, std::uint64_t, std::less<>> changeSequences;
  RestoredEntries restoredEntries{ RestoredEntries::Options{} };
  /// Time of each known target's last change.
  std::map<std::string, Instant, std::less<>> changedAt;
};

} // namespace apricottrack

#endif
