#include "node/NodeView.h"

#include <algorithm>

namespace apricottrack {

NodeView::NodeView(std::unique_ptr<GroupGate> aGate, Duration aMaxReportAge)
  : gate(std::move(aGate))
  , maxReportAge(aMaxReportAge)
{
}

void
NodeView::SetVms(VmList aVms)
{
  this->vms = std::move(aVms);
  this->zoneByVm.clear();
  for (const Vm& vm : this->vms) {
    this->zoneByVm[vm.id] = vm.availabilityZone;
  }
  std::erase_if(this->reports, [this](const auto& aItem) {
    return !this->zoneByVm.contains(aItem.first);
  });
  this->UpdateLeavingVms();
}

void
NodeView::SetDrainedVms(DrainedVms aVms)
{
  this->drainedVms = std::move(aVms);
  this->UpdateLeavingVms();
}

void
NodeView::UpdateLeavingVms()
{
  this->leaving = this->drainedVms;
  for (const Vm& vm : this->vms) {
    if (vm.state == VmState::kLeaving) {
      this->leaving.insert(vm.id);
    }
  }
}

void
NodeView::SetPlan(DomainPlan aPlan)
{
  DomainPlan& plan = this->plans[aPlan.domain];
  if (aPlan.epoch >= plan.epoch) {
    plan = std::move(aPlan);
  }
}

void
NodeView::RemovePlan(const std::string& aDomain)
{
  this->plans.erase(aDomain);
}

void
NodeView::SetReport(const std::string& aVm, MemberReport aReport)
{
  MemberReport& report = this->reports[aVm];
  if (aReport.probedAt >= report.probedAt) {
    report = std::move(aReport);
  }
}

std::string
NodeView::ZoneOf(const std::string& aVm) const
{
  const auto found = this->zoneByVm.find(aVm);
  return found == this->zoneByVm.end() ? std::string{} : found->second;
}

std::vector<Target>
NodeView::TargetsFor(const Service& aService, Instant aNow) const
{
  std::vector<Target> targets;
  if (aService.contract == Contract::kPlain) {
    this->AddPlainTargets(aService, aNow, targets);
  } else {
    this->AddGroupTargets(aService, aNow, targets);
  }
  return targets;
}

void
NodeView::AddPlainTargets(const Service& aService,
                          Instant aNow,
                          std::vector<Target>& aTargets) const
{
  for (const Vm& vm : this->vms) {
    const auto report = this->reports.find(vm.id);
    if (vm.role != aService.role || this->leaving.contains(vm.id) ||
        report == this->reports.end() ||
        aNow - report->second.probedAt > this->maxReportAge) {
      continue;
    }
    aTargets.push_back(Target{ .id = vm.id + "#" + report->second.incarnation,
                               .address = vm.address,
                               .availabilityZone = vm.availabilityZone,
                               .group = {},
                               .epoch = 0,
                               .slots = aService.slotsPerTarget,
                               .reportedRequests = report->second.requests,
                               .reportedAt = report->second.probedAt });
  }
}

void
NodeView::AddGroupTargets(const Service& aService,
                          Instant aNow,
                          std::vector<Target>& aTargets) const
{
  const GateView view{ .reports = this->reports, .leaving = this->leaving };
  for (const auto& [domain, plan] : this->plans) {
    for (const Assignment& assignment : plan.assignments) {
      if (assignment.service != aService.name || assignment.members.empty() ||
          this->gate->Evaluate(assignment, view, aNow).reason !=
            GateReason::kNone) {
        continue;
      }
      const PlannedMember& first = assignment.members.front();
      const auto report = this->reports.find(first.vm);
      const bool reporting = report != this->reports.end();
      aTargets.push_back(Target{
        .id = assignment.group + "#" + std::to_string(assignment.epoch),
        .address = first.address,
        .availabilityZone = this->ZoneOf(first.vm),
        .group = assignment.group,
        .epoch = assignment.epoch,
        .slots = aService.slotsPerTarget,
        .reportedRequests = reporting ? report->second.requests : 0,
        .reportedAt = reporting ? report->second.probedAt : Instant{} });
    }
  }
}

std::vector<GroupStatus>
NodeView::GroupStatuses(Instant aNow) const
{
  std::vector<GroupStatus> groups;
  const GateView view{ .reports = this->reports, .leaving = this->leaving };
  for (const auto& [domain, plan] : this->plans) {
    for (const Assignment& assignment : plan.assignments) {
      if (!assignment.members.empty()) {
        groups.push_back(GroupStatus{
          .domain = domain,
          .assignment = assignment,
          .verdict = this->gate->Evaluate(assignment, view, aNow) });
      }
    }
  }
  return groups;
}

FleetTime
NodeView::MeasureFleetTime(const Configuration& aConfiguration,
                           Duration aInterval,
                           Instant aNow) const
{
  std::set<std::string_view> roles;
  int declaredMembers = 0;
  for (const GroupSet& groupSet : aConfiguration.groupSets) {
    roles.insert(groupSet.role);
    declaredMembers += groupSet.count * groupSet.size;
  }
  int servingMembers = 0;
  for (const GroupStatus& status : this->GroupStatuses(aNow)) {
    if (status.verdict.reason == GateReason::kNone) {
      servingMembers += static_cast<int>(status.assignment.members.size());
    }
  }
  int vmCount = 0;
  int healthyVms = 0;
  for (const Vm& vm : this->vms) {
    if (!roles.contains(vm.role)) {
      continue;
    }
    const auto report = this->reports.find(vm.id);
    const bool reporting = report != this->reports.end() &&
                           aNow - report->second.probedAt <= this->maxReportAge;
    ++vmCount;
    healthyVms += reporting && !this->leaving.contains(vm.id) ? 1 : 0;
  }
  const double length = ToSeconds(aInterval);
  return FleetTime{ .downtime =
                      length * std::max(0, declaredMembers - servingMembers),
                    .stranded =
                      length * std::max(0, healthyVms - servingMembers),
                    .total = length * vmCount };
}

} // namespace apricottrack
