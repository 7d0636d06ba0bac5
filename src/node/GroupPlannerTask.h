#ifndef APRICOTTRACK_NODE_GROUPPLANNERTASK_H
#define APRICOTTRACK_NODE_GROUPPLANNERTASK_H

#include "apricottrack/KeyValueStore.h"
#include "groups/GroupPlanner.h"
#include "http/HttpClient.h"
#include "node/NodeContext.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace apricottrack {

/// Plans the replica groups while this node holds the planner's lease: writes
/// the plans by compare-and-swap and sends targets their orders. Two nodes
/// that plan at the same time are safe, because the second write to a plan
/// fails on the changed revision.
class GroupPlannerTask
{
public:
  /// `aMayPlan` returns true while this node holds the planner's lease.
  GroupPlannerTask(NodeContext& aContext,
                   KeyValueStore& aStore,
                   GroupPlanner::Options aOptions,
                   std::function<bool(Instant)> aMayPlan);

  void Start();

  /// Records the latest known revision of a domain's plan; an older one is
  /// ignored.
  void SetPlanRevision(const std::string& aDomain, Revision aRevision);

private:
  Task<void> Run();
  Task<void> PlanOnce();
  Task<void> WritePlan(DomainPlan aPlan);
  void SendOrders();
  Task<void> SendOrder(Order aOrder);
  PlannerView BuildView(const Configuration& aConfiguration) const;

  NodeContext& context;
  KeyValueStore& store;
  GroupPlanner planner;
  std::function<bool(Instant)> mayPlan;
  HttpConnectionPool pool;
  /// Latest known plan revision, keyed by domain.
  std::map<std::string, Revision> planRevisions;
  Instant lastRoundAt;
  /// Start of the current series of rounds without a gap longer than
  /// kMaxRoundGap; see PlannerView.
  Instant observingSince;
  /// VMs with an order request in flight.
  std::set<std::string> vmsWithPendingOrder;
};

} // namespace apricottrack

#endif
