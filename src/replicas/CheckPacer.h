#ifndef APRICOTTRACK_REPLICAS_CHECKPACER_H
#define APRICOTTRACK_REPLICAS_CHECKPACER_H

#include "apricottrack/Time.h"

#include <map>
#include <string>

namespace apricottrack {

/// Paces the checks of replicas that nodes report as standing still. Answers
/// many small nodes that each see a few requests: under load most of what
/// they take for a standstill is a long pass, and each check asks all members.
class CheckPacer
{
public:
  struct Options
  {
    /// After a first check; a lost member is found by that one, as the check
    /// goes on by itself where a member does not answer.
    Duration least = milliseconds(150);
    /// The pause doubles with each check up to here; a loss after a false
    /// alarm is found this much later at most.
    Duration most = milliseconds(600);
    /// Without a check for longer, the next alarm is taken for a first one.
    Duration calm = seconds(2);
  };

  explicit CheckPacer(Options aOptions)
    : options(aOptions)
  {
  }

  /// True if the replica with this head is to be checked now.
  bool MayCheck(const std::string& aHead, Instant aNow);

private:
  struct Entry
  {
    Instant checkedAt;
    Duration pause = Duration::zero();
  };

  Options options;
  std::map<std::string, Entry, std::less<>> entries;
};

} // namespace apricottrack

#endif
