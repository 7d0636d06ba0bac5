#ifndef APRICOTTRACK_GROUPS_PLANNINGROUND_H
#define APRICOTTRACK_GROUPS_PLANNINGROUND_H

#include "groups/GroupPlanner.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// One planning round of a GroupPlanner. Works on copies of the current plans;
/// the options, planner and view must outlive it.
class PlanningRound
{
public:
  PlanningRound(const GroupPlanner::Options& aOptions,
                const GroupPlanner& aPlanner,
                const PlannerView& aView,
                UnixMillis aWallNow,
                Instant aNow);

  /// Runs the round and returns the changed plans, with increased epochs.
  std::vector<DomainPlan> Run();

private:
  /// Returns whether the VM's last report is at most as old as the loss
  /// timeout.
  bool HasRecentReport(std::string_view aVm) const;

  bool IsLeaving(std::string_view aVm) const;

  /// Returns whether some, but not all members are in evacuated zones. The
  /// others can serve in a group without those.
  bool IsEvacuatedInPart(const Assignment& aAssignment) const;

  /// Returns whether a missing report means that a member is lost. It does not
  /// if this planner was paused within the loss timeout or has no recent report
  /// of any target: then the fault is probably its own.
  bool CanDetectLoss() const;

  /// Returns whether the member has restarted, or has no recent report while
  /// CanDetectLoss holds.
  bool IsLost(const PlannedMember& aMember) const;

  int CountLostMembers(const Assignment& aAssignment) const;

  /// Removes releases that have ended. A target that ignores fencing numbers
  /// can be assigned again only after it reported that it holds no order, or
  /// reported a new incarnation, or left the platform's list.
  void RemoveEndedReleases(DomainPlan& aPlan) const;

  /// Starts to drain groups that are no longer configured or have a leaving
  /// member.
  void DrainUnneededGroups(DomainPlan& aPlan) const;

  /// Returns whether a draining group may be dissolved: it lost a member, its
  /// first member reports no requests after the minimum draining time, or the
  /// maximum draining time has passed.
  bool IsDrainComplete(const Assignment& aAssignment) const;

  void DissolveDrainedGroups(DomainPlan& aPlan) const;

  /// Removes an assignment and releases its members.
  void Dissolve(DomainPlan& aPlan, std::size_t aIndex) const;

  /// Records a release unless the group's targets check fencing numbers.
  void AddRelease(DomainPlan& aPlan,
                  const Assignment& aAssignment,
                  const PlannedMember& aMember) const;

  /// Returns the unassigned VMs of the domain and role that are not leaving and
  /// have a recent report.
  std::vector<const Vm*> UnassignedVms(const DomainPlan& aPlan,
                                       const std::string& aRole) const;

  /// Returns whether any plan assigns or releases the VM. Searches all domains,
  /// because the plan of its former domain may still contain a VM whose domain
  /// was renamed in the platform's list.
  bool IsAssignedOrReleased(const std::string& aVm) const;

  PlannedMember MakeMember(const Vm& aVm) const;

  /// Repairs a group: a restarted member joins again, another lost member is
  /// replaced by an unassigned VM. Returns false, without a change, if there
  /// are too few unassigned VMs.
  bool RepairGroup(DomainPlan& aPlan, Assignment& aAssignment) const;

  /// Repairs groups with the fewest lost members first. A group that cannot be
  /// repaired keeps its remaining members until another group can use them.
  void RepairGroups(DomainPlan& aPlan) const;

  /// Returns the indexes of active assignments with lost members, fewest lost
  /// members first.
  std::vector<std::size_t> BrokenGroupIndexes(const DomainPlan& aPlan) const;

  /// Dissolves the broken group with the most lost members if its remaining
  /// members can repair another one, if it has none left, or if another domain
  /// has enough unassigned VMs for the whole group. Returns whether it did.
  bool DissolveWorstGroup(DomainPlan& aPlan,
                          const std::vector<std::size_t>& aBrokenIndexes) const;

  bool FitsInOtherDomain(const DomainPlan& aPlan,
                         const Assignment& aAssignment) const;

  /// Forms the configured groups that no plan contains. Ends a set at the first
  /// group that fits in no domain, since all groups of a set have one size.
  void FormMissingGroups();

  /// Forms one group; returns false if no domain has enough unassigned VMs.
  /// Prefers a domain that keeps its spares, but uses the spares rather than
  /// leave a configured group permanently down.
  bool FormGroup(const GroupSet& aSet, const std::string& aName);

  /// Returns the domain for a new group by the placement option; null if none
  /// has enough unassigned VMs, on top of its spares if these must be kept.
  DomainPlan* ChooseDomain(const GroupSet& aSet, bool aKeepSpares);

  /// Returns the plans that differ from those of the view, with the next epoch.
  std::vector<DomainPlan> ChangedPlans() const;

  const GroupPlanner::Options& options;
  const GroupPlanner& planner;
  const PlannerView& view;
  UnixMillis wallNow;
  Instant now;
  DomainPlans plans;
  std::map<std::string, const Vm*, std::less<>> vmsById;
};

} // namespace apricottrack

#endif
