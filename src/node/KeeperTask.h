#ifndef APRICOTTRACK_NODE_KEEPERTASK_H
#define APRICOTTRACK_NODE_KEEPERTASK_H

#include "apricottrack/KeyValueStore.h"
#include "groups/GroupPlanner.h"
#include "http/HttpClient.h"
#include "node/NodeContext.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace apricottrack {

/// While this node holds the planner's lease: plans the groups, writes the
/// plans by compare-and-swap and gives targets their orders. Two keepers at
/// once are safe: the second write to a plan meets a changed revision.
class KeeperTask
{
public:
  KeeperTask(NodeContext& aContext,
             KeyValueStore& aStore,
             GroupPlanner::Options aOptions,
             std::function<bool(Instant)> aMayPlan);

  void Start();

  /// Revision of a domain's plan as last seen.
  void SetRevision(const std::string& aDomain, Revision aRevision);

private:
  Task<void> Run();
  Task<void> PlanOnce();
  Task<void> Write(DomainPlan aPlan);
  void SendOrders();
  Task<void> SendOrder(Order aOrder);
  PlannerView View(const Configuration& aConfiguration) const;

  NodeContext& context;
  KeyValueStore& store;
  GroupPlanner planner;
  std::function<bool(Instant)> mayPlan;
  HttpConnectionPool pool;
  std::map<std::string, Revision> revisions;
  Instant lastRound;
  Instant observingSince;
  /// VMs with an order on its way.
  std::set<std::string> ordering;
};

} // namespace apricottrack

#endif
