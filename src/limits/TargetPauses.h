#ifndef APRICOTTRACK_LIMITS_TARGETPAUSES_H
#define APRICOTTRACK_LIMITS_TARGETPAUSES_H

#include "limits/PauseRequest.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace apricottrack {

/// Keeps this node's requests away from targets that have asked this node to
/// pause. Every request to a target is subject to it, whichever attempt of
/// whichever call it is. Each node has one.
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

  /// Records a request that is about to be sent.
  void OnSend(const std::string& aTarget, Instant aNow);

  /// Returns when this node may send a request to the target: at once if the
  /// result is not after `aNow`.
  Instant EarliestSend(const std::string& aTarget, Instant aNow) const;

private:
  struct Entry
  {
    Instant heardAt;
    Instant pausedSince;
    Instant pausedUntil;
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
