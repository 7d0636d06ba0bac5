#ifndef APRICOTTRACK_SERVING_FLEETRELAY_H
#define APRICOTTRACK_SERVING_FLEETRELAY_H

#include "membership/PeerLink.h"
#include "serving/CatalogTask.h"
#include "serving/FleetTask.h"
#include "serving/PlannerTask.h"
#include "serving/ServingContext.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>

namespace apricottrack {

/// Tells other nodes what this node, if it plans, hears from the store, so
/// that the store's calls do not grow with the number of nodes.
class FleetRelay
{
public:
  FleetRelay(ServingContext& aContext,
             const CatalogTask& aCatalog,
             const FleetTask& aFleet,
             PlannerTask& aPlanner);

  Result<void> Start();

  /// Something changed that other nodes wait for.
  void Notify();

private:
  void WakeAll();
  Task<void> WakeLater(Duration aPause);
  Task<std::optional<PeerMessage>> Answer(PeerMessage aQuestion);
  Task<FleetAnswer> AnswerFleet(FleetQuestion aQuestion);
  FleetAnswer Compose(const FleetQuestion& aQuestion, Instant aNow);
  /// The catalog may go along with an answer.
  bool MayRelay(const FleetQuestion& aQuestion, Instant aNow);
  bool HasNews(const FleetQuestion& aQuestion) const;

  ServingContext& context;
  const CatalogTask& catalog;
  const FleetTask& fleet;
  PlannerTask& planner;
  std::string source;
  std::shared_ptr<PeerServer> server;
  std::set<boost::asio::steady_timer*> waiting;
  /// When waiting questions were last answered for news.
  Instant wokeAt;
  /// When the next large catalog may be told.
  Instant nextLargeAt;
  bool wakePlanned = false;
};

} // namespace apricottrack

#endif
