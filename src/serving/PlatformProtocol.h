#ifndef APRICOTTRACK_SERVING_PLATFORMPROTOCOL_H
#define APRICOTTRACK_SERVING_PLATFORMPROTOCOL_H

#include "apricottrack/KeyValueStore.h"
#include "catalog/Catalog.h"
#include "fleet/TargetRecord.h"
#include "http/HttpTypes.h"
#include "limits/PauseRequest.h"
#include "replicas/ReplicaOrder.h"
#include "replicas/TargetReport.h"

#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// What the product uses from the head of a caller's request.
struct CallerHead
{
  /// Unique to this attempt; the caller chooses it.
  std::string attemptId;
  /// API key of a client account; empty without one.
  std::string key;
  /// Empty if the request is not for a model.
  std::string model;
  int promptTokens = 0;
  /// The caller's estimate, or else the maximum that it allows.
  int outputTokens = 0;
  /// Ids of the parts of the prompt that other requests may share, in order;
  /// without the last part, which is the request's own. Bounded by PromptParts.
  std::vector<std::string> sharedPromptParts;
  /// How long the caller waits for a response; none if not stated.
  std::optional<Duration> requestTimeout;
  /// Id of the last event that the caller already has.
  std::optional<std::int64_t> resumeAfter;

  friend bool operator==(const CallerHead&, const CallerHead&) = default;
};

/// What is added to a caller's request when it is sent to a target.
struct TargetInstructions
{
  std::string targetId;
  /// Empty for a public route.
  std::string account;
  /// Time within which the target has to respond.
  Duration timeLeft = Duration::zero();
  /// Id of the last event that the caller already has.
  std::optional<std::int64_t> resumeAfter;
  /// Rank among the requests that wait at a target; zero is the highest.
  int priority = 0;
  /// The request was sent to another target before; targets run it ahead of new
  /// requests.
  bool isRetry = false;
};

/// Number of requests at a target and of those that it can run concurrently
/// (slots), as reported by it.
struct TargetLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

/// What the product uses from the head of a target's response.
struct TargetHead
{
  /// Attempt that the response belongs to; empty if not stated.
  std::string attemptId;
  /// The target guarantees that it did not run the request and never will.
  bool notRun = false;
  /// The response is signed, which shows that it comes from a target.
  bool isSigned = false;
  bool isEventStream = false;
  /// The body has a content encoding, so it is not the target's own bytes.
  bool isEncoded = false;
  std::optional<TargetLoad> load;
  /// Requests per second that the target accepts from all nodes together, for
  /// as long as its responses say so.
  std::optional<double> requestLimit;
  /// The target has announced that it leaves and wants no more requests.
  bool isLeaving = false;
  /// The target has rejected the request and wants no other one from this node
  /// for some time.
  std::optional<PauseRequest> pause;
  /// Replica member that caused the refusal; empty if none is named.
  std::string memberAtFault;

  friend bool operator==(const TargetHead&, const TargetHead&) = default;
};

/// Translates between a platform's messages and the product's types. Contains
/// no decisions. The Read methods decode and the Make methods encode; none
/// sends or receives.
class PlatformProtocol
{
public:
  virtual ~PlatformProtocol() = default;

  /// Key of the catalog in the platform's store.
  virtual std::string CatalogKey() const = 0;
  /// Key prefix of what the operator writes: the catalog and the evacuated
  /// zones.
  virtual std::string OperatorPrefix() const = 0;
  /// Returns the availability zone that the key requests to evacuate; empty for
  /// any other key.
  virtual std::string EvacuatedZoneOf(const std::string& aKey) const = 0;
  /// Key prefix of the target entries in the platform's store.
  virtual std::string TargetPrefix() const = 0;
  /// Returns the target id in the key of an entry.
  virtual std::string TargetIdOf(const std::string& aKey) const = 0;

  virtual Result<Catalog> ReadCatalog(std::string_view aText) const = 0;
  virtual Result<TargetRecord> ReadTarget(const KeyValue& aItem) const = 0;

  virtual CallerHead ReadCaller(const HttpRequest& aRequest) const = 0;
  virtual HttpRequest MakeRequest(
    const HttpRequest& aCallerRequest,
    const TargetInstructions& aInstructions) const = 0;
  /// The caller's request for another node, which handles it as its own
  /// caller's. Only `timeLeft` and `resumeAfter` are used.
  virtual HttpRequest MakeForwarded(
    const HttpRequest& aCallerRequest,
    const TargetInstructions& aInstructions) const = 0;
  virtual TargetHead ReadHead(const HttpResponse& aHead) const = 0;
  /// Headers of a target's response that are passed on to the caller.
  virtual HttpHeaders ResponseHeaders(const HttpResponse& aHead) const = 0;

  virtual HttpRequest MakeOrder(const ReplicaOrder& aOrder) const = 0;
  virtual OrderReply ReadOrderReply(const HttpResponse& aReply) const = 0;
  virtual HttpRequest MakeReportRequest(const std::string& aTarget) const = 0;
  /// `aAddress`: address of the target, for error messages.
  virtual Result<TargetReport> ReadReport(const HttpResponse& aReply,
                                          std::string_view aAddress) const = 0;
};

} // namespace apricottrack

#endif
