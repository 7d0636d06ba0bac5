#ifndef APRICOTTRACK_PLACEMENT_LOADBOOK_H
#define APRICOTTRACK_PLACEMENT_LOADBOOK_H

#include "apricottrack/Time.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace apricottrack {

/// Estimates how many requests each target holds: what targets reported,
/// corrected by what this node has sent and seen ended since. Other nodes'
/// requests are known only as of the last report.
class LoadBook
{
public:
  struct Options
  {
    /// What other nodes had running fades from the estimate at this rate, as
    /// their requests end and the report grows old.
    Duration reportHalfLife = milliseconds(1000);
  };

  explicit LoadBook(Options aOptions)
    : options(aOptions)
  {
  }

  void OnSent(const std::string& aTarget);
  void OnEnded(const std::string& aTarget);
  /// The target said how many requests it held, this node's included.
  void OnReported(const std::string& aTarget, int aRequests, Instant aNow);

  /// Requests that this node has at the target.
  int Own(const std::string& aTarget) const;

  /// Requests that the target holds, from all nodes.
  double Estimate(const std::string& aTarget, Instant aNow) const;

private:
  struct Entry
  {
    int own = 0;
    /// Requests of other nodes at the time of the report.
    double others = 0;
    Instant reportedAt;
  };

  /// Drops entries that say nothing any more, once there are many.
  void ForgetOld(Instant aNow);

  Options options;
  std::unordered_map<std::string, Entry> entries;
  std::size_t forgetAt = 1024;
};

} // namespace apricottrack

#endif
