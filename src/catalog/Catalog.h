#ifndef APRICOTTRACK_CATALOG_CATALOG_H
#define APRICOTTRACK_CATALOG_CATALOG_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Routes, services and client accounts, as declared by the operator in one
/// versioned document.
namespace apricottrack {

/// Determines whether a request of a route may be retried after it may have
/// run.
enum class RouteKind
{
  kIdempotent,
  kNonIdempotent,
  /// A stream of events; may be retried only if the route is resumable.
  kStream,
};

/// A service of a route's traffic split and its weight.
struct ServiceShare
{
  std::string service;
  double weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

struct CatalogRoute
{
  std::string name;
  std::string host;
  /// Path prefix that begins and ends with a slash; the longest match applies.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// An interrupted stream may be continued at another target.
  bool resumable = false;
  /// Requests need no client account.
  bool isPublic = false;
  /// Maximum time until the caller has the complete response.
  Duration timeout = seconds(30);
  /// Objective for the time to the response, or to a stream's first event;
  /// decoded, but not used by nodes.
  Duration latencyObjective = seconds(1);
  /// Objective for the time between two events of a stream; decoded, but not
  /// used by nodes.
  Duration eventGapObjective = Duration::zero();
  /// Rank among requests that wait; zero is the highest.
  int priority = 0;
  /// Maximum number of targets to which one request may be sent.
  int maxTargets = 1;
  std::vector<ServiceShare> services;

  /// True if a request may be run at more than one target.
  bool IsRepeatable() const
  {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }

  friend bool operator==(const CatalogRoute&, const CatalogRoute&) = default;
};

/// A model that replicas of a service run.
struct ReplicaModel
{
  std::string name;
  /// Targets in one replica.
  int size = 1;
  /// Relative share of the replicas, used while demand is unknown.
  double share = 1;
  /// Factor on the engine's computed durations; larger is slower.
  double timeFactor = 1;
  /// Time to load the weights from the weight store.
  Duration loadTime = seconds(10);
  /// Time to load weights that are staged on the target's host.
  Duration warmLoadTime = seconds(1);

  friend bool operator==(const ReplicaModel&, const ReplicaModel&) = default;
};

/// Cost model of a service's engine: how its targets batch, prefill and
/// decode.
struct EngineSpec
{
  /// Maximum number of requests in a batch.
  int batchSlots = 1;
  /// Capacity of the KV cache in tokens; decoded, but not used by nodes.
  std::int64_t cacheTokens = 0;
  /// Decode steps between two admissions of prompts.
  int stride = 1;
  /// Base duration of a decode step.
  Duration step = milliseconds(6);
  /// Added to a step per running request.
  Duration stepPerRequest = Duration::zero();
  /// Added to a step per thousand tokens of context.
  Duration stepPerThousandTokens = Duration::zero();
  double prefillTokensPerSecond = 0;
  /// Added to prefill per million pairs of a prompt token and an earlier one
  /// (the quadratic cost of attention).
  Duration prefillPerMillionPairs = Duration::zero();
  /// Maximum rate of weight load starts over all targets, per second.
  double loadsPerSecond = 1;
  /// Number of concurrent loads that do not slow each other down.
  int concurrentLoads = 1;
  /// Time from the order to open a replica until its head accepts requests.
  Duration openTime = milliseconds(300);
  /// Age of the state in a target's report.
  Duration reportLag = milliseconds(200);
  std::vector<ReplicaModel> models;

  friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

/// A service, which runs on the targets that are registered under its name.
struct CatalogService
{
  std::string name;
  /// Path of the targets' health check; decoded, but not used by nodes.
  std::string healthPath;
  /// Maximum number of connections to one target, from all nodes together;
  /// decoded, but not used by nodes.
  int maxConnections = 0;
  /// How long a target is cold after it has started; zero if never.
  Duration coldTime = Duration::zero();
  /// Requests per second that a cold target accepts from all nodes together;
  /// zero if it accepts as many as a warm one.
  double coldRate = 0;
  /// Present if the service's targets form replicas.
  std::optional<EngineSpec> engine;

  friend bool operator==(const CatalogService&,
                         const CatalogService&) = default;
};

/// Bounds on the size of callers' requests and the time to receive them.
struct CallerLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = std::uint64_t{ 4 } * 1024 * 1024;
  /// Maximum time to receive a whole request from its first byte on.
  Duration headerTimeout = seconds(3);
  /// Maximum time that a connection stays open without a request.
  Duration idleTimeout = seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// A client account and its API keys.
struct CatalogAccount
{
  std::string name;
  std::vector<std::string> keys;
  /// Overrides the route's priority; zero is the highest.
  std::optional<int> priority;

  friend bool operator==(const CatalogAccount&,
                         const CatalogAccount&) = default;
};

/// The operator's document. A node applies one only as a whole.
struct Catalog
{
  /// Increases with each change, not necessarily by one.
  std::int64_t version = 0;
  std::vector<CatalogRoute> routes;
  std::vector<CatalogService> services;
  std::vector<CatalogAccount> accounts;
  CallerLimits limits;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

/// Returns null if there is no such service.
const CatalogService*
FindService(const Catalog& aCatalog, std::string_view aName);

/// Returns the longest timeout of the routes to the service whose requests no
/// other target may continue; zero if there are none.
Duration
LongestUnrepeatableTimeout(const Catalog& aCatalog, std::string_view aService);

/// Returns null if the service has no such model.
const ReplicaModel*
FindModel(const CatalogService& aService, std::string_view aName);

} // namespace apricottrack

#endif
