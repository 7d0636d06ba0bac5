#ifndef APRICOTTRACK_REPLICAS_REPLICACHECKLIMITER_H
#define APRICOTTRACK_REPLICAS_REPLICACHECKLIMITER_H

#include "apricottrack/Time.h"

#include <map>
#include <string>

namespace apricottrack {

/// Limits how often the planner probes the members of replicas that nodes
/// report as stalled, with an exponential backoff per replica. Many small nodes
/// each see only a few requests, so under load most reported stalls are long
/// engine passes, and each check queries all members. The planner has one for
/// all services.
class ReplicaCheckLimiter
{
public:
  struct Options
  {
    /// Minimum time from the first check of a replica to the second. It need
    /// not be short: the first check repeats the query of a member that does
    /// not respond, and so finds a lost member on its own.
    Duration initialDelay = milliseconds(150);
    /// Upper bound of the delay, which doubles with each check. A loss that
    /// follows a false alarm is detected at most this much later.
    Duration maxDelay = milliseconds(600);
    /// The backoff of a replica resets after this time without a check.
    Duration resetAfter = seconds(2);
  };

  explicit ReplicaCheckLimiter(Options aOptions)
    : options(aOptions)
  {
  }

  /// Returns true if the replica with this head may be checked now, and then
  /// records the check.
  bool TryBeginCheck(const std::string& aHead, Instant aNow);

private:
  struct Entry
  {
    Instant checkedAt;
    Duration delay = Duration::zero();
  };

  Options options;
  std::map<std::string, Entry, std::less<>> entries;
};

} // namespace apricottrack

#endif
