#ifndef APRICOTTRACK_SERVING_SERVINGCONTEXT_H
#define APRICOTTRACK_SERVING_SERVINGCONTEXT_H

#include "apricottrack/Settings.h"
#include "base/Counters.h"
#include "catalog/CatalogHolder.h"
#include "fleet/Fleet.h"
#include "fleet/ZoneEvacuations.h"
#include "http/ByteBudget.h"
#include "http/HttpClient.h"
#include "limits/TargetLimits.h"
#include "limits/TargetPauses.h"
#include "placement/CandidateDirectory.h"
#include "placement/DemandMeter.h"
#include "placement/LoadTracker.h"
#include "placement/Placement.h"
#include "placement/StallDetector.h"
#include "placement/TargetReach.h"
#include "quarantine/CrashRecorder.h"
#include "quarantine/PromptQuarantine.h"
#include "retry/RetryBudget.h"
#include "serving/PlatformProtocol.h"
#include "serving/StartGate.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

class RequestFlow;

/// State that the requests and tasks of a node share; used by one thread.
struct ServingContext
{
  const Settings& settings;
  const PlatformProtocol& protocol;
  boost::asio::any_io_executor executor;
  Counters counters;
  CatalogHolder catalog;
  Fleet fleet;
  ZoneEvacuations evacuations{};
  CandidateDirectory candidates;
  /// Replicas that lost a member, as found by the planner: NAME/EPOCH.
  std::set<std::string> broken;
  /// Confirmed replicas, as NAME/EPOCH: all members respond to the planner,
  /// although the store does not list all of them. Sent to nodes as `vouched`.
  std::set<std::string> vouched;
  LoadTracker loads;
  StallDetector stalls;
  TargetReach reach{ TargetReach::Options{} };
  /// Where other nodes accept requests from this one, as IP:port.
  std::vector<std::string> forwardingNodes;
  TargetLimits limits;
  TargetPauses pauses;
  /// Demand at this node.
  DemandMeter demand;
  /// Demand at all nodes together; empty while unknown.
  ModelDemands fleetDemands;
  HttpConnectionPool targetPool;
  /// Memory of the callers' requests and of response bodies that are buffered.
  ByteBudget callerMemory{ ByteBudget::Options{} };
  StartGate startGate;
  std::map<std::string, RetryBudget> retryBudgets;
  /// Requests in progress, by the target that runs them.
  std::multimap<std::string, RequestFlow*> running;
  std::mt19937_64 random;
  /// A graceful stop has begun.
  bool draining = false;
  /// When this node stops accepting connections, because of that stop.
  std::optional<Instant> connectionsEndAt;
  /// When all requests must have ended, because of that stop.
  std::optional<Instant> requestsEndAt;
  /// At least one caller request has arrived since the start.
  bool requestsSeen = false;
  /// Caller requests in progress.
  int inFlight = 0;
  /// Number of nodes that share budgets, as last counted by a planner; none
  /// before the first count.
  std::optional<int> nodeCount;

  /// Returns where this node accepts requests from other nodes; empty while it
  /// reaches no target or stops.
  std::string ForwardAddress() const
  {
    return this->draining || this->reach.IsIsolated()
             ? std::string{}
             : this->settings.serving->forwardListen;
  }

  CrashRecorder crashRecorder{ CrashRecorder::Options{} };
  PromptQuarantine quarantine;
  /// Waits until the catalog has been read from the store, but not after the
  /// given time; returns whether it has.
  std::function<Task<bool>(Instant)> confirmCatalog;
};

} // namespace apricottrack

#endif
