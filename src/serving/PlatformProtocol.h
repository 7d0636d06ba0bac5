#ifndef APRICOTTRACK_SERVING_PLATFORMPROTOCOL_H
#define APRICOTTRACK_SERVING_PLATFORMPROTOCOL_H

#include "apricottrack/KeyValueStore.h"
#include "catalog/Catalog.h"
#include "fleet/TargetRecord.h"
#include "http/HttpTypes.h"
#include "replicas/ReplicaOrder.h"
#include "replicas/TargetReport.h"

#include <optional>
#include <string>

namespace apricottrack {

/// What the head of a caller's request says.
struct CallerHead
{
  /// Names this one attempt of the caller's.
  std::string attemptId;
  /// Stands for a client account; empty without one.
  std::string key;
  /// Empty where the request is not for a model.
  std::string model;
  int promptTokens = 0;
  /// The caller's estimate, or the most it allows.
  int outputTokens = 0;
  /// How long the caller will wait; none if it does not say.
  std::optional<Duration> patience;
  /// The caller has the stream up to this event.
  std::optional<std::int64_t> resumeAfter;

  friend bool operator==(const CallerHead&, const CallerHead&) = default;
};

/// What a request tells its target beyond the caller's own words.
struct TargetInstructions
{
  std::string targetId;
  /// Empty for a public route.
  std::string account;
  Duration timeLeft = Duration::zero();
  std::optional<std::int64_t> resumeAfter;
  /// Another target had it before; it goes ahead of new ones.
  bool isRepeat = false;
};

/// Requests at a target, by its own account.
struct TargetLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

/// What the head of a target's answer says.
struct TargetHead
{
  /// Names the request that it answers; empty if it does not say.
  std::string attemptId;
  /// The target promises that it did not run the request and never will.
  bool notRun = false;
  /// Carries the proof that it is a target's own answer.
  bool isSigned = false;
  bool isEventStream = false;
  /// The body is not the target's own bytes.
  bool isEncoded = false;
  std::optional<TargetLoad> load;
  /// Member of the replica that made it refuse; empty if none is named.
  std::string memberAtFault;

  friend bool operator==(const TargetHead&, const TargetHead&) = default;
};

/// Translates between a platform's messages and the product's types. It
/// decides nothing.
class PlatformProtocol
{
public:
  virtual ~PlatformProtocol() = default;

  /// Key of the catalog in the platform's store.
  virtual std::string CatalogKey() const = 0;
  /// Prefix of the targets' entries in the platform's store.
  virtual std::string TargetPrefix() const = 0;
  /// The id in the key of a target's entry.
  virtual std::string TargetIdOf(const std::string& aKey) const = 0;

  virtual Result<Catalog> ReadCatalog(std::string_view aText) const = 0;
  virtual Result<TargetRecord> ReadTarget(const KeyValue& aItem) const = 0;

  virtual CallerHead ReadCaller(const HttpRequest& aRequest) const = 0;
  virtual HttpRequest MakeRequest(
    const HttpRequest& aCallers,
    const TargetInstructions& aInstructions) const = 0;
  virtual TargetHead ReadHead(const HttpResponse& aHead) const = 0;
  /// Headers of a target's answer that go on to the caller.
  virtual HttpHeaders AnswerHeaders(const HttpResponse& aHead) const = 0;

  virtual HttpRequest MakeOrder(const ReplicaOrder& aOrder) const = 0;
  virtual OrderReply ReadOrderReply(const HttpResponse& aReply) const = 0;
  virtual HttpRequest MakeReportRequest(const std::string& aTarget) const = 0;
  virtual Result<TargetReport> ReadReport(const HttpResponse& aReply,
                                          std::string_view aPeer) const = 0;
};

} // namespace apricottrack

#endif
