#include "groups/GroupPlanner.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace apricottrack {

namespace {

constexpr double kSecondsPerDay = 86'400;

const GroupSet*
FindSet(const Configuration& aConfiguration, std::string_view aName)
{
  const auto& sets = aConfiguration.groupSets;
  const auto found =
    std::find_if(sets.begin(), sets.end(), [aName](const GroupSet& aSet) {
      return aSet.name == aName;
    });
  return found == sets.end() ? nullptr : &*found;
}

std::string
GroupName(const GroupSet& aSet, int aIndex)
{
  return aSet.name + "-" + std::to_string(aIndex);
}

/// True if the configuration still asks for the group as it was formed.
bool
IsDeclared(const Configuration& aConfiguration, const Assignment& aAssignment)
{
  const GroupSet* const set = FindSet(aConfiguration, aAssignment.set);
  if (set == nullptr || set->service != aAssignment.service ||
      set->size != static_cast<int>(aAssignment.members.size())) {
    return false;
  }
  const std::string_view group = aAssignment.group;
  const std::string_view digits = group.substr(group.rfind('-') + 1);
  int index = -1;
  std::from_chars(digits.data(), digits.data() + digits.size(), index);
  return index >= 0 && index < set->count && GroupName(*set, index) == group;
}

} // namespace

GroupPlanner::GroupPlanner(Options aOptions)
  : options(aOptions)
{
}

int
GroupPlanner::SparesWanted(const GroupPolicy& aPolicy,
                           int aGroupSize,
                           int aGroupsInDomain) const
{
  // A spare saves the group's downtime until a replacement VM comes, each
  // time a VM of the domain's groups fails, and is itself stranded always.
  const double replacementDays =
    ToSeconds(this->options.replacementTime) / kSecondsPerDay;
  const double failing = this->options.failuresPerVmDay * replacementDays *
                         aGroupSize * aGroupsInDomain;
  const double saved = aPolicy.downtimeWeight * failing * aGroupSize;
  return saved > aPolicy.strandedWeight ? 1 : 0;
}

/// One planning round over copies of the present plans.
class GroupPlanner::Round
{
public:
  Round(const Options& aOptions,
        const GroupPlanner& aPlanner,
        const PlannerView& aView,
        UnixMillis aWallNow,
        Instant aNow)
    : options(aOptions)
    , planner(aPlanner)
    , view(aView)
    , wallNow(aWallNow)
    , now(aNow)
    , plans(aView.plans)
  {
    for (const Vm& vm : aView.vms) {
      this->byId[vm.id] = &vm;
      if (!vm.fabricDomain.empty()) {
        this->plans.try_emplace(vm.fabricDomain,
                                DomainPlan{ .domain = vm.fabricDomain,
                                            .epoch = 0,
                                            .author = {},
                                            .assignments = {},
                                            .releases = {} });
      }
    }
  }

  std::vector<DomainPlan> Run()
  {
    for (auto& [domain, plan] : this->plans) {
      this->SettleReleases(plan);
      this->DrainUnwanted(plan);
      this->EndDrained(plan);
      this->Repair(plan);
    }
    this->FormMissing();
    return this->Changed();
  }

private:
  bool IsHeard(std::string_view aVm) const
  {
    const auto found = this->view.reports.find(aVm);
    return found != this->view.reports.end() &&
           this->now - found->second.heardAt <= this->options.lostAfter;
  }

  bool IsLeaving(std::string_view aVm) const
  {
    return this->view.leaving.contains(aVm);
  }

  /// A planner that was paused, or that hears no target at all, knows of its
  /// own trouble only; it must not take it for that of the members.
  bool MayJudgeSilence() const
  {
    if (this->options.silence == SilenceRule::kAlways) {
      return true;
    }
    return this->now - this->view.observingSince > this->options.lostAfter &&
           std::any_of(
             this->view.reports.begin(),
             this->view.reports.end(),
             [this](const auto& aItem) { return this->IsHeard(aItem.first); });
  }

  bool IsLost(const PlannedMember& aMember) const
  {
    if (!this->IsHeard(aMember.vm)) {
      return this->MayJudgeSilence();
    }
    const auto& report = this->view.reports.find(aMember.vm)->second;
    return report.incarnation != aMember.incarnation;
  }

  int LostMembers(const Assignment& aAssignment) const
  {
    return static_cast<int>(std::count_if(
      aAssignment.members.begin(),
      aAssignment.members.end(),
      [this](const PlannedMember& aMember) { return this->IsLost(aMember); }));
  }

  /// A target that ignores fencing numbers is free again only once it is
  /// seen to hold no order, or as a new incarnation.
  void SettleReleases(DomainPlan& aPlan) const
  {
    std::erase_if(aPlan.releases, [this](const Release& aRelease) {
      const auto found = this->view.reports.find(aRelease.vm);
      if (found == this->view.reports.end() || !this->IsHeard(aRelease.vm)) {
        return !this->byId.contains(aRelease.vm);
      }
      return found->second.incarnation != aRelease.incarnation ||
             found->second.group.empty();
    });
  }

  void DrainUnwanted(DomainPlan& aPlan) const
  {
    for (Assignment& assignment : aPlan.assignments) {
      const bool leaving = std::any_of(assignment.members.begin(),
                                       assignment.members.end(),
                                       [this](const PlannedMember& aMember) {
                                         return this->IsLeaving(aMember.vm);
                                       });
      const bool declared = IsDeclared(this->view.configuration, assignment);
      if (assignment.state == AssignmentState::kActive &&
          (leaving || !declared)) {
        assignment.state = AssignmentState::kDraining;
        assignment.drainingSince = this->wallNow;
      }
    }
  }

  bool HasDrained(const Assignment& aAssignment) const
  {
    const Duration since =
      milliseconds(this->wallNow - aAssignment.drainingSince);
    const PlannedMember& first = aAssignment.members.front();
    const bool idle = this->IsHeard(first.vm) &&
                      this->view.reports.find(first.vm)->second.requests == 0;
    return this->LostMembers(aAssignment) > 0 ||
           (since >= this->options.drainSettle && idle) ||
           since >= this->options.drainLimit;
  }

  void EndDrained(DomainPlan& aPlan) const
  {
    for (std::size_t i = aPlan.assignments.size(); i-- > 0;) {
      const Assignment& assignment = aPlan.assignments[i];
      if (assignment.state == AssignmentState::kDraining &&
          this->HasDrained(assignment)) {
        this->Dissolve(aPlan, i);
      }
    }
  }

  void Dissolve(DomainPlan& aPlan, std::size_t aIndex) const
  {
    const Assignment assignment = aPlan.assignments[aIndex];
    aPlan.assignments.erase(aPlan.assignments.begin() +
                            static_cast<std::ptrdiff_t>(aIndex));
    for (const PlannedMember& member : assignment.members) {
      this->AddRelease(aPlan, assignment, member);
    }
  }

  void AddRelease(DomainPlan& aPlan,
                  const Assignment& aAssignment,
                  const PlannedMember& aMember) const
  {
    const GroupSet* const set =
      FindSet(this->view.configuration, aAssignment.set);
    if (set == nullptr || !set->checksFencing) {
      aPlan.releases.push_back(
        Release{ .vm = aMember.vm, .incarnation = aMember.incarnation });
    }
  }

  std::vector<const Vm*> FreeVms(const DomainPlan& aPlan,
                                 const std::string& aRole) const
  {
    std::vector<const Vm*> free;
    for (const Vm& vm : this->view.vms) {
      if (vm.fabricDomain == aPlan.domain && vm.role == aRole &&
          !this->IsLeaving(vm.id) && this->IsHeard(vm.id) &&
          !this->IsTaken(vm.id)) {
        free.push_back(&vm);
      }
    }
    return free;
  }

  /// Looks through every domain, so that a VM whose domain was renamed in
  /// the platform's list is still found in its old plan.
  bool IsTaken(const std::string& aVm) const
  {
    for (const auto& [domain, plan] : this->plans) {
      for (const Release& release : plan.releases) {
        if (release.vm == aVm) {
          return true;
        }
      }
      for (const Assignment& assignment : plan.assignments) {
        for (const PlannedMember& member : assignment.members) {
          if (member.vm == aVm) {
            return true;
          }
        }
      }
    }
    return false;
  }

  PlannedMember MakeMember(const Vm& aVm) const
  {
    return PlannedMember{
      .vm = aVm.id,
      .incarnation = this->view.reports.find(aVm.id)->second.incarnation,
      .address = aVm.address,
    };
  }

  /// Brings a restarted member back in, or puts a free VM in its place.
  bool Replace(DomainPlan& aPlan, Assignment& aAssignment) const
  {
    const GroupSet* const set =
      FindSet(this->view.configuration, aAssignment.set);
    std::vector<const Vm*> free = set == nullptr
                                    ? std::vector<const Vm*>{}
                                    : this->FreeVms(aPlan, set->role);
    std::vector<PlannedMember> members = aAssignment.members;
    std::vector<PlannedMember> replaced;
    for (PlannedMember& member : members) {
      if (!this->IsLost(member)) {
        continue;
      }
      const auto known = this->byId.find(member.vm);
      const bool restarted = this->IsHeard(member.vm) &&
                             known != this->byId.end() &&
                             !this->IsLeaving(member.vm);
      if (!restarted && free.empty()) {
        return false;
      }
      const Vm* const vm = restarted ? known->second : free.back();
      if (!restarted) {
        free.pop_back();
        replaced.push_back(member);
      }
      member = this->MakeMember(*vm);
    }
    for (const PlannedMember& member : replaced) {
      this->AddRelease(aPlan, aAssignment, member);
    }
    aAssignment.members = std::move(members);
    aAssignment.epoch = aPlan.epoch + 1;
    return true;
  }

  /// Repairs groups with the fewest lost members first. A group that cannot
  /// be repaired keeps its members until they are of use elsewhere.
  void Repair(DomainPlan& aPlan) const
  {
    for (;;) {
      std::vector<std::size_t> broken = this->BrokenGroups(aPlan);
      std::erase_if(broken, [this, &aPlan](std::size_t aIndex) {
        return this->Replace(aPlan, aPlan.assignments[aIndex]);
      });
      if (broken.empty() || !this->GiveUpOne(aPlan, broken)) {
        return;
      }
    }
  }

  std::vector<std::size_t> BrokenGroups(const DomainPlan& aPlan) const
  {
    std::vector<std::size_t> broken;
    for (std::size_t i = 0; i < aPlan.assignments.size(); ++i) {
      if (aPlan.assignments[i].state == AssignmentState::kActive &&
          this->LostMembers(aPlan.assignments[i]) > 0) {
        broken.push_back(i);
      }
    }
    std::stable_sort(
      broken.begin(), broken.end(), [&](std::size_t aLeft, std::size_t aRight) {
        return this->LostMembers(aPlan.assignments[aLeft]) <
               this->LostMembers(aPlan.assignments[aRight]);
      });
    return broken;
  }

  /// Dissolves the worst broken group if its survivors repair another one,
  /// or if another domain has room for the whole group.
  bool GiveUpOne(DomainPlan& aPlan,
                 const std::vector<std::size_t>& aBroken) const
  {
    const std::size_t worst = aBroken.back();
    const Assignment& assignment = aPlan.assignments[worst];
    const bool helpsAnother =
      aBroken.size() > 1 && this->LostMembers(assignment) <
                              static_cast<int>(assignment.members.size());
    const bool allLost = this->LostMembers(assignment) ==
                         static_cast<int>(assignment.members.size());
    if (!helpsAnother && !allLost && !this->FitsElsewhere(aPlan, assignment)) {
      return false;
    }
    this->Dissolve(aPlan, worst);
    return true;
  }

  bool FitsElsewhere(const DomainPlan& aPlan,
                     const Assignment& aAssignment) const
  {
    const GroupSet* const set =
      FindSet(this->view.configuration, aAssignment.set);
    return set != nullptr &&
           std::any_of(
             this->plans.begin(), this->plans.end(), [&](const auto& aItem) {
               return aItem.first != aPlan.domain &&
                      static_cast<int>(
                        this->FreeVms(aItem.second, set->role).size()) >=
                        set->size;
             });
  }

  void FormMissing()
  {
    std::set<std::string> present;
    for (const auto& [domain, plan] : this->plans) {
      for (const Assignment& assignment : plan.assignments) {
        present.insert(assignment.group);
      }
    }
    for (const GroupSet& set : this->view.configuration.groupSets) {
      for (int i = 0; i < set.count; ++i) {
        const std::string name = GroupName(set, i);
        if (!present.contains(name) && !this->Form(set, name)) {
          break;
        }
      }
    }
  }

  /// A domain that keeps its wanted spares comes first, but no declared
  /// group is left out for the sake of a spare: it would be down for good.
  bool Form(const GroupSet& aSet, const std::string& aName)
  {
    DomainPlan* best = this->FindDomain(aSet, true);
    if (best == nullptr) {
      best = this->FindDomain(aSet, false);
    }
    if (best == nullptr) {
      return false;
    }
    const std::vector<const Vm*> free = this->FreeVms(*best, aSet.role);
    Assignment assignment{ .group = aName,
                           .set = aSet.name,
                           .service = aSet.service,
                           .epoch = best->epoch + 1,
                           .state = AssignmentState::kActive,
                           .drainingSince = 0,
                           .members = {} };
    for (int i = 0; i < aSet.size; ++i) {
      assignment.members.push_back(
        this->MakeMember(*free[static_cast<std::size_t>(i)]));
    }
    best->assignments.push_back(std::move(assignment));
    return true;
  }

  /// The domain that is left with the fewest free VMs, beyond its wanted
  /// spares where they are to be kept; null if none has room.
  DomainPlan* FindDomain(const GroupSet& aSet, bool aKeepSpares)
  {
    DomainPlan* best = nullptr;
    int bestFree = 0;
    for (auto& [domain, plan] : this->plans) {
      const int free = static_cast<int>(this->FreeVms(plan, aSet.role).size());
      const int spares = aKeepSpares
                           ? this->planner.SparesWanted(
                               this->view.configuration.policy,
                               aSet.size,
                               static_cast<int>(plan.assignments.size()) + 1)
                           : 0;
      const bool better =
        best == nullptr ||
        (this->options.placement == Placement::kBestFit && free < bestFree);
      if (free - aSet.size >= spares && better) {
        best = &plan;
        bestFree = free;
      }
    }
    return best;
  }

  std::vector<DomainPlan> Changed() const
  {
    std::vector<DomainPlan> changed;
    for (const auto& [domain, plan] : this->plans) {
      const auto before = this->view.plans.find(domain);
      const bool isNew = before == this->view.plans.end();
      if (isNew ? !plan.assignments.empty() : plan != before->second) {
        changed.push_back(plan);
        ++changed.back().epoch;
      }
    }
    return changed;
  }

  const Options& options;
  const GroupPlanner& planner;
  const PlannerView& view;
  UnixMillis wallNow;
  Instant now;
  DomainPlans plans;
  std::map<std::string, const Vm*, std::less<>> byId;
};

std::vector<DomainPlan>
GroupPlanner::Plan(const PlannerView& aView,
                   UnixMillis aWallNow,
                   Instant aNow) const
{
  return Round(this->options, *this, aView, aWallNow, aNow).Run();
}

namespace {

Order
MakeOrder(const Assignment& aAssignment, std::size_t aRank)
{
  Order order{ .vm = aAssignment.members[aRank].vm,
               .address = aAssignment.members[aRank].address,
               .epoch = aAssignment.epoch,
               .group = aAssignment.group,
               .service = aAssignment.service,
               .rank = static_cast<int>(aRank),
               .memberAddresses = {} };
  for (const PlannedMember& member : aAssignment.members) {
    order.memberAddresses.push_back(member.address);
  }
  return order;
}

} // namespace

std::vector<Order>
GroupPlanner::OrdersFor(const PlannerView& aView, Instant aNow) const
{
  std::vector<Order> orders;
  std::set<std::string_view> planned;
  for (const auto& [domain, plan] : aView.plans) {
    for (const Assignment& assignment : plan.assignments) {
      for (std::size_t i = 0; i < assignment.members.size(); ++i) {
        const PlannedMember& member = assignment.members[i];
        planned.insert(member.vm);
        const auto found = aView.reports.find(member.vm);
        if (found == aView.reports.end() ||
            aNow - found->second.heardAt > this->options.lostAfter ||
            found->second.incarnation != member.incarnation) {
          continue;
        }
        if (found->second.group != assignment.group ||
            found->second.epoch != assignment.epoch) {
          orders.push_back(MakeOrder(assignment, i));
        }
      }
    }
  }
  for (const Vm& vm : aView.vms) {
    const auto found = aView.reports.find(vm.id);
    const auto plan = aView.plans.find(vm.fabricDomain);
    if (!planned.contains(vm.id) && found != aView.reports.end() &&
        plan != aView.plans.end() && !found->second.group.empty() &&
        found->second.epoch <= plan->second.epoch) {
      orders.push_back(Order{ .vm = vm.id,
                              .address = vm.address,
                              .epoch = plan->second.epoch,
                              .group = {},
                              .service = {},
                              .rank = 0,
                              .memberAddresses = {} });
    }
  }
  return orders;
}

} // namespace apricottrack
