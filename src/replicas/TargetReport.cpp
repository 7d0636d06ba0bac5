#include "replicas/TargetReport.h"

namespace apricottrack {

namespace {

bool
ShowsServing(const std::optional<Membership>& aMembership)
{
  return aMembership && aMembership->state == MemberState::kOpen;
}

/// True for a state to which a serving head comes by orders only.
bool
ShowsStopped(const std::optional<Membership>& aMembership)
{
  return !aMembership || aMembership->state == MemberState::kJoining ||
         aMembership->state == MemberState::kReady;
}

/// True if the report describes a later state of the target than the entry.
/// `aReportAt` is the time of the reported state, which is before the probe was
/// sent. It decides only between states of the same epoch, because entries may
/// be read late.
bool
IsReportNewer(const TargetRecord& aEntry,
              Instant aEntryAt,
              const TargetReport& aReport,
              Instant aReportAt,
              bool aMayHaveStopped)
{
  if (aReport.startedAt != aEntry.startedAt) {
    return aReport.startedAt > aEntry.startedAt;
  }
  if (aReport.membership && aEntry.membership &&
      aReport.membership->epoch != aEntry.membership->epoch) {
    return aReport.membership->epoch > aEntry.membership->epoch;
  }
  return aReportAt > aEntryAt ||
         (!aMayHaveStopped && ShowsServing(aReport.membership) &&
          ShowsStopped(aEntry.membership));
}

} // namespace

TargetRecord
MergeReport(const TargetRecord& aEntry,
            Instant aEntryAt,
            const std::optional<TargetReport>& aReport,
            Instant aReportAt,
            bool aMayHaveStopped)
{
  TargetRecord record = aEntry;
  if (!aReport ||
      !IsReportNewer(aEntry, aEntryAt, *aReport, aReportAt, aMayHaveStopped)) {
    return record;
  }
  record.model = aReport->model;
  record.stagedModels = aReport->stagedModels;
  record.membership = aReport->membership;
  record.startedAt = aReport->startedAt;
  record.busy = aReport->busy;
  return record;
}

} // namespace apricottrack
