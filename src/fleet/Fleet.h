#ifndef APRICOTTRACK_FLEET_FLEET_H
#define APRICOTTRACK_FLEET_FLEET_H

#include "fleet/TargetRecord.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// The targets that the platform's store lists.
class Fleet
{
public:
  struct Options
  {
    /// Entries that lapsed during an outage of the store are back within
    /// this time after it, if their targets live.
    Duration returnGrace = milliseconds(2200);
    /// Gone targets that are remembered for those who ask what changed.
    std::size_t goneKept = 200;
  };

  using Records = std::map<std::string, TargetRecord, std::less<>>;

  explicit Fleet(Options aOptions)
    : options(aOptions)
  {
  }

  void Put(TargetRecord aRecord, Instant aNow);

  /// When the record last changed.
  Instant ChangedAt(std::string_view aId) const;

  /// Entries that vanish soon after an outage may come back, and are kept
  /// until the grace is over.
  void Remove(const std::string& aId, Instant aNow);

  /// Takes a whole listing; whatever it lacks is removed.
  void ReplaceAll(std::vector<TargetRecord> aRecords, Instant aNow);

  /// The store answers again after it did not.
  void OnStoreReturned(Instant aNow) { this->returnedAt = aNow; }

  /// Drops the entries whose grace is over; true if there were any.
  bool DropLapsed(Instant aNow);

  /// Grows with each change.
  std::uint64_t Sequence() const { return this->sequence; }

  /// Something that is told along with the fleet changed.
  void Touch() { ++this->sequence; }

  /// Targets that changed and that went since a sequence number; false if
  /// that is too long ago to tell.
  bool ChangesSince(std::uint64_t aSequence,
                    std::vector<TargetRecord>& aChanged,
                    std::vector<std::string>& aGone) const;

  const Records& All() const { return this->records; }
  /// Null where there is no such target.
  const TargetRecord* Find(std::string_view aId) const;

private:
  Options options;
  Records records;
  /// Targets that are missing from the store, by the end of their grace.
  std::map<std::string, Instant, std::less<>> missing;
  void Erase(const std::string& aId);

  Instant returnedAt = Instant::min();
  /// Drops gone targets from the changes once there are too many of them.
  void ForgetGone();

  std::uint64_t sequence = 0;
  /// Changes up to here are not known in full any more.
  std::uint64_t forgotten = 0;
  /// Sequence number of the last change to a target, gone ones included.
  std::map<std::string, std::uint64_t, std::less<>> changes;
  std::map<std::string, Instant, std::less<>> changedAt;
};

} // namespace apricottrack

#endif
