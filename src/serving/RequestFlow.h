#ifndef APRICOTTRACK_SERVING_REQUESTFLOW_H
#define APRICOTTRACK_SERVING_REQUESTFLOW_H

#include "http/HttpServer.h"
#include "serving/EventSplitter.h"
#include "serving/Intake.h"
#include "serving/Refusals.h"
#include "serving/RetryRules.h"
#include "serving/ServingContext.h"
#include "serving/TargetCall.h"

#include <memory>
#include <set>
#include <string>

namespace apricottrack {

/// Serves one caller's request: admission, choice of a target, retries, and the
/// response.
class RequestFlow
{
public:
  RequestFlow(ServingContext& aContext, HttpExchange& aExchange);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  Task<void> Serve();

  /// Cancels the call to a stalled target, or one in a broken replica, so that
  /// the request is retried elsewhere. Has no effect if no other target may run
  /// it or has capacity.
  void AbandonTarget();

  /// Cancels the call if a part of the prompt is in quarantine.
  void CancelIfQuarantined();

  /// ReplicaKey of the replica that runs the request; empty for a target of a
  /// service without replicas, and between two calls.
  const std::string& Replica() const { return this->replica; }

private:
  /// Calls one target after another until the request has ended.
  Task<void> Run();
  /// Key that demand is counted under: the model or, without one, the service.
  const std::string& DemandKey() const;
  PlacementChoice ChooseTarget(Instant aNow) const;
  Task<CallEnd> CallTarget(const Candidate& aTarget);
  Task<CallEnd> HandleResponse(TargetCall& aCall, const HttpResponse& aHead);
  Task<CallEnd> RelayEvents(TargetCall& aCall, const HttpResponse& aHead);
  /// Buffers a response that is not a stream, so that a failure can still be
  /// retried.
  Task<CallEnd> BufferResponse(TargetCall& aCall,
                               const HttpResponse& aHead,
                               const TargetHead& aTargetHead);
  /// Classifies a failed call by how far it got.
  CallEnd ClassifyFailure(const TargetCall& aCall, const Error& aError);
  /// Records whether the call was answered or lost with its target.
  void RecordForAttribution(CallEnd aEnd);
  NextStep DecideNextStep(CallEnd aEnd);
  /// Sends the final response, or closes the connection if the caller is gone.
  Task<void> Finish(NextStep aStep);
  /// Ends a request that has a prompt part in quarantine for `aRemaining`.
  Task<void> EndQuarantined(Duration aRemaining);
  /// Sends an error response; if a stream has started, closes the connection
  /// instead.
  Task<void> Refuse(unsigned aStatus, std::string_view aReason);
  Task<void> RefuseAtIntake(IntakeRefusal aRefusal);
  /// Logs the end of a call, unless that is kAnswered, and what follows it.
  void LogCall(const Candidate& aTarget, CallEnd aEnd, NextStep aNext) const;
  /// Logs and counts the end of the request.
  void LogEnd(std::string_view aOutcome, unsigned aStatus);
  /// This node's share of the retry budget of the request's service.
  RetryBudget& Budget();
  bool IsStream() const;

  ServingContext& context;
  HttpExchange& exchange;
  Instant arrivedAt;
  CallerHead caller;
  AdmittedRequest admittedRequest;
  EventSplitter eventSplitter;
  CallHistory history;
  /// Targets that were called; not chosen again.
  std::set<std::string> calledTargets;
  /// The call in progress, or null.
  TargetCall* call = nullptr;
  /// A complete response that is not a stream, held until no retry follows.
  std::unique_ptr<HttpResponse> heldResponse;
  Error lastError;
  std::string lastTargetId;
  std::string replica;
  /// Estimated number of requests at the target when it was chosen.
  double estimatedLoad = 0;
  /// From arrival to the first response head of a target.
  Duration firstByteDelay = Duration::zero();
  bool callerDisconnected = false;
  /// The current call was cancelled by AbandonTarget or CancelIfQuarantined.
  bool targetAbandoned = false;
  /// The target closed the connection of the current call before the end of the
  /// response.
  bool connectionLost = false;
  /// Part of the current target's response has arrived.
  bool responseStarted = false;
  /// The head of an event stream has been sent to the caller.
  bool streamStarted = false;
};

} // namespace apricottrack

#endif
