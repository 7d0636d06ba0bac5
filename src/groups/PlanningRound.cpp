#include "groups/PlanningRound.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace apricottrack {

namespace {

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

/// Returns whether the configuration still contains the group with the service
/// and size that it was formed with.
bool
IsConfigured(const Configuration& aConfiguration, const Assignment& aAssignment)
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

PlanningRound::PlanningRound(const GroupPlanner::Options& aOptions,
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
    this->vmsById[vm.id] = &vm;
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

std::vector<DomainPlan>
PlanningRound::Run()
{
  for (auto& [domain, plan] : this->plans) {
    this->RemoveEndedReleases(plan);
    this->DrainUnneededGroups(plan);
    this->DissolveDrainedGroups(plan);
    this->RepairGroups(plan);
  }
  this->FormMissingGroups();
  return this->ChangedPlans();
}

bool
PlanningRound::HasRecentReport(std::string_view aVm) const
{
  const auto found = this->view.reports.find(aVm);
  return found != this->view.reports.end() &&
         this->now - found->second.probedAt <= this->options.lossTimeout;
}

bool
PlanningRound::IsLeaving(std::string_view aVm) const
{
  return this->view.leaving.contains(aVm);
}

bool
PlanningRound::IsEvacuatedInPart(const Assignment& aAssignment) const
{
  const auto evacuated =
    std::count_if(aAssignment.members.begin(),
                  aAssignment.members.end(),
                  [this](const PlannedMember& aMember) {
                    return this->view.evacuated.contains(aMember.vm);
                  });
  return evacuated > 0 &&
         evacuated < static_cast<std::ptrdiff_t>(aAssignment.members.size());
}

bool
PlanningRound::CanDetectLoss() const
{
  if (this->options.lossRule == GroupPlanner::LossRule::kAlways) {
    return true;
  }
  return this->now - this->view.observingSince > this->options.lossTimeout &&
         std::any_of(this->view.reports.begin(),
                     this->view.reports.end(),
                     [this](const auto& aItem) {
                       return this->HasRecentReport(aItem.first);
                     });
}

bool
PlanningRound::IsLost(const PlannedMember& aMember) const
{
  if (!this->HasRecentReport(aMember.vm)) {
    return this->CanDetectLoss();
  }
  const auto& report = this->view.reports.find(aMember.vm)->second;
  return report.incarnation != aMember.incarnation;
}

int
PlanningRound::CountLostMembers(const Assignment& aAssignment) const
{
  return static_cast<int>(std::count_if(
    aAssignment.members.begin(),
    aAssignment.members.end(),
    [this](const PlannedMember& aMember) { return this->IsLost(aMember); }));
}

void
PlanningRound::RemoveEndedReleases(DomainPlan& aPlan) const
{
  std::erase_if(aPlan.releases, [this](const Release& aRelease) {
    const auto found = this->view.reports.find(aRelease.vm);
    if (found == this->view.reports.end() ||
        !this->HasRecentReport(aRelease.vm)) {
      return !this->vmsById.contains(aRelease.vm);
    }
    return found->second.incarnation != aRelease.incarnation ||
           found->second.group.empty();
  });
}

void
PlanningRound::DrainUnneededGroups(DomainPlan& aPlan) const
{
  for (Assignment& assignment : aPlan.assignments) {
    const bool leaving = std::any_of(assignment.members.begin(),
                                     assignment.members.end(),
                                     [this](const PlannedMember& aMember) {
                                       return this->IsLeaving(aMember.vm);
                                     });
    const bool configured = IsConfigured(this->view.configuration, assignment);
    if (assignment.state == AssignmentState::kActive &&
        (leaving || !configured || this->IsEvacuatedInPart(assignment))) {
      assignment.state = AssignmentState::kDraining;
      assignment.drainingSince = this->wallNow;
    }
  }
}

bool
PlanningRound::IsDrainComplete(const Assignment& aAssignment) const
{
  const Duration drainingFor =
    milliseconds(this->wallNow - aAssignment.drainingSince);
  const PlannedMember& first = aAssignment.members.front();
  const bool idle = this->HasRecentReport(first.vm) &&
                    this->view.reports.find(first.vm)->second.requests == 0;
  return this->CountLostMembers(aAssignment) > 0 ||
         (drainingFor >= this->options.minDrainTime && idle) ||
         drainingFor >= this->options.maxDrainTime;
}

void
PlanningRound::DissolveDrainedGroups(DomainPlan& aPlan) const
{
  for (std::size_t i = aPlan.assignments.size(); i-- > 0;) {
    const Assignment& assignment = aPlan.assignments[i];
    if (assignment.state == AssignmentState::kDraining &&
        this->IsDrainComplete(assignment)) {
      this->Dissolve(aPlan, i);
    }
  }
}

void
PlanningRound::Dissolve(DomainPlan& aPlan, std::size_t aIndex) const
{
  const Assignment assignment = aPlan.assignments[aIndex];
  aPlan.assignments.erase(aPlan.assignments.begin() +
                          static_cast<std::ptrdiff_t>(aIndex));
  for (const PlannedMember& member : assignment.members) {
    this->AddRelease(aPlan, assignment, member);
  }
}

void
PlanningRound::AddRelease(DomainPlan& aPlan,
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

std::vector<const Vm*>
PlanningRound::UnassignedVms(const DomainPlan& aPlan,
                             const std::string& aRole) const
{
  std::vector<const Vm*> unassigned;
  for (const Vm& vm : this->view.vms) {
    if (vm.fabricDomain == aPlan.domain && vm.role == aRole &&
        !this->IsLeaving(vm.id) && !this->view.evacuated.contains(vm.id) &&
        this->HasRecentReport(vm.id) && !this->IsAssignedOrReleased(vm.id)) {
      unassigned.push_back(&vm);
    }
  }
  return unassigned;
}

bool
PlanningRound::IsAssignedOrReleased(const std::string& aVm) const
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

PlannedMember
PlanningRound::MakeMember(const Vm& aVm) const
{
  return PlannedMember{
    .vm = aVm.id,
    .incarnation = this->view.reports.find(aVm.id)->second.incarnation,
    .address = aVm.address,
  };
}

bool
PlanningRound::RepairGroup(DomainPlan& aPlan, Assignment& aAssignment) const
{
  const GroupSet* const set =
    FindSet(this->view.configuration, aAssignment.set);
  std::vector<const Vm*> unassigned = set == nullptr
                                        ? std::vector<const Vm*>{}
                                        : this->UnassignedVms(aPlan, set->role);
  std::vector<PlannedMember> members = aAssignment.members;
  std::vector<PlannedMember> replacedMembers;
  for (PlannedMember& member : members) {
    if (!this->IsLost(member)) {
      continue;
    }
    const auto known = this->vmsById.find(member.vm);
    const bool restarted = this->HasRecentReport(member.vm) &&
                           known != this->vmsById.end() &&
                           !this->IsLeaving(member.vm);
    if (!restarted && unassigned.empty()) {
      return false;
    }
    const Vm* const vm = restarted ? known->second : unassigned.back();
    if (!restarted) {
      unassigned.pop_back();
      replacedMembers.push_back(member);
    }
    member = this->MakeMember(*vm);
  }
  for (const PlannedMember& member : replacedMembers) {
    this->AddRelease(aPlan, aAssignment, member);
  }
  aAssignment.members = std::move(members);
  aAssignment.epoch = aPlan.epoch + 1;
  return true;
}

void
PlanningRound::RepairGroups(DomainPlan& aPlan) const
{
  for (;;) {
    std::vector<std::size_t> brokenIndexes = this->BrokenGroupIndexes(aPlan);
    std::erase_if(brokenIndexes, [this, &aPlan](std::size_t aIndex) {
      return this->RepairGroup(aPlan, aPlan.assignments[aIndex]);
    });
    if (brokenIndexes.empty() ||
        !this->DissolveWorstGroup(aPlan, brokenIndexes)) {
      return;
    }
  }
}

std::vector<std::size_t>
PlanningRound::BrokenGroupIndexes(const DomainPlan& aPlan) const
{
  std::vector<std::size_t> brokenIndexes;
  for (std::size_t i = 0; i < aPlan.assignments.size(); ++i) {
    if (aPlan.assignments[i].state == AssignmentState::kActive &&
        this->CountLostMembers(aPlan.assignments[i]) > 0) {
      brokenIndexes.push_back(i);
    }
  }
  std::stable_sort(brokenIndexes.begin(),
                   brokenIndexes.end(),
                   [&](std::size_t aLeft, std::size_t aRight) {
                     return this->CountLostMembers(aPlan.assignments[aLeft]) <
                            this->CountLostMembers(aPlan.assignments[aRight]);
                   });
  return brokenIndexes;
}

bool
PlanningRound::DissolveWorstGroup(
  DomainPlan& aPlan,
  const std::vector<std::size_t>& aBrokenIndexes) const
{
  const std::size_t worstIndex = aBrokenIndexes.back();
  const Assignment& assignment = aPlan.assignments[worstIndex];
  const bool canRepairAnother =
    aBrokenIndexes.size() > 1 && this->CountLostMembers(assignment) <
                                   static_cast<int>(assignment.members.size());
  const bool allLost = this->CountLostMembers(assignment) ==
                       static_cast<int>(assignment.members.size());
  if (!canRepairAnother && !allLost &&
      !this->FitsInOtherDomain(aPlan, assignment)) {
    return false;
  }
  this->Dissolve(aPlan, worstIndex);
  return true;
}

bool
PlanningRound::FitsInOtherDomain(const DomainPlan& aPlan,
                                 const Assignment& aAssignment) const
{
  const GroupSet* const set =
    FindSet(this->view.configuration, aAssignment.set);
  return set != nullptr &&
         std::any_of(
           this->plans.begin(), this->plans.end(), [&](const auto& aItem) {
             return aItem.first != aPlan.domain &&
                    static_cast<int>(
                      this->UnassignedVms(aItem.second, set->role).size()) >=
                      set->size;
           });
}

void
PlanningRound::FormMissingGroups()
{
  std::set<std::string> plannedGroups;
  for (const auto& [domain, plan] : this->plans) {
    for (const Assignment& assignment : plan.assignments) {
      plannedGroups.insert(assignment.group);
    }
  }
  for (const GroupSet& set : this->view.configuration.groupSets) {
    for (int i = 0; i < set.count; ++i) {
      const std::string name = GroupName(set, i);
      if (!plannedGroups.contains(name) && !this->FormGroup(set, name)) {
        break;
      }
    }
  }
}

bool
PlanningRound::FormGroup(const GroupSet& aSet, const std::string& aName)
{
  DomainPlan* best = this->ChooseDomain(aSet, true);
  if (best == nullptr) {
    best = this->ChooseDomain(aSet, false);
  }
  if (best == nullptr) {
    return false;
  }
  const std::vector<const Vm*> unassigned =
    this->UnassignedVms(*best, aSet.role);
  Assignment assignment{ .group = aName,
                         .set = aSet.name,
                         .service = aSet.service,
                         .epoch = best->epoch + 1,
                         .state = AssignmentState::kActive,
                         .drainingSince = 0,
                         .members = {} };
  for (int i = 0; i < aSet.size; ++i) {
    assignment.members.push_back(
      this->MakeMember(*unassigned[static_cast<std::size_t>(i)]));
  }
  best->assignments.push_back(std::move(assignment));
  return true;
}

DomainPlan*
PlanningRound::ChooseDomain(const GroupSet& aSet, bool aKeepSpares)
{
  DomainPlan* best = nullptr;
  int bestUnassigned = 0;
  for (auto& [domain, plan] : this->plans) {
    const int unassigned =
      static_cast<int>(this->UnassignedVms(plan, aSet.role).size());
    const int spares = aKeepSpares
                         ? this->planner.RequiredSpares(
                             this->view.configuration.policy,
                             aSet.size,
                             static_cast<int>(plan.assignments.size()) + 1)
                         : 0;
    const bool better =
      best == nullptr ||
      (this->options.placement == GroupPlanner::Placement::kBestFit &&
       unassigned < bestUnassigned);
    if (unassigned - aSet.size >= spares && better) {
      best = &plan;
      bestUnassigned = unassigned;
    }
  }
  return best;
}

std::vector<DomainPlan>
PlanningRound::ChangedPlans() const
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

} // namespace apricottrack
