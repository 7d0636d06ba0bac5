#ifndef APRICOTTRACK_NODE_NODEVIEW_H
#define APRICOTTRACK_NODE_NODEVIEW_H

#include "apricottrack/Configuration.h"
#include "groups/DomainPlan.h"
#include "groups/DrainedVms.h"
#include "groups/GroupGate.h"
#include "groups/Vm.h"
#include "report/BurnLedger.h"
#include "routing/Router.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// A replica group with the gate's verdict on whether it serves, for the status
/// endpoint and the measurement of fleet time.
struct GroupStatus
{
  std::string domain;
  Assignment assignment;
  GateVerdict verdict;
};

/// One node's copy of the VM list, the plans and the targets' reports.
/// Derives from them which targets may serve. Does no I/O.
class NodeView
{
public:
  NodeView(std::unique_ptr<GroupGate> aGate, Duration aMaxReportAge);

  /// Replaces the VM list and removes the reports of VMs not in it.
  void SetVms(VmList aVms);

  /// Replaces a domain's plan, unless `aPlan` has an older epoch.
  void SetPlan(DomainPlan aPlan);
  void RemovePlan(const std::string& aDomain);
  void SetDrainedVms(DrainedVms aVms);

  /// Records a VM's report, unless it answers an earlier probe than the report
  /// that is recorded already.
  void SetReport(const std::string& aVm, MemberReport aReport);

  /// Returns the targets of a service that may accept requests at `aNow`.
  std::vector<Target> TargetsFor(const Service& aService, Instant aNow) const;

  /// Returns the status of every planned group that has members.
  std::vector<GroupStatus> GroupStatuses(Instant aNow) const;

  /// Returns the use of the VMs during an interval, assuming that the state at
  /// `aNow` held throughout it.
  FleetTime MeasureFleetTime(const Configuration& aConfiguration,
                             Duration aInterval,
                             Instant aNow) const;

  const VmList& Vms() const { return this->vms; }
  const DomainPlans& Plans() const { return this->plans; }
  const MemberReports& Reports() const { return this->reports; }

  /// Ids of VMs that are leaving by the platform's list or were drained by an
  /// operator.
  const std::set<std::string, std::less<>>& LeavingVms() const
  {
    return this->leaving;
  }

private:
  void AddPlainTargets(const Service& aService,
                       Instant aNow,
                       std::vector<Target>& aTargets) const;
  void AddGroupTargets(const Service& aService,
                       Instant aNow,
                       std::vector<Target>& aTargets) const;
  void UpdateLeavingVms();
  std::string ZoneOf(const std::string& aVm) const;

  std::unique_ptr<GroupGate> gate;
  /// A VM whose last report is older is no target of a plain service and does
  /// not count as healthy. The gate applies its own limit to group members.
  Duration maxReportAge;
  VmList vms;
  DomainPlans plans;
  MemberReports reports;
  DrainedVms drainedVms;
  std::set<std::string, std::less<>> leaving;
  /// Availability zone, keyed by VM id.
  std::map<std::string, std::string, std::less<>> zoneByVm;
};

} // namespace apricottrack

#endif
