#ifndef APRICOTTRACK_GROUPS_GROUPGATE_H
#define APRICOTTRACK_GROUPS_GROUPGATE_H

#include "groups/DomainPlan.h"
#include "groups/Vm.h"

#include <set>
#include <string_view>

namespace apricottrack {

/// Why a group may not be sent requests; kNone if it may.
enum class GateReason
{
  kNone,
  kDraining,
  kMemberLeaving,
  /// The member is in an evacuated availability zone.
  kZoneEvacuated,
  /// No recent enough report of the member.
  kMemberUnresponsive,
  kMemberRestarted,
  /// The member does not hold the planned order.
  kMemberWithoutOrder,
  /// The first member does not report the group ready.
  kNotReady,
};

/// Returns the reason's name in status output; kNone is "serving".
std::string_view
GateReasonName(GateReason aReason);

/// Whether a group may be sent requests, and if not, why.
struct GateVerdict
{
  GateReason reason = GateReason::kNone;
  /// The member that the reason applies to; empty if it applies to the group.
  std::string vm;

  friend bool operator==(const GateVerdict&, const GateVerdict&) = default;
};

/// Input of a gate's decision.
struct GateView
{
  /// Last report of each VM.
  const MemberReports& reports;
  /// VMs marked as leaving in the platform's list or by an operator.
  const std::set<std::string, std::less<>>& leaving;
  /// VMs in evacuated availability zones.
  const std::set<std::string, std::less<>>& evacuated;
};

/// Decides whether a replica group may be sent requests. A group without one of
/// its members cannot answer, so a node must stop routing to it before the
/// planner has repaired it.
class GroupGate
{
public:
  virtual ~GroupGate() = default;

  /// Returns the verdict on one group; the assignment must have members.
  virtual GateVerdict Evaluate(const Assignment& aAssignment,
                               const GateView& aView,
                               Instant aNow) const = 0;
};

/// Opens a group only if the last report of every member is recent enough and
/// shows the planned incarnation and order, no member leaves or is in an
/// evacuated zone, and the first member is ready.
class IntactGroupGate final : public GroupGate
{
public:
  /// Takes the maximum age of a member's last report.
  explicit IntactGroupGate(Duration aMaxReportAge);

  GateVerdict Evaluate(const Assignment& aAssignment,
                       const GateView& aView,
                       Instant aNow) const override;

private:
  Duration maxReportAge;
};

/// Opens every planned group without looking at its members. For tests only:
/// shows that the scenario checker detects requests to groups that lack a
/// member.
class PlanOnlyGate final : public GroupGate
{
public:
  GateVerdict Evaluate(const Assignment& aAssignment,
                       const GateView& aView,
                       Instant aNow) const override;
};

} // namespace apricottrack

#endif
