#ifndef APRICOTTRACK_CATALOG_CATALOG_H
#define APRICOTTRACK_CATALOG_CATALOG_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Routes, services and client accounts as an operator declares them in one
/// versioned document.
namespace apricottrack {

/// What a route allows to be repeated.
enum class RouteKind
{
  kIdempotent,
  kNonIdempotent,
  /// A stream of events; repeatable only if it may be resumed.
  kStream,
};

/// One of the services among which a route's requests are split.
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
  /// Begins and ends with a slash; the longest match wins.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  /// A stream may be continued at another target.
  bool resumable = false;
  /// Needs no client account.
  bool isPublic = false;
  /// Longest time that a caller is kept waiting for its whole answer.
  Duration timeout = seconds(30);
  /// Time to the answer, or to a stream's first event.
  Duration latencyObjective = seconds(1);
  /// Longest pause between two events of a stream that is in time.
  Duration eventGapObjective = Duration::zero();
  /// Zero goes first.
  int priority = 0;
  /// Targets to which one request may be sent.
  int maxTargets = 1;
  std::vector<ServiceShare> services;

  /// True if a request may run at more than one target.
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
  /// Share of the replicas before demand is known.
  double share = 1;
  /// Factor on all times of the engine.
  double pace = 1;
  /// From the weight store.
  Duration loadTime = seconds(10);
  /// From weights that are staged on the target's host.
  Duration warmTime = seconds(1);

  friend bool operator==(const ReplicaModel&, const ReplicaModel&) = default;
};

/// How the targets of a service batch and decode.
struct EngineSpec
{
  int batchSlots = 1;
  std::int64_t cacheTokens = 0;
  /// Decode steps between two admissions of prompts.
  int stride = 1;
  Duration step = milliseconds(6);
  /// Added to a step per running request.
  Duration stepPerRequest = Duration::zero();
  /// Added to a step per thousand tokens of context.
  Duration stepPerThousandTokens = Duration::zero();
  double prefillTokensPerSecond = 0;
  /// Added to prefill per million pairs of a token and one before it.
  Duration prefillPerMillionPairs = Duration::zero();
  /// Weight loads that may begin a second, over all targets.
  double loadsPerSecond = 1;
  /// Loads at a time that do not slow each other down.
  int concurrentLoads = 1;
  /// Time for a replica's head to start serving once it is told to.
  Duration openTime = milliseconds(300);
  /// Age of what a target reports about itself.
  Duration reportLag = milliseconds(200);
  std::vector<ReplicaModel> models;

  friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct CatalogService
{
  std::string name;
  std::string healthPath;
  /// Connections that one target accepts from all nodes together.
  int maxConnections = 0;
  /// Present where targets form replicas.
  std::optional<EngineSpec> engine;

  friend bool operator==(const CatalogService&,
                         const CatalogService&) = default;
};

/// Bounds on what a caller may send, and how slowly.
struct CallerLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = std::uint64_t{ 4 } * 1024 * 1024;
  Duration headerTimeout = seconds(3);
  Duration idleTimeout = seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// A client account and the keys that stand for it.
struct CatalogAccount
{
  std::string name;
  std::vector<std::string> keys;
  /// Takes precedence over the route's; zero goes first.
  std::optional<int> priority;

  friend bool operator==(const CatalogAccount&,
                         const CatalogAccount&) = default;
};

struct Catalog
{
  /// Grows with each change, in uneven steps.
  std::int64_t version = 0;
  std::vector<CatalogRoute> routes;
  std::vector<CatalogService> services;
  std::vector<CatalogAccount> accounts;
  CallerLimits limits;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

/// Null where there is no such service.
const CatalogService*
FindService(const Catalog& aCatalog, std::string_view aName);

/// Null where the service has no such model.
const ReplicaModel*
FindModel(const CatalogService& aService, std::string_view aName);

} // namespace apricottrack

#endif
