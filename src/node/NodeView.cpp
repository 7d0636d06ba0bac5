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
  this->UpdateEvacuatedVms();
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
NodeView::SetEvacuatedZones(const ZoneEvacuations::Reading& aReading,
                            Instant aNow)
{
  this->knowsEvacuatedZones = true;
  if (this->evacuations.Apply(aReading, aNow)) {
    this->UpdateEvacuatedVms();
  }
}

void
NodeView::UpdateEvacuatedVms()
{
  this->evacuatedVms.clear();
  for (const Vm& vm : this->vms) {
    if (this->evacuations.IsEvacuated(vm.availabilityZone)) {
      this->evacuatedVms.insert(vm.id);
    }
  }
}

bool
NodeView::IsEvacuated(const Target& aTarget) const
{
  if (this->evacuations.IsEvacuated(aTarget.availabilityZone)) {
    return true;
  }
  for (const auto& [domain, plan] : this->plans) {
    for (const Assignment& assignment : plan.assignments) {
      if (!aTarget.group.empty() && assignment.group == aTarget.group &&
          assignment.epoch == aTarget.epoch) {
        return std::any_of(assignment.members.begin(),
                           assignment.members.end(),
                           [this](const PlannedMember& aMember) {
                             return this->evacuatedVms.contains(aMember.vm);
                           });
      }
    }
  }
  return false;
}

std::vector<ZoneStatus>
NodeView::EvacuatedZoneStatuses(Instant aNow) const
{
  std::vector<ZoneStatus> zones;
  for (const std::string& zone : this->evacuations.Evacuated()) {
    ZoneStatus status{ .zone = zone };
    for (const Vm& vm : this->vms) {
      if (vm.availabilityZone != zone) {
        continue;
      }
      ++status.vms;
      if (this->HasRecentReport(vm.id, aNow)) {
        status.requests += this->reports.find(vm.id)->second.requests;
      } else {
        ++status.unresponsiveVms;
      }
    }
    zones.push_back(std::move(status));
  }
  return zones;
}

bool
NodeView::HasRecentReport(const std::string& aVm, Instant aNow) const
{
  const auto report = this->reports.find(aVm);
  return report != this->reports.end() &&
         aNow - report->second.probedAt <= this->maxReportAge;
}

GateView
NodeView::MakeGateView() const
{
  return GateView{ .reports = this->reports,
                   .leaving = this->leaving,
                   .evacuated = this->evacuatedVms };
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
  if (!this->knowsEvacuatedZones) {
    return targets;
  }
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
    if (vm.role != aService.role || this->leaving.contains(vm.id) ||
        this->evacuatedVms.contains(vm.id) ||
        !this->HasRecentReport(vm.id, aNow)) {
      continue;
    }
    const auto report = this->reports.find(vm.id);
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
  const GateView view = this->MakeGateView();
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
  const GateView view = this->MakeGateView();
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
    ++vmCount;
    const bool mayServe =
      !this->leaving.contains(vm.id) && !this->evacuatedVms.contains(vm.id);
    healthyVms += mayServe && this->HasRecentReport(vm.id, aNow) ? 1 : 0;
  }
  const double length = ToSeconds(aInterval);
  return FleetTime{ .downtime =
                      length * std::max(0, declaredMembers - servingMembers),
                    .stranded =
                      length * std::max(0, healthyVms - servingMembers),
                    .total = length * vmCount };
}

} // namespace apricottrack
