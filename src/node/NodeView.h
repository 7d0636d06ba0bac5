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

/// One replica group and whether it serves, for status and metrics.
struct GroupStatus
{
  std::string domain;
  Assignment assignment;
  GateVerdict verdict;
};

/// What one node knows of VMs, plans and reports, and which targets may
/// serve by it. Holds no socket.
class NodeView
{
public:
  NodeView(std::unique_ptr<GroupGate> aGate, Duration aHeardWithin);

  void SetVms(VmList aVms);
  void SetPlan(DomainPlan aPlan);
  void DropPlan(const std::string& aDomain);
  void SetDrained(DrainedVms aVms);
  void SetReport(const std::string& aVm, MemberReport aReport);

  /// The targets of a service that may take requests now.
  std::vector<Target> TargetsFor(const Service& aService, Instant aNow) const;

  std::vector<GroupStatus> Groups(Instant aNow) const;

  /// Group downtime and stranded VMs over the last interval, in VM-seconds.
  FleetTime MeasureFleet(const Configuration& aConfiguration,
                         Duration aInterval,
                         Instant aNow) const;

  const VmList& Vms() const { return this->vms; }
  const DomainPlans& Plans() const { return this->plans; }
  const MemberReports& Reports() const { return this->reports; }

  /// VMs that the platform's list or an operator calls leaving.
  const std::set<std::string, std::less<>>& Leaving() const
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
  void UpdateLeaving();
  std::string ZoneOf(const std::string& aVm) const;

  std::unique_ptr<GroupGate> gate;
  Duration heardWithin;
  VmList vms;
  DomainPlans plans;
  MemberReports reports;
  DrainedVms drained;
  std::set<std::string, std::less<>> leaving;
  std::map<std::string, std::string, std::less<>> zones;
};

} // namespace apricottrack

#endif
