#ifndef APRICOTTRACK_GROUPS_PLANNINGROUND_H
#define APRICOTTRACK_GROUPS_PLANNINGROUND_H

#include "groups/GroupPlanner.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// One planning round of a GroupPlanner, over copies of the present plans.
class PlanningRound
{
public:
  PlanningRound(const GroupPlanner::Options& aOptions,
                const GroupPlanner& aPlanner,
                const PlannerView& aView,
                UnixMillis aWallNow,
                Instant aNow);

  std::vector<DomainPlan> Run();

private:
  bool IsHeard(std::string_view aVm) const;

  bool IsLeaving(std::string_view aVm) const;

  /// A planner that was paused, or that hears no target at all, knows of its
  /// own trouble only; it must not take it for that of the members.
  bool MayJudgeSilence() const;

  bool IsLost(const PlannedMember& aMember) const;

  int LostMembers(const Assignment& aAssignment) const;

  /// A target that ignores fencing numbers is free again only once it is
  /// seen to hold no order, or as a new incarnation.
  void SettleReleases(DomainPlan& aPlan) const;

  void DrainUnwanted(DomainPlan& aPlan) const;

  bool HasDrained(const Assignment& aAssignment) const;

  void EndDrained(DomainPlan& aPlan) const;

  void Dissolve(DomainPlan& aPlan, std::size_t aIndex) const;

  void AddRelease(DomainPlan& aPlan,
                  const Assignment& aAssignment,
                  const PlannedMember& aMember) const;

  std::vector<const Vm*> FreeVms(const DomainPlan& aPlan,
                                 const std::string& aRole) const;

  /// Looks through every domain, so that a VM whose domain was renamed in
  /// the platform's list is still found in its old plan.
  bool IsTaken(const std::string& aVm) const;

  PlannedMember MakeMember(const Vm& aVm) const;

  /// Brings a restarted member back in, or puts a free VM in its place.
  bool Replace(DomainPlan& aPlan, Assignment& aAssignment) const;

  /// Repairs groups with the fewest lost members first. A group that cannot
  /// be repaired keeps its members until they are of use elsewhere.
  void Repair(DomainPlan& aPlan) const;

  std::vector<std::size_t> BrokenGroups(const DomainPlan& aPlan) const;

  /// Dissolves the worst broken group if its survivors repair another one,
  /// or if another domain has room for the whole group.
  bool GiveUpOne(DomainPlan& aPlan,
                 const std::vector<std::size_t>& aBroken) const;

  bool FitsElsewhere(const DomainPlan& aPlan,
                     const Assignment& aAssignment) const;

  void FormMissing();

  /// A domain that keeps its wanted spares comes first, but no declared
  /// group is left out for the sake of a spare: it would be down for good.
  bool Form(const GroupSet& aSet, const std::string& aName);

  /// The domain that is left with the fewest free VMs, beyond its wanted
  /// spares where they are to be kept; null if none has room.
  DomainPlan* FindDomain(const GroupSet& aSet, bool aKeepSpares);

  std::vector<DomainPlan> Changed() const;

  const GroupPlanner::Options& options;
  const GroupPlanner& planner;
  const PlannerView& view;
  UnixMillis wallNow;
  Instant now;
  DomainPlans plans;
  std::map<std::string, const Vm*, std::less<>> byId;
};

} // namespace apricottrack

#endif
