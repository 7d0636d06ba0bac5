#ifndef APRICOTTRACK_REPLICAS_TARGETPROBE_H
#define APRICOTTRACK_REPLICAS_TARGETPROBE_H

#include "apricottrack/Time.h"
#include "replicas/TargetReport.h"

#include <optional>

namespace apricottrack {

/// State of the planner's probes of one target, and what they say about it. A
/// sound target may be silent for a second or so. Owned by PlannerTask.
struct TargetProbe
{
  struct Options
  {
    /// Consecutive missed reports after which a target is unresponsive.
    int maxMissedReports = 2;
    /// Consecutive timeouts that a delay of this node may explain. After that
    /// they count as missed, as a node may lack processor time for long.
    int maxExcusedReports = 5;
    /// A replica with an unresponsive member keeps its members for this time if
    /// the member timed out.
    Duration silenceTolerance = milliseconds(1500);
    /// An unresponsive target counts as lost after this time.
    Duration lossConfirmationTime = milliseconds(3000);
  };

  /// Records the report that a probe returned which was sent at `aSentAt`.
  void OnReport(TargetReport aReport, Instant aSentAt);

  /// Records that a probe which was sent at `aSentAt` returned no report.
  /// `aTimedOut` is false if the target accepted no connection or reset it.
  void OnMissed(Instant aSentAt, bool aTimedOut);

  /// Records a timeout that a delay of this node explains. Returns false if too
  /// many have been explained in a row.
  bool TryExcuse(const Options& aOptions);

  /// Forgets the missed reports, which this node's own failure explains, and
  /// makes the next probe due.
  void ForgetMissed();

  bool IsUnresponsive(const Options& aOptions) const;

  /// True if the target is unresponsive, but was silent for less than
  /// `silenceTolerance` when its last probe was sent.
  bool IsBrieflySilent(const Options& aOptions) const;

  /// True if the target has been unresponsive for `lossConfirmationTime`.
  bool IsLost(const Options& aOptions, Instant aNow) const;

  std::optional<TargetReport> report;
  /// When the last probe was sent.
  Instant probeSentAt;
  /// When the probe that returned the last report was sent.
  Instant reportedAt;
  /// Consecutive reports that were missed.
  int missedReports = 0;
  /// When the first and the last of them were requested.
  Instant silentSince;
  Instant missedAt;
  /// Consecutive timeouts that a delay of this node explained.
  int excusedReports = 0;
  /// The last missed report timed out.
  bool hasTimedOut = false;
  /// A probe is in progress.
  bool isPending = false;
};

} // namespace apricottrack

#endif
