#ifndef APRICOTTRACK_FLEET_RESTOREDENTRIES_H
#define APRICOTTRACK_FLEET_RESTOREDENTRIES_H

#include "apricottrack/Time.h"
#include "fleet/TargetRecord.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// Decides which entries of a store that was restored from an older copy may
/// replace what is known of their targets. An entry that is older is held back
/// until it changes or a delay has passed, in which the entries of targets that
/// are gone expire. Owned by Fleet.
class RestoredEntries
{
public:
  struct Options
  {
    /// How long removed targets are remembered.
    Duration removedMemory = seconds(60);
    /// How long an unchanged entry is held back.
    Duration delay = seconds(6);
  };

  explicit RestoredEntries(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records that the store no longer listed this target.
  void OnRemoved(const TargetRecord& aRecord, Instant aNow);

  /// Starts with a new restore: no entry is held back.
  void Clear() { this->held.clear(); }

  /// Returns what an entry of the restored store shows of a target, of which
  /// `aKnown` is known; null for nothing. None if the target had left. Holds
  /// the entry back if it differs from that.
  std::optional<TargetRecord> Resolve(const TargetRecord& aEntry,
                                      const TargetRecord* aKnown,
                                      Instant aNow);

  /// Returns true if the record is an entry that is held back.
  bool IsHeld(const TargetRecord& aRecord, Instant aNow) const;

  /// The target's entry has changed or is gone: does not hold it back any more.
  void Release(const std::string& aId) { this->held.erase(aId); }
  /// Releases all entries but these.
  void RetainOnly(const std::set<std::string>& aIds);

  /// The target is listed: forgets that it was removed.
  void OnListed(const std::string& aId) { this->removed.erase(aId); }

  /// Releases and returns the entries whose delay has passed.
  std::vector<TargetRecord> TakeDue(Instant aNow);

private:
  struct RemovedTarget
  {
    UnixMillis startedAt = 0;
    Instant removedAt;
  };

  struct HeldEntry
  {
    TargetRecord entry;
    Instant until;
  };

  Options options;
  std::map<std::string, RemovedTarget, std::less<>> removed;
  std::map<std::string, HeldEntry, std::less<>> held;
};

} // namespace apricottrack

#endif
