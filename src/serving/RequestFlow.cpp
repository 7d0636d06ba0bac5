#include "serving/RequestFlow.h"

#include "http/HopByHop.h"
#include "quarantine/RequestIdentity.h"
#include "retry/RefusalStatus.h"

#include <algorithm>

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

/// Subtracted from a target's time, for its response to reach the caller.
constexpr Duration kResponseMargin = milliseconds(8);
/// Reading catalog and targets takes less; callers give up after a second.
constexpr Duration kMaxStartWait = milliseconds(600);
/// Larger responses other than streams fail; small VMs have 160 MB.
constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{ 4 } * 1024 * 1024;

constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kFirstServerError = 500;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

} // namespace

RequestFlow::RequestFlow(ServingContext& aContext,
                         HttpExchange& aExchange,
                         std::optional<ForwardedRequest> aForwarded)
  : context(aContext)
  , exchange(aExchange)
  , forwarded(aForwarded)
  , arrivedAt(MonotonicNow())
  , caller(aContext.protocol.ReadCaller(aExchange.Request()))
  , eventSplitter(this->caller.resumeAfter)
  , heldMemory(aContext.callerMemory)
{
  ++this->context.inFlight;
}

RequestFlow::~RequestFlow()
{
  if (this->call != nullptr || this->hedge != nullptr) {
    // An exception has left the entry of a call behind.
    std::erase_if(this->context.running,
                  [&](const auto& aEntry) { return aEntry.second == this; });
  }
  if (this->hedge != nullptr) {
    this->hedge->Cancel();
  }
  --this->context.inFlight;
}

Task<void>
RequestFlow::Serve()
{
  if (!this->context.startGate.IsOpen()) {
    co_await this->context.startGate.Wait(this->arrivedAt + kMaxStartWait);
  }
  IntakeResult admission = co_await this->AdmitVerified();
  if (admission.refusal != IntakeRefusal::kNone) {
    co_await this->RefuseAtIntake(admission.refusal);
    co_return;
  }
  this->admittedRequest = std::move(admission.request);
  this->identity =
    RequestIdentity(this->exchange.Request(), this->admittedRequest.account);
  this->crashKeys = this->caller.sharedPromptParts;
  this->crashKeys.push_back(this->identity);
  if (this->admittedRequest.service == nullptr) {
    co_await this->Refuse(503, "no_service");
    co_return;
  }
  if (!this->CanEndBeforeStop(MonotonicNow())) {
    co_await this->Refuse(503, "node_stopping");
    co_return;
  }
  if (this->forwarded) {
    this->history.targetLimit = this->forwarded->maxTargets;
  }
  this->exchange.NotifyOnDisconnect([this] {
    this->callerDisconnected = true;
    this->CancelHedge();
    if (this->call != nullptr) {
      this->call->Cancel();
    }
  });
  co_await this->Run();
}

Task<void>
RequestFlow::Run()
{
  for (;;) {
    const Instant now = MonotonicNow();
    if (this->callerDisconnected || now + kMinCallTime >= this->Deadline()) {
      const NextStep step = co_await this->DecideNextStep(CallEnd::kOutOfTime);
      co_await this->Finish(step);
      co_return;
    }
    if (const auto remaining =
          this->context.quarantine.RemainingFor(this->crashKeys, now)) {
      co_await this->EndQuarantined(*remaining);
      co_return;
    }
    const TargetChoice choice = this->ChooseTarget(now);
    const PlacementChoice& placement = choice.placement;
    const auto node = this->ChooseNode(choice, now);
    if (!node) {
      this->CountArrival();
    }
    if (!node && placement.refusal != PlacementRefusal::kNone) {
      if (co_await this->WaitForPauseEnd(choice) ||
          co_await this->WaitForTurn(choice) ||
          co_await this->WaitForContinuation()) {
        continue;
      }
      co_await this->EndWithoutTarget(choice);
      co_return;
    }
    this->estimatedLoad = placement.load;
    CallEnd end = co_await this->CallTarget(node ? *node : placement.target);
    while (this->hedge != nullptr) {
      end = co_await this->ContinueWithHedge(end);
    }
    if (this->streamStarted && !this->interruptedAt) {
      this->interruptedAt = MonotonicNow();
    }
    const NextStep step = co_await this->DecideNextStep(end);
    this->LogCall(this->lastTargetId, end, NextStepName(step));
    if (step != NextStep::kTryElsewhere) {
      co_await this->Finish(step);
      co_return;
    }
  }
}

TargetCall::Options
RequestFlow::MakeCallOptions(const Candidate& aTarget,
                             bool aIsRetry,
                             Instant aNow) const
{
  const TargetInstructions instructions{
    .targetId = aTarget.id,
    .account = this->admittedRequest.account,
    .timeLeft = this->Deadline() - aNow - kResponseMargin,
    .resumeAfter = this->eventSplitter.LastId(),
    .priority = this->admittedRequest.priority,
    .isRetry = aIsRetry,
  };
  if (IsNodeCandidate(aTarget.id)) {
    HttpRequest message = this->context.protocol.MakeForwarded(
      this->exchange.Request(), instructions);
    SetForwarded(
      message,
      { .maxTargets = this->TargetsLeft(),
        .catalogVersion = this->admittedRequest.catalog->Contents().version });
    return { .address = aTarget.address,
             .message = std::move(message),
             .attemptId = this->caller.attemptId,
             .expectsAttemptId = false,
             .mayReuse = this->admittedRequest.route->IsRepeatable(),
             .deadline = this->Deadline() };
  }
  return { .address = aTarget.address,
           .message = this->context.protocol.MakeRequest(
             this->exchange.Request(), instructions),
           .attemptId = this->caller.attemptId,
           // A closed kept connection hides whether the request ran. On one,
           // only the id tells the response from a copy of an earlier one,
           // unless the target has already responded to this request.
           .mayReuse = this->admittedRequest.route->IsRepeatable() &&
                       !this->caller.attemptId.empty() &&
                       !this->calledTargets.contains(aTarget.id),
           .deadline = this->Deadline(),
           .targetStartedAt = aTarget.startedAt };
}

Task<CallEnd>
RequestFlow::CallTarget(const Candidate& aTarget)
{
  const Instant now = MonotonicNow();
  TargetCall newCall(
    this->context.targetPool,
    this->context.protocol,
    this->MakeCallOptions(aTarget, this->history.sendCount > 0, now));
  this->RecordSend(aTarget, now);
  this->BeginCall(newCall, aTarget);
  auto head = co_await newCall.Start();
  co_return co_await this->CompleteCall(std::move(head));
}

TargetHead
RequestFlow::RecordHead(const std::string& aTargetId,
                        const TargetCall& aCall,
                        const HttpResponse& aHead,
                        Instant aNow)
{
  TargetHead head = this->context.protocol.ReadHead(aHead);
  std::string target = aTargetId;
  UnixMillis targetStartedAt = aCall.TargetStartedAt();
  if (IsNodeCandidate(aTargetId)) {
    head.notRun = IsRefusedByNode(aHead);
    head.load.reset();
    this->NoteCatalogVersion(CatalogVersionOf(aHead));
    target = TargetOf(aHead);
    const TargetRecord* const record = this->context.fleet.Find(target);
    if (record == nullptr) {
      return head;
    }
    targetStartedAt = record->startedAt;
  }
  // Bytes that a target has not signed do not prove that a limit has ended.
  if (head.requestLimit || head.isSigned) {
    this->context.limits.OnResponse(
      target, head.requestLimit, aCall.SentAt(), aNow);
  }
  if (head.isLeaving &&
      this->context.pauses.OnLeaving(target, targetStartedAt, aNow)) {
    this->context.counters.Add("targets_leaving");
  }
  if (head.pause && this->context.pauses.OnPause(target, *head.pause, aNow)) {
    this->context.counters.Add("target_pauses");
  }
  return head;
}

void
RequestFlow::BeginCall(TargetCall& aCall, const Candidate& aTarget)
{
  this->call = &aCall;
  this->lastTargetId = aTarget.id;
  this->replica = aTarget.replica;
  this->targetAbandoned = false;
  this->connectionLost = false;
  this->responseStarted = false;
  this->soundness = {};
  this->runningEntry = this->context.running.emplace(aTarget.id, this);
}

Task<CallEnd>
RequestFlow::CompleteCall(Result<HttpResponse> aHead)
{
  TargetCall& current = *this->call;
  const std::string id = this->lastTargetId;
  CallEnd end = CallEnd::kNotSent;
  if (aHead) {
    end = co_await this->HandleResponse(current, *aHead);
  } else {
    end = this->RecordFailure(current, aHead.error());
  }
  this->context.running.erase(this->runningEntry);
  this->context.loads.OnEnded(id);
  this->context.stalls.OnEnded(id, this->responseStarted);
  this->call = nullptr;
  if (!this->targetAbandoned) {
    this->RecordAvailability(id, current, end);
  }
  this->RecordForAttribution(current, end);
  this->CountCall(id, current, end);
  if (end == CallEnd::kAnswered || end == CallEnd::kCallerGone ||
      end == CallEnd::kOutOfTime) {
    this->CancelHedge();
  }
  co_return end;
}

void
RequestFlow::CountCall(const std::string& aTargetId,
                       const TargetCall& aCall,
                       CallEnd aEnd)
{
  const bool mayHaveRun =
    aCall.WasSent() && aEnd != CallEnd::kNotRun && aEnd != CallEnd::kNotSent;
  this->history.sendCount += aCall.WasSent() ? 1 : 0;
  if (mayHaveRun && this->possibleRunners.insert(aTargetId).second) {
    const auto granted = this->grantedTargets.find(aTargetId);
    this->extraRuns +=
      granted == this->grantedTargets.end() ? 0 : granted->second - 1;
  }
  this->history.possibleRunCount =
    static_cast<int>(this->possibleRunners.size()) + this->extraRuns;
  this->calledTargets[aTargetId] = MonotonicNow();
}

Task<CallEnd>
RequestFlow::HandleResponse(TargetCall& aCall, const HttpResponse& aHead)
{
  const Instant now = MonotonicNow();
  const TargetHead targetHead =
    this->RecordHead(this->lastTargetId, aCall, aHead, now);
  if (IsSuccess(aHead.result_int()) && !this->ResolveHedgeOnProgress()) {
    co_return CallEnd::kNoAnswer;
  }
  this->context.stalls.OnProgress(this->lastTargetId, true, now);
  this->responseStarted = true;
  if (this->firstByteDelay == Duration::zero()) {
    this->firstByteDelay = now - this->arrivedAt;
  }
  if (targetHead.load) {
    this->context.loads.OnDirectReport(this->lastTargetId,
                                       targetHead.load->running +
                                         targetHead.load->waiting,
                                       now);
  }
  if (targetHead.notRun) {
    const auto body =
      co_await aCall.ReadBody(kMaxBufferedBodyBytes, this->heldMemory);
    if (body) {
      aCall.Finish();
    }
    this->lastError.detail =
      "not_run status " + std::to_string(aHead.result_int());
    co_return CallEnd::kNotRun;
  }
  const bool success = IsSuccess(aHead.result_int());
  if (success && (!targetHead.isSigned || targetHead.isEncoded)) {
    co_return this->RejectResponse(
      "response is unsigned or has a content encoding");
  }
  // Other statuses of success, such as 204, have no events.
  const bool isHeadRequest =
    this->exchange.Request().method() == http::verb::head;
  if (aHead.result() == http::status::ok && targetHead.isEventStream &&
      this->IsStream() && !isHeadRequest) {
    co_return co_await this->RelayEvents(aCall, aHead);
  }
  if (this->streamStarted) {
    co_return this->RejectResponse("continuation is no event stream, status " +
                                   std::to_string(aHead.result_int()));
  }
  co_return co_await this->BufferResponse(aCall, aHead, targetHead);
}

Task<CallEnd>
RequestFlow::RelayEvents(TargetCall& aCall, const HttpResponse& aHead)
{
  this->eventSplitter.DiscardPartialEvent();
  if (!this->streamStarted) {
    this->streamStarted = true;
    const bool callerConnected = co_await this->exchange.BeginStream(
      aHead.result_int(), this->ResponseHeaders(aHead));
    if (!callerConnected) {
      co_return CallEnd::kCallerGone;
    }
  }
  for (;;) {
    auto chunk = co_await aCall.ReadChunk();
    if (!chunk) {
      co_return this->RecordFailure(aCall, chunk.error());
    }
    if (chunk->empty()) {
      break;
    }
    if (!this->ResolveHedgeOnProgress()) {
      co_return CallEnd::kNoAnswer;
    }
    const Instant now = MonotonicNow();
    this->context.stalls.OnProgress(this->lastTargetId, false, now);
    this->RecordStreamProgress(now);
    std::string events = this->eventSplitter.Append(*chunk);
    if (!events.empty()) {
      this->interruptedAt.reset();
    }
    if (this->eventSplitter.IsEventTooLarge()) {
      co_return this->RejectResponse("an event exceeds the size limit");
    }
    const bool callerConnected =
      co_await this->exchange.WriteChunk(std::move(events));
    if (!callerConnected) {
      co_return CallEnd::kCallerGone;
    }
  }
  if (this->eventSplitter.HasPartialEvent()) {
    this->lastError.detail = "stream ended inside an event";
    co_return CallEnd::kTruncated;
  }
  aCall.Finish();
  co_return CallEnd::kAnswered;
}

Task<CallEnd>
RequestFlow::BufferResponse(TargetCall& aCall,
                            const HttpResponse& aHead,
                            const TargetHead& aTargetHead)
{
  auto body = co_await aCall.ReadBody(kMaxBufferedBodyBytes, this->heldMemory);
  if (!body) {
    this->heldMemory.Release();
    co_return this->RecordFailure(aCall, body.error());
  }
  aCall.Finish();
  if (!aTargetHead.isSigned && aTargetHead.attemptId.empty()) {
    co_return this->RejectResponse(
      "response has neither a signature nor an attempt id");
  }
  const unsigned status = aHead.result_int();
  if (StatesNotRun(status)) {
    this->heldMemory.Release();
    this->context.counters.Add(
      "unconfirmed_refusals",
      { { "service", this->admittedRequest.service->name } });
    this->lastError.detail =
      "no guarantee of not run, status " + std::to_string(status);
    co_return CallEnd::kUnconfirmedRefusal;
  }
  this->heldResponse = std::make_unique<HttpResponse>();
  this->heldResponse->result(status);
  for (const auto& [name, value] : this->ResponseHeaders(aHead)) {
    this->heldResponse->insert(name, value);
  }
  CopyLengthOfHead(this->exchange.Request(), aHead, *this->heldResponse);
  this->heldResponse->body() = std::move(*body);
  co_return status >= kFirstServerError ? CallEnd::kTargetFailed
                                        : CallEnd::kAnswered;
}

CallEnd
RequestFlow::RejectResponse(std::string aDetail)
{
  this->lastError.detail = std::move(aDetail);
  this->responseRejected = true;
  return CallEnd::kTruncated;
}

CallEnd
RequestFlow::RecordFailure(const TargetCall& aCall, const Error& aError)
{
  const CallEnd end = this->ClassifyFailure(aCall, aError);
  this->lastError = aError;
  this->connectionLost = !this->targetAbandoned &&
                         !IsNodeCandidate(this->lastTargetId) &&
                         IsConnectionLost(end, aError);
  return end;
}

CallEnd
RequestFlow::ClassifyFailure(const TargetCall& aCall, const Error& aError) const
{
  if (this->callerDisconnected) {
    return CallEnd::kCallerGone;
  }
  if (!aCall.WasSent()) {
    return CallEnd::kNotSent;
  }
  if (MonotonicNow() + milliseconds(1) >= this->Deadline()) {
    return CallEnd::kOutOfTime;
  }
  return aError.code == ErrorCode::kBadReply ? CallEnd::kTruncated
                                             : CallEnd::kNoAnswer;
}

bool
RequestFlow::IsConnectionLost(CallEnd aEnd, const Error& aError)
{
  return (aEnd == CallEnd::kNoAnswer || aEnd == CallEnd::kTruncated) &&
         aError.code != ErrorCode::kTimeout;
}

bool
RequestFlow::IsStream() const
{
  return this->admittedRequest.route->kind == RouteKind::kStream;
}

} // namespace apricottrack
