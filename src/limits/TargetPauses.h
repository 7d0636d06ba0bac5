#ifndef APRICOTTRACK_LIMITS_TARGETPAUSES_H
#define APRICOTTRACK_LIMITS_TARGETPAUSES_H

#include "limits/PauseRequest.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace apricottrack {

/// Keeps this node's requests away from targets that have asked this node to
/// pause, and from those that have announced that they leave. Every request to
/// a target is subject to it, whichever attempt of whichever call it is. Each
/// node has one.
class TargetPauses
{
public:
  struct Options
  {
    /// Maximum number of targets that are remembered.
    std::size_t maxTargets = 4096;
  };

  explicit TargetPauses(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records that a target has asked for a pause. An earlier pause that ends
  /// later stays. Returns true if a pause has begun.
  bool OnPause(const std::string& aTarget,
               const PauseRequest& aRequest,
               Instant aNow);

  /// Records that the target, as started at `aStartedAt`, has announced that it
  /// leaves. Only a later start ends that. Returns true if that was not known.
  bool OnLeaving(const std::string& aTarget,
                 UnixMillis aStartedAt,
                 Instant aNow);

  /// Records a request that is about to be sent. `aStartedAt` is zero for
  /// targets that do not announce their leaving.
  void OnSend(const std::string& aTarget, UnixMillis aStartedAt, Instant aNow);

  /// Returns when the target's pause ends: not after `aNow` if it has none.
  Instant EarliestSend(const std::string& aTarget, Instant aNow) const;

  /// Returns when this node may send a request to the target, as started at
  /// `aStartedAt`: at once if the result is not after `aNow`, never if it is
  /// Instant::max().
  Instant EarliestSend(const std::string& aTarget,
                       UnixMillis aStartedAt,
                       Instant aNow) const;

private:
  struct Entry
  {
    Instant heardAt;
    Instant pausedSince;
    Instant pausedUntil;
    /// Start of the target that has announced that it leaves; none if it has
    /// not.
    std::optional<UnixMillis> leavingStart;
    Instant leavingSince;
    /// The target's last value that was out of range has been logged.
    bool isRangeLogged = false;
  };

  Entry& EntryOf(const std::string& aTarget, Instant aNow);
  /// Makes room for one more target.
  void RemoveOne(Instant aNow);

  Options options;
  std::unordered_map<std::string, Entry> entries;
};

} // namespace apricottrack

#endif
