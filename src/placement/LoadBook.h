#ifndef APRICOTTRACK_PLACEMENT_LOADBOOK_H
#define APRICOTTRACK_PLACEMENT_LOADBOOK_H

#include "apricottrack/Time.h"
#include "placement/LoadSample.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// What this node knows of the requests that each target holds: its own, and
/// those of other nodes as of the last report. Reports come with answers to
/// this node's own requests, and from other nodes by way of the planner's.
class LoadBook
{
public:
  struct Options
  {
    /// Older reports say nothing any more; most of what ran then has ended.
    Duration memory = milliseconds(2000);
    /// What a target usually holds follows its reports at this rate; a single
    /// report of short requests says little a moment later.
    Duration usualHalfLife = milliseconds(500);
  };

  explicit LoadBook(Options aOptions)
    : options(aOptions)
  {
  }

  void OnSent(const std::string& aTarget);
  void OnEnded(const std::string& aTarget);
  /// The target said how many requests it held, this node's included.
  void OnReported(const std::string& aTarget, int aRequests, Instant aNow);
  /// Another node passed on what the target said to some node.
  void OnTold(const LoadSample& aSample, Instant aNow);

  /// Requests that this node has at the target.
  int Own(const std::string& aTarget) const;

  struct Others
  {
    /// Requests of other nodes at the target when it reported.
    double requests = 0;
    /// The same, as a mean of late reports.
    double usual = 0;
    Duration age = Duration::zero();

    friend bool operator==(const Others&, const Others&) = default;
  };

  /// None without a report that still says something.
  std::optional<Others> OthersAt(const std::string& aTarget,
                                 Instant aNow) const;

  /// Targets' reports made after an instant, to this node itself or, with
  /// `aTold`, to any node.
  std::vector<LoadSample> SamplesSince(Instant aSince,
                                       bool aTold,
                                       Instant aNow) const;

private:
  struct Entry
  {
    int own = 0;
    /// Requests in all at the last report.
    int reported = 0;
    /// This node's at that time.
    int ownThen = 0;
    /// Mean of other nodes' requests over late reports.
    double usual = 0;
    std::optional<Instant> reportedAt;
    /// The report came to this node itself.
    bool direct = false;
  };

  void Take(Entry& aEntry, int aRequests, Instant aReportedAt) const;
  /// Drops entries that say nothing any more, once there are many.
  void ForgetOld(Instant aNow);

  Options options;
  std::unordered_map<std::string, Entry> entries;
  std::size_t forgetAt = 1024;
};

} // namespace apricottrack

#endif
