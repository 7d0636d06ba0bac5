#ifndef APRICOTTRACK_NODE_NODEVIEW_H
#define APRICOTTRACK_NODE_NODEVIEW_H

#include "apricottrack/Configuration.h"
#include "fleet/ZoneEvacuations.h"
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

/// How far the evacuation of one availability zone is, for the status endpoint.
struct ZoneStatus
{
  std::string zone;
  int vms = 0;
  /// Number of VMs without a recent report, whose requests are not known.
  int unresponsiveVms = 0;
  /// Requests that the other VMs reported last.
  int requests = 0;

  friend bool operator==(const ZoneStatus&, const ZoneStatus&) = default;
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

  /// Applies a reading of the evacuated zones, unless it is older than the one
  /// in force. No target may serve before the first one.
  void SetEvacuatedZones(const ZoneEvacuations::Reading& aReading,
                         Instant aNow);
  bool KnowsEvacuatedZones() const { return this->knowsEvacuatedZones; }

  /// Returns whether a target has a VM in an evacuated zone.
  bool IsEvacuated(const Target& aTarget) const;

  /// Returns the status of every evacuated zone.
  std::vector<ZoneStatus> EvacuatedZoneStatuses(Instant aNow) const;

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

  /// Ids of VMs in evacuated zones.
  const std::set<std::string, std::less<>>& EvacuatedVms() const
  {
    return this->evacuatedVms;
  }

private:
  void AddPlainTargets(const Service& aService,
                       Instant aNow,
                       std::vector<Target>& aTargets) const;
  void AddGroupTargets(const Service& aService,
                       Instant aNow,
                       std::vector<Target>& aTargets) const;
  void UpdateLeavingVms();
  void UpdateEvacuatedVms();
  bool HasRecentReport(const std::string& aVm, Instant aNow) const;
  GateView MakeGateView() const;
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
  ZoneEvacuations evacuations;
  bool knowsEvacuatedZones = false;
  std::set<std::string, std::less<>> evacuatedVms;
  /// Availability zone, keyed by VM id.
  std::map<std::string, std::string, std::less<>> zoneByVm;
};

} // namespace apricottrack

#endif
