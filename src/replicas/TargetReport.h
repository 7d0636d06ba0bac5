#ifndef APRICOTTRACK_REPLICAS_TARGETREPORT_H
#define APRICOTTRACK_REPLICAS_TARGETREPORT_H

#include "apricottrack/Time.h"
#include "fleet/TargetRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// A target's response to a report query. It describes the target's state of
/// `EngineSpec::reportLag` before the response.
struct TargetReport
{
  /// Model whose weights the target holds or is loading; empty for none.
  std::string model;
  /// Models whose weights are on the target's host.
  std::vector<std::string> stagedModels;
  std::optional<Membership> membership;
  /// Start of the target's process.
  UnixMillis startedAt = 0;
  /// The target is carrying out an order.
  bool busy = false;
  /// Number of requests that the target runs.
  int running = 0;
  /// Number of requests queued at the target.
  int waiting = 0;
  /// Factor on the times of the engine; above 1 the target is slower than
  /// others of its kind.
  double pace = 1;

  friend bool operator==(const TargetReport&, const TargetReport&) = default;
};

/// Returns the target's entry, read at `aEntryAt`, updated from the report if
/// that describes a later state. `aReportAt` is the time of that state.
/// `aMayHaveStopped`: false if the replica that the report shows serving was
/// not ordered to stop. An entry that shows it stopped then is an old one that
/// was read late.
TargetRecord
MergeReport(const TargetRecord& aEntry,
            Instant aEntryAt,
            const std::optional<TargetReport>& aReport,
            Instant aReportAt,
            bool aMayHaveStopped = true);

} // namespace apricottrack

#endif
