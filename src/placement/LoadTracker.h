#ifndef APRICOTTRACK_PLACEMENT_LOADTRACKER_H
#define APRICOTTRACK_PLACEMENT_LOADTRACKER_H

#include "apricottrack/Time.h"
#include "placement/LoadSample.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Tracks the requests that each target holds: the exact count of this node's
/// own, and those of other nodes as of the target's last report. A report
/// arrives with the response to a request of this node, or is forwarded by
/// another node through the planner's node. Each serving node has one.
class LoadTracker
{
public:
  struct Options
  {
    /// Reports older than this are ignored: most of the requests that they
    /// count have ended.
    Duration maxReportAge = milliseconds(2000);
    /// Half-life of the mean over a target's reports. If requests are short,
    /// a single report is outdated as soon as they end; the mean is not.
    Duration meanHalfLife = milliseconds(500);
  };

  explicit LoadTracker(Options aOptions)
    : options(aOptions)
  {
  }

  /// Records that this node sent a request to the target.
  void OnSent(const std::string& aTarget);
  /// Records that a request of this node ended.
  void OnEnded(const std::string& aTarget);
  /// Records a target's report to this node: the number of requests it holds,
  /// including those of this node.
  void OnDirectReport(const std::string& aTarget, int aRequests, Instant aNow);
  /// Records a report that another node forwarded. Ignored unless it is newer
  /// than the last report.
  void OnForwardedReport(const LoadSample& aSample, Instant aNow);

  /// Number of requests that this node has in flight at the target.
  int OwnRequests(const std::string& aTarget) const;

  /// Requests of other nodes at a target.
  struct OtherRequests
  {
    /// At the time of the last report.
    double requests = 0;
    /// Exponentially weighted mean over recent reports.
    double meanRequests = 0;
    /// Age of the last report.
    Duration age = Duration::zero();

    friend bool operator==(const OtherRequests&,
                           const OtherRequests&) = default;
  };

  /// Returns nothing if there is no report or if it has expired.
  std::optional<OtherRequests> OtherRequestsAt(const std::string& aTarget,
                                               Instant aNow) const;

  /// Returns the last report of each target if it was made after `aSince` and
  /// has not expired: only reports to this node, or with `aIncludeForwarded`
  /// also those that other nodes forwarded.
  std::vector<LoadSample> SamplesSince(Instant aSince,
                                       bool aIncludeForwarded,
                                       Instant aNow) const;

private:
  struct Entry
  {
    /// This node's requests in flight.
    int ownRequests = 0;
    /// Requests of all nodes at the last report.
    int reportedRequests = 0;
    /// This node's requests in flight when the last report was recorded.
    int ownAtReport = 0;
    /// Exponentially weighted mean of other nodes' requests over reports.
    double meanRequests = 0;
    std::optional<Instant> reportedAt;
    /// True if the last report was made to this node, not forwarded.
    bool isDirect = false;
  };

  /// Updates an entry with a report of the given time.
  void ApplyReport(Entry& aEntry, int aRequests, Instant aReportedAt) const;
  /// Removes entries without own requests whose report has expired, once the
  /// table reaches `removalThreshold` entries.
  void RemoveExpired(Instant aNow);

  Options options;
  std::unordered_map<std::string, Entry> entries;
  /// Number of entries at which expired ones are removed.
  std::size_t removalThreshold = 1024;
};

} // namespace apricottrack

#endif
