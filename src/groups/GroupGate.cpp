#include "groups/GroupGate.h"

namespace apricottrack {

std::string_view
GateReasonName(GateReason aReason)
{
  switch (aReason) {
    case GateReason::kNone:
      return "serving";
    case GateReason::kDraining:
      return "draining";
    case GateReason::kMemberLeaving:
      return "member_leaving";
    case GateReason::kZoneEvacuated:
      return "zone_evacuated";
    case GateReason::kMemberUnresponsive:
      return "member_unheard";
    case GateReason::kMemberRestarted:
      return "member_restarted";
    case GateReason::kMemberWithoutOrder:
      return "member_without_order";
    case GateReason::kNotReady:
      return "not_ready";
  }
  return "unknown";
}

IntactGroupGate::IntactGroupGate(Duration aMaxReportAge)
  : maxReportAge(aMaxReportAge)
{
}

namespace {

GateReason
EvaluateMember(const Assignment& aAssignment,
               const PlannedMember& aMember,
               const GateView& aView,
               Duration aMaxReportAge,
               Instant aNow)
{
  if (aView.leaving.contains(aMember.vm)) {
    return GateReason::kMemberLeaving;
  }
  if (aView.evacuated.contains(aMember.vm)) {
    return GateReason::kZoneEvacuated;
  }
  const auto found = aView.reports.find(aMember.vm);
  if (found == aView.reports.end() ||
      aNow - found->second.probedAt > aMaxReportAge) {
    return GateReason::kMemberUnresponsive;
  }
  const MemberReport& report = found->second;
  if (report.incarnation != aMember.incarnation) {
    return GateReason::kMemberRestarted;
  }
  const bool holdsOrder =
    report.group == aAssignment.group && report.epoch == aAssignment.epoch;
  return holdsOrder ? GateReason::kNone : GateReason::kMemberWithoutOrder;
}

} // namespace

GateVerdict
IntactGroupGate::Evaluate(const Assignment& aAssignment,
                          const GateView& aView,
                          Instant aNow) const
{
  if (aAssignment.state == AssignmentState::kDraining) {
    return GateVerdict{ .reason = GateReason::kDraining, .vm = {} };
  }
  for (const PlannedMember& member : aAssignment.members) {
    const GateReason reason =
      EvaluateMember(aAssignment, member, aView, this->maxReportAge, aNow);
    if (reason != GateReason::kNone) {
      return GateVerdict{ .reason = reason, .vm = member.vm };
    }
  }
  const std::string& first = aAssignment.members.front().vm;
  if (!aView.reports.find(first)->second.ready) {
    return GateVerdict{ .reason = GateReason::kNotReady, .vm = first };
  }
  return {};
}

GateVerdict
PlanOnlyGate::Evaluate(const Assignment& /*aAssignment*/,
                       const GateView& /*aView*/,
                       Instant /*aNow*/) const
{
  return {};
}

} // namespace apricottrack
