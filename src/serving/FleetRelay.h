#ifndef APRICOTTRACK_SERVING_FLEETRELAY_H
#define APRICOTTRACK_SERVING_FLEETRELAY_H

#include "fleet/ForwardingNodes.h"
#include "fleet/RelayBudget.h"
#include "membership/PeerLink.h"
#include "serving/CatalogTask.h"
#include "serving/FleetTask.h"
#include "serving/PlannerTask.h"
#include "serving/QuarantineTask.h"
#include "serving/ServingContext.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>

namespace apricottrack {

/// Answers the queries of other nodes with the fleet state that this node, as
/// the planner, reads from the store, so that store calls do not grow with the
/// number of nodes. Only targets that accept requests are sent, which are few:
/// of a replica just its head.
class FleetRelay
{
public:
  FleetRelay(ServingContext& aContext,
             const CatalogTask& aCatalog,
             const FleetTask& aFleet,
             PlannerTask& aPlanner,
             QuarantineTask& aQuarantine);

  /// Listens on the peer address; fails if it cannot be bound.
  Result<void> Start();

  /// Publishes the fleet after a change of it or of its replicas.
  void OnFleetChange();

  /// Answers the waiting queries, at intervals that grow with the number of
  /// nodes; called after a change of the catalog, the planner or the
  /// quarantine.
  void NotifyWaitingNodes();

private:
  /// Updates `published` from the candidates of this node.
  void Publish(Instant aNow);
  /// True if this node is the planner and `published` holds what it has read
  /// from the store. Publishes that after a takeover, as the fleet may not have
  /// changed since.
  bool MayAnswer(Instant aNow);
  void WakeWaitingQueries();
  Task<void> WakeAfterDelay(Duration aDelay);
  /// Returns the reply to a FleetQuestion or a StallNotice, or none for a
  /// message of another type.
  Task<std::optional<PeerMessage>> HandleMessage(PeerMessage aQuestion);
  /// Records the demand, target loads and crashes that the querying node
  /// reports, then waits for a change or the end of the query's wait, and
  /// returns the answer.
  Task<FleetAnswer> HandleFleetQuestion(FleetQuestion aQuestion);
  /// `aAskedAt`: when the query arrived.
  FleetAnswer BuildAnswer(const FleetQuestion& aQuestion,
                          Instant aAskedAt,
                          Instant aNow);
  /// Records whether the querying node and this one accept forwarded requests,
  /// and chooses the nodes to which this one may forward its own.
  void UpdateForwardingNodes(const FleetQuestion& aQuestion, Instant aNow);
  /// Returns true if this answer may include the catalog document. For one that
  /// is large, or beyond the budget, this starts the interval until the next
  /// such one may be sent.
  bool TryReserveCatalogSend(const FleetQuestion& aQuestion, Instant aNow);
  /// True if the state has changed since the one named in the query, or if this
  /// node is not the planner: then the answer must not wait.
  bool HasChanges(const FleetQuestion& aQuestion, Instant aNow);

  ServingContext& context;
  const CatalogTask& catalog;
  const FleetTask& fleet;
  PlannerTask& planner;
  QuarantineTask& quarantine;
  /// The targets that are sent to other nodes. Its sequence also counts changes
  /// of the broken replicas.
  Fleet published{ Fleet::Options{} };
  std::set<std::string> publishedBroken;
  ForwardingNodes forwardingNodes{ ForwardingNodes::Options{} };
  /// Fencing token under which the fleet was last published.
  std::int64_t publishedFencingToken = 0;
  /// Random id of this process, sent as `source` with each answer; sequence
  /// numbers are valid only within it.
  std::string source;
  std::shared_ptr<PeerServer> server;
  /// Timers of the queries that wait for a change.
  std::set<boost::asio::steady_timer*> waitingQueries;
  /// When waiting queries were last answered because of a change.
  Instant lastWakeAt;
  RelayBudget catalogBudget;
  /// Earliest time at which the next large catalog may be sent.
  Instant nextLargeCatalogAt;
  bool wakeScheduled = false;
};

} // namespace apricottrack

#endif
