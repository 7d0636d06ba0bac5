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
    /// not respond, and so finds a lost member without a second check.
    Duration initialDelay = milliseconds(150);
    /// Upper bound of the minimum time between checks, which doubles with each
    /// check. A member lost after a false alarm is detected at most this much
    /// later.
    Duration maxDelay = milliseconds(600);
    /// The backoff of a replica resets after this time without a check.
    Duration resetAfter = seconds(2);
  };

  explicit ReplicaCheckLimiter(Options aOptions)
    : options(aOptions)
  {
  }

  /// Returns true if the replica whose head has this target id may be checked
  /// now, and then records the check.
  bool TryBeginCheck(const std::string& aHeadId, Instant aNow);

private:
  /// Backoff of one replica.
  struct Backoff
  {
    /// Time of the last check.
    Instant checkedAt;
    /// Minimum time from the last check to the next.
    Duration delay = Duration::zero();
  };

  Options options;
  /// By target id of the replica's head.
  std::map<std::string, Backoff, std::less<>> backoffs;
};

} // namespace apricottrack

#endif
