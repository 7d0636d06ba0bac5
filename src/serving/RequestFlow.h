#ifndef APRICOTTRACK_SERVING_REQUESTFLOW_H
#define APRICOTTRACK_SERVING_REQUESTFLOW_H

#include "http/HttpServer.h"
#include "quarantine/StreamSoundness.h"
#include "serving/EventSplitter.h"
#include "serving/Forwarding.h"
#include "serving/HedgeCall.h"
#include "serving/Intake.h"
#include "serving/Refusals.h"
#include "serving/RetryRules.h"
#include "serving/ServingContext.h"
#include "serving/TargetCall.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace apricottrack {

/// Serves one caller's request: admission, choice of a target, retries, and the
/// response.
class RequestFlow
{
public:
  /// `aForwarded` is set if another node has forwarded the request; it then
  /// states what that node allows.
  RequestFlow(ServingContext& aContext,
              HttpExchange& aExchange,
              std::optional<ForwardedRequest> aForwarded = std::nullopt);
  ~RequestFlow();
  RequestFlow(const RequestFlow&) = delete;
  RequestFlow& operator=(const RequestFlow&) = delete;

  Task<void> Serve();

  /// Why another target is called although the current call has not ended.
  enum class HedgeReason
  {
    /// The target is silent; it may go on.
    kTargetStalled,
    /// The target's replica is about to end.
    kReplicaBroken,
  };

  /// Calls another target as well. Has no effect if no other target may run the
  /// request or has capacity, or if the retry budget is used up.
  void HedgeCurrentCall(HedgeReason aReason);

  /// Ends the call, because the node stops. The caller gets an error response,
  /// or a closed connection if its stream has begun.
  void CancelForStop();

  /// Cancels the call if the prompt is in quarantine, unless its response has
  /// shown it to be sound.
  void CancelIfQuarantined();

  /// ReplicaKey of the replica that runs the request; empty for a target of a
  /// service without replicas, and between two calls.
  const std::string& Replica() const { return this->replica; }

private:
  /// No call is made with less time left before the request's deadline.
  static constexpr Duration kMinCallTime = milliseconds(20);
  /// Reading the catalog takes a few milliseconds, or the timeout of an idle
  /// connection longer.
  static constexpr Duration kMaxConfirmWait = milliseconds(700);
  /// Bounds the search for a target that accepts a hedge.
  static constexpr int kMaxRefusedHedges = 2;
  /// Nodes that a request is forwarded to, one after the other.
  static constexpr int kMaxForwards = 3;

  /// Checks the request against the catalog in force.
  IntakeResult AdmitByCatalog();
  /// Decides on the request by a catalog that is recent enough for the
  /// decision.
  Task<IntakeResult> AdmitVerified();
  /// Calls one target after another until the request has ended.
  Task<void> Run();
  /// Key that demand is counted under: the model or, without one, the service.
  const std::string& DemandKey() const;
  /// The request's deadline, or an earlier end of this node.
  Instant Deadline() const;
  /// False if the response would probably take longer than this node runs.
  bool CanEndBeforeStop(Instant aNow) const;
  /// When this node may send its next request to a target that is limited.
  struct Turn
  {
    std::string target;
    Instant at;

    friend bool operator==(const Turn&, const Turn&) = default;
  };
  struct TargetChoice
  {
    PlacementChoice placement;
    /// The earliest turn at the targets that were left out for their limits.
    std::optional<Turn> nextTurn;
    /// The earliest end of the pauses for which targets were left out;
    /// Instant::max() if those targets leave.
    std::optional<Instant> pauseEnd;
    /// Targets were left out because this node cannot connect to them.
    bool hasUnreachable = false;

    friend bool operator==(const TargetChoice&, const TargetChoice&) = default;
  };
  TargetChoice ChooseTarget(Instant aNow) const;
  /// Returns another node that may reach targets, if this node has found none
  /// that it reaches.
  std::optional<Candidate> ChooseNode(const TargetChoice& aChoice,
                                      Instant aNow) const;
  /// Adds the targets that this node cannot connect to. Returns whether there
  /// are any.
  bool ExcludeUnreachableTargets(const std::vector<Candidate>& aCandidates,
                                 std::set<std::string>& aExcluded) const;
  /// Targets that may run the request in all.
  int MaxTargets() const;
  /// Targets that may still run the request besides those that may have run it
  /// or are running it.
  int TargetsLeft() const;
  /// Counts the request at this node unless it was counted, or is counted at
  /// the node that it is forwarded to.
  void CountArrival();
  /// Headers of a target's response for the caller.
  HttpHeaders ResponseHeaders(const HttpResponse& aHead) const;
  /// Demand at this node and at the others for the targets that may run the
  /// request.
  DemandSplit SplitDemand(Instant aNow) const;
  /// Adds the targets whose limit leaves no turn to this node now, and returns
  /// the earliest turn at these.
  std::optional<Turn> ExcludeTargetsOutOfTurn(
    const std::vector<Candidate>& aCandidates,
    std::set<std::string>& aExcluded,
    Instant aNow) const;
  /// Returns `aExcluded` and the cold targets, at which the request has taken
  /// no turn. They get requests that no other target accepts.
  std::set<std::string> ExcludeColdTargets(
    const std::vector<Candidate>& aCandidates,
    const std::set<std::string>& aExcluded,
    Instant aNow) const;
  /// Adds the targets that have asked for a pause or leave, and returns when
  /// the first of these accepts requests again, or Instant::max().
  std::optional<Instant> ExcludePausedTargets(
    const std::vector<Candidate>& aCandidates,
    std::set<std::string>& aExcluded,
    Instant aNow) const;
  /// Waits for the end of a pause. Returns false without waiting if the
  /// response would be late.
  Task<bool> WaitForPauseEnd(const TargetChoice& aChoice);
  /// Returns when the first target that may serve the request ends its pause,
  /// or Instant::max(); none unless all are paused or leave.
  std::optional<Instant> AllPausedUntil(Instant aNow) const;
  /// Latest time at which a request that waits for a target is sent. Targets
  /// that become available later are left to requests that are in time then.
  Instant LatestSend() const;
  /// Takes the choice's next turn and waits for it. Returns false without
  /// waiting if the response would be late.
  Task<bool> WaitForTurn(const TargetChoice& aChoice);
  /// Ends a request for which no target was chosen.
  Task<void> EndWithoutTarget(const TargetChoice& aChoice);
  /// Returns the targets that must not get the request now.
  std::set<std::string> ExcludedTargets(
    const std::vector<Candidate>& aCandidates,
    Instant aNow) const;
  /// Returns whether a target that may have run the request may continue it.
  bool MayReturn() const;
  /// Waits until a target or a retry may have become available for an
  /// interrupted stream. Returns false without waiting if the stream has waited
  /// for long enough, or cannot continue.
  Task<bool> WaitForContinuation();
  Task<CallEnd> CallTarget(const Candidate& aTarget);
  TargetCall::Options MakeCallOptions(const Candidate& aTarget,
                                      bool aIsRetry,
                                      Instant aNow) const;
  /// Records a request that is about to be sent, by whatever call, and takes a
  /// turn at a target that is limited.
  void RecordSend(const Candidate& aTarget, Instant aNow);
  /// Decodes the head of a response and records what the target says of itself.
  TargetHead RecordHead(const std::string& aTargetId,
                        const TargetCall& aCall,
                        const HttpResponse& aHead,
                        Instant aNow);
  /// Makes this the current call.
  void BeginCall(TargetCall& aCall, const Candidate& aTarget);
  /// Handles the response of the current call and records its end.
  Task<CallEnd> CompleteCall(Result<HttpResponse> aHead);
  /// Records what the end of a call shows of the target's availability.
  void RecordAvailability(const std::string& aTargetId,
                          const TargetCall& aCall,
                          CallEnd aEnd);
  /// Counts a call that has ended among those of the request.
  void CountCall(const std::string& aTargetId,
                 const TargetCall& aCall,
                 CallEnd aEnd);
  /// Returns whether another target may run the request besides the current
  /// one.
  bool MayHedge(Instant aNow) const;
  /// Ends the current call in favour of a hedge that has a usable response.
  /// Replaces one that has failed.
  void OnHedgeHead();
  /// Makes the hedge the current call after that has failed with `aEnd`.
  Task<CallEnd> ContinueWithHedge(CallEnd aEnd);
  /// Records the end of a hedge that has failed while the current call goes on.
  void EndFailedHedge();
  /// Decides between the current call, which has made progress, and its hedge:
  /// cancels one of them. Returns false if the current call was cancelled; its
  /// bytes must then not be passed on, as the hedge resumes before them.
  bool ResolveHedgeOnProgress();
  /// Cancels the hedge, if there is one.
  void CancelHedge();
  Task<CallEnd> HandleResponse(TargetCall& aCall, const HttpResponse& aHead);
  Task<CallEnd> RelayEvents(TargetCall& aCall, const HttpResponse& aHead);
  /// Buffers a response that is not a stream, so that a failure can still be
  /// retried.
  Task<CallEnd> BufferResponse(TargetCall& aCall,
                               const HttpResponse& aHead,
                               const TargetHead& aTargetHead);
  /// Ends the current call, because its response must not be passed on.
  CallEnd RejectResponse(std::string aDetail);
  /// Classifies a failed call by how far it got.
  CallEnd ClassifyFailure(const TargetCall& aCall, const Error& aError) const;
  /// Classifies a failure of the current call and keeps it for the log.
  CallEnd RecordFailure(const TargetCall& aCall, const Error& aError);
  /// Returns whether the target closed the connection before the end of the
  /// response.
  static bool IsConnectionLost(CallEnd aEnd, const Error& aError);
  /// Records the prompt's parts as sound once the response has gone on for long
  /// enough.
  void RecordStreamProgress(Instant aNow);
  /// Records that the request was lost with a target.
  void RecordLoss(const std::string& aTargetId,
                  const TargetCall& aCall,
                  Instant aNow);
  /// Records whether the call was answered or lost with its target.
  void RecordForAttribution(const TargetCall& aCall, CallEnd aEnd);
  /// True if the request has probably crashed targets, so that it should not go
  /// on to another one.
  bool MayCrashTargets() const;
  /// Returns whether the last call may have reached a target. If not, calling
  /// another one adds to no target's load.
  bool HasReachedTarget(CallEnd aEnd) const;
  Task<NextStep> DecideNextStep(CallEnd aEnd);
  /// Sends the final response, or closes the connection if the caller is gone.
  Task<void> Finish(NextStep aStep);
  /// Ends a request that has a prompt part in quarantine for `aRemaining`.
  Task<void> EndQuarantined(Duration aRemaining);
  /// Sends an error response; if a stream has started, closes the connection
  /// instead.
  Task<void> Refuse(unsigned aStatus, std::string_view aReason);
  /// True if another node has forwarded the request and has admitted it by a
  /// newer catalog.
  bool HasOlderCatalogThanSender() const;
  /// Reads the catalog if the version, by which another node has decided on the
  /// request, is newer than the one in force.
  void NoteCatalogVersion(std::int64_t aVersion);
  /// Sends a response that is this node's own.
  Task<void> ReplyOwn(HttpResponse aResponse);
  /// Refuses a request that no target has run, until the first target accepts
  /// requests again if all have asked for a pause.
  Task<void> RefuseNotRun();
  Task<void> RefuseAtIntake(IntakeRefusal aRefusal);
  /// Logs the catalog by which a request is refused, and how recently it was
  /// verified to be the newest.
  void LogCatalog() const;
  /// Logs the end of a call, unless that is kAnswered, and what follows it.
  void LogCall(std::string_view aTargetId,
               CallEnd aEnd,
               std::string_view aNext) const;
  /// Logs and counts the end of the request.
  void LogEnd(std::string_view aOutcome, unsigned aStatus);
  /// This node's share of the retry budget of the request's service.
  RetryBudget& Budget();
  bool IsStream() const;

  ServingContext& context;
  HttpExchange& exchange;
  std::optional<ForwardedRequest> forwarded;
  Instant arrivedAt;
  CallerHead caller;
  AdmittedRequest admittedRequest;
  /// RequestIdentity of the request, once it is admitted.
  std::string identity;
  /// The shared parts of its prompt and its identity, which may crash targets.
  std::vector<std::string> crashKeys;
  EventSplitter eventSplitter;
  CallHistory history;
  /// When the last call of each called target ended; nothing while it goes on.
  std::map<std::string, std::optional<Instant>> calledTargets;
  /// Targets, and nodes that it was forwarded to, that may have started to run
  /// the request.
  std::set<std::string> possibleRunners;
  /// How many targets each node that it was forwarded to may use.
  std::map<std::string, int> grantedTargets;
  /// Targets beyond the first that those nodes may have used.
  int extraRuns = 0;
  /// The request is counted in this node's budget and demand.
  bool isCounted = false;
  /// The call in progress, or null.
  TargetCall* call = nullptr;
  /// The entry of that call in ServingContext::running.
  std::multimap<std::string, RequestFlow*>::iterator runningEntry;
  /// A second call, made because that call is stalled; or null.
  std::shared_ptr<HedgeCall> hedge;
  HedgeReason hedgeReason = HedgeReason::kTargetStalled;
  /// Memory of a response body that is buffered.
  ByteBudget::Reservation heldMemory;
  /// A complete response that is not a stream, held until no retry follows.
  std::unique_ptr<HttpResponse> heldResponse;
  /// The target at which the request has taken a turn; empty without one.
  std::string reservedTarget;
  Error lastError;
  std::string lastTargetId;
  std::string replica;
  /// Estimated number of requests at the target when it was chosen.
  double estimatedLoad = 0;
  /// From arrival to the first response head of a target.
  Duration firstByteDelay = Duration::zero();
  bool callerDisconnected = false;
  /// The current call was cancelled in favour of a hedge, or by
  /// CancelIfQuarantined.
  bool targetAbandoned = false;
  /// The target closed the connection of the last call before the end of the
  /// response.
  bool connectionLost = false;
  /// Part of the current target's response has arrived.
  bool responseStarted = false;
  /// Of the current target's event stream.
  StreamSoundness soundness;
  /// The response of any target so far has shown the prompt to be sound.
  bool everProvenSound = false;
  /// A target has sent a response that must not be passed on.
  bool responseRejected = false;
  /// The head of an event stream has been sent to the caller.
  bool streamStarted = false;
  /// When the started stream was interrupted, if it has not continued since.
  std::optional<Instant> interruptedAt;
};

} // namespace apricottrack

#endif
