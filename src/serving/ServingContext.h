#ifndef APRICOTTRACK_SERVING_SERVINGCONTEXT_H
#define APRICOTTRACK_SERVING_SERVINGCONTEXT_H

#include "apricottrack/Settings.h"
#include "base/Counters.h"
#include "catalog/CatalogHolder.h"
#include "fleet/Fleet.h"
#include "http/HttpClient.h"
#include "placement/CandidateDirectory.h"
#include "placement/DemandMeter.h"
#include "placement/LoadBook.h"
#include "placement/Placement.h"
#include "placement/StallDetector.h"
#include "retry/RetryBudget.h"
#include "serving/PlatformProtocol.h"
#include "serving/StartGate.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace apricottrack {

class RequestFlow;

/// Assumed until nodes are counted: more than there are in small deployments,
/// so that no node spends more than its part.
inline constexpr int kUnknownNodeCount = 20;

/// What a node believes and shares among its requests; used by one thread.
struct ServingContext
{
  const Settings& settings;
  const PlatformProtocol& protocol;
  boost::asio::any_io_executor executor;
  Counters counters;
  CatalogHolder catalog;
  Fleet fleet;
  CandidateDirectory candidates;
  /// Replicas that the planner found to have lost a member, as NAME/EPOCH.
  std::set<std::string> broken;
  /// Replicas whose members all answer the planner, although the store does
  /// not list all of them.
  std::set<std::string> vouched;
  LoadBook loads;
  StallDetector stalls;
  /// Of this node.
  DemandMeter demand;
  /// Of all nodes together; empty while unknown.
  ModelDemands fleetDemands;
  HttpConnectionPool targetPool;
  StartGate startGate;
  std::map<std::string, RetryBudget> retryBudgets;
  /// Requests that run now, by the target that runs them.
  std::multimap<std::string, RequestFlow*> running;
  std::mt19937_64 random;
  /// A planned stop has begun.
  bool draining = false;
  /// Some caller's request has come since the start.
  bool requestsSeen = false;
  int inFlight = 0;
  /// Nodes that share budgets, as far as is known.
  int nodeCount = kUnknownNodeCount;
};

} // namespace apricottrack

#endif
