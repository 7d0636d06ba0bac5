#ifndef APRICOTTRACK_GROUPS_GROUPGATE_H
#define APRICOTTRACK_GROUPS_GROUPGATE_H

#include "groups/DomainPlan.h"
#include "groups/Vm.h"

#include <set>
#include <string_view>

namespace apricottrack {

/// Why a group does not serve; kNone while it does.
enum class GateReason
{
  kNone,
  kDraining,
  kMemberLeaving,
  kMemberUnheard,
  kMemberRestarted,
  kMemberWithoutOrder,
  kNotReady,
};

std::string_view
GateReasonName(GateReason aReason);

struct GateVerdict
{
  GateReason reason = GateReason::kNone;
  /// The member at fault; empty where the group as a whole is.
  std::string vm;

  friend bool operator==(const GateVerdict&, const GateVerdict&) = default;
};

/// What a gate judges by.
struct GateView
{
  const MemberReports& reports;
  /// VMs that the platform's list or an operator calls leaving.
  const std::set<std::string, std::less<>>& leaving;
};

/// Decides whether a group may take requests.
class GroupGate
{
public:
  virtual ~GroupGate() = default;
  virtual GateVerdict Judge(const Assignment& aAssignment,
                            const GateView& aView,
                            Instant aNow) const = 0;
};

/// Open only while every member was heard within a bound, in the planned
/// incarnation, holding the planned order, and the first member is ready.
class WholeGroupGate final : public GroupGate
{
public:
  explicit WholeGroupGate(Duration aHeardWithin);

  GateVerdict Judge(const Assignment& aAssignment,
                    const GateView& aView,
                    Instant aNow) const override;

private:
  Duration heardWithin;
};

/// Trusts the plan alone. For proofs only: it must be caught by checkers.
class PlanOnlyGate final : public GroupGate
{
public:
  GateVerdict Judge(const Assignment& aAssignment,
                    const GateView& aView,
                    Instant aNow) const override;
};

} // namespace apricottrack

#endif
