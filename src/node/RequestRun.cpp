#include "node/RequestRun.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "http/HopByHop.h"
#include "node/NodeForward.h"
#include "node/TargetAttempt.h"
#include "quarantine/RequestIdentity.h"

#include <algorithm>
#include <boost/json.hpp>

namespace apricottrack {

namespace {

/// Maximum wait for the journal to record an intent; the request is then
/// refused as not run.
constexpr Duration kIntentTimeout = seconds(3);
/// Maximum wait for the journal to record an end; the response is then sent
/// before the end is recorded.
constexpr Duration kEndTimeout = milliseconds(500);
/// Maximum size of a response body that is recorded in the journal, to be
/// replayed to a caller that retries.
constexpr std::size_t kMaxRecordedBodyBytes = 2048;

/// True if the text can be stored as JSON, which requires valid UTF-8.
bool
IsJsonSafe(const std::string& aText)
{
  boost::system::error_code error;
  boost::json::parse(boost::json::serialize(boost::json::value(aText)), error);
  return !error;
}

} // namespace

RequestRun::RequestRun(NodeContext& aContext, HttpExchange& aExchange)
  : context(aContext)
  , exchange(aExchange)
  , arrivedAt(MonotonicNow())
  , relay(aExchange, RequestIdOf(aExchange.Request()))
{
  this->spec.requestId = this->relay.RequestId();
}

Task<void>
RequestRun::Serve()
{
  ++this->context.requestsInFlight;
  if (co_await this->TryForward()) {
    --this->context.requestsInFlight;
    co_return;
  }
  RequestResult result;
  result.refusal = co_await this->ParseByNewestConfiguration();
  if (!result.refusal) {
    result.refusal = co_await this->Admit();
  }
  if (!result.refusal) {
    result = co_await this->Execute();
  } else if (this->limitCharged && !this->spec.idempotent &&
             this->QuarantineRefusal()) {
    result = co_await this->RefuseAfterJournal(*result.refusal);
  }
  co_await this->SendResponse(result);
  this->ReconcileCharge(result);
  this->RecordMetrics(result);
  --this->context.requestsInFlight;
}

bool
RequestRun::HearsNoTarget(std::string_view aService) const
{
  const auto found = this->context.dispatchers.find(aService);
  return found != this->context.dispatchers.end() &&
         found->second->TargetRouter().TargetCount() == 0;
}

Task<bool>
RequestRun::TryForward()
{
  const HttpRequest& request = this->exchange.Request();
  const bool mayForward =
    !NodeForward::IsForwarded(request) &&
    std::any_of(
      this->context.dispatchers.begin(),
      this->context.dispatchers.end(),
      [this](const auto& aEntry) { return this->HearsNoTarget(aEntry.first); });
  if (!mayForward) {
    co_return false;
  }
  const auto read = ReadRequest(request,
                                this->context.configuration.Current(),
                                this->spec.requestId,
                                this->arrivedAt);
  if (!read || !this->HearsNoTarget(read->service->name)) {
    co_return false;
  }
  NodeForward forward(this->context, this->exchange, *read);
  const auto outcome = co_await forward.Run();
  co_return outcome.has_value();
}

std::optional<Refusal>
RequestRun::ParseAndCharge()
{
  auto read = ReadRequest(this->exchange.Request(),
                          this->context.configuration.Current(),
                          this->spec.requestId,
                          this->arrivedAt);
  if (!read) {
    return read.error();
  }
  this->spec = std::move(*read);
  this->identity =
    HostlessRequestIdentity(this->exchange.Request(), this->spec.account->name);
  this->crashKeys = { this->identity };
  const auto wait = this->context.limiter.Admit(
    *this->spec.account, this->spec.estimatedTokens, this->arrivedAt);
  if (wait) {
    return MakeNotRunRefusal(
      429, "account_limit", "the account's rate limit is exceeded", *wait);
  }
  this->limitCharged = true;
  return std::nullopt;
}

Task<std::optional<Refusal>>
RequestRun::Admit()
{
  const auto found = this->context.dispatchers.find(this->spec.service->name);
  if (found == this->context.dispatchers.end()) {
    co_return MakeNotRunRefusal(503,
                                "no_target",
                                "this node has not initialized the service yet",
                                seconds(1));
  }
  this->dispatcher = found->second.get();
  if (auto refusal = this->QuarantineRefusal()) {
    co_return refusal;
  }
  if (NodeForward::IsForwarded(this->exchange.Request()) &&
      this->HearsNoTarget(this->spec.service->name)) {
    // Another node may have targets.
    co_return MakeNotRunRefusal(
      503, "no_target", "the service has no target", seconds(2));
  }
  Ticket ticket;
  ticket.crashKeys = this->crashKeys;
  ticket.account = this->spec.account->name;
  ticket.weight = this->spec.account->weight;
  ticket.priority = this->spec.kind->priority;
  ticket.deadline = this->spec.deadline;
  co_return co_await this->dispatcher->Admit(std::move(ticket));
}

Task<RequestRun::RequestResult>
RequestRun::Execute()
{
  if (!this->exchange.IsCallerConnected()) {
    this->dispatcher->CancelAdmission();
    co_return RequestResult{
      .outcome = Outcome::kNotRun,
      .refusal = MakeNotRunRefusal(
        499, "caller_gone", "the caller closed the connection")
    };
  }
  if (!this->spec.idempotent) {
    const auto intentResult = co_await this->RecordIntent();
    if (intentResult) {
      this->dispatcher->CancelAdmission();
      co_return *intentResult;
    }
  }
  this->dispatcher->StartRequest();
  RequestResult result =
    RequestResult{ .outcome = Outcome::kNotRun,
                   .refusal = MakeNotRunRefusal(
                     504,
                     "deadline_exceeded",
                     "the deadline passed before the request started") };
  if (MonotonicNow() < this->spec.deadline) {
    result = co_await this->RunAttempts();
  }
  if (!this->spec.idempotent) {
    co_await this->RecordEnd(result);
  }
  co_return result;
}

JournalTask&
RequestRun::Journal()
{
  auto& journals = this->context.journals;
  return *journals[StableHash(this->journalKey) % journals.size()];
}

Task<std::optional<RequestRun::RequestResult>>
RequestRun::RecordIntent()
{
  const std::string fingerprint = RequestFingerprint(this->exchange.Request());
  this->nonce = RandomId();
  this->journalKey = JournalKey(this->spec, fingerprint);
  JournalIntent intent{ .key = this->journalKey,
                        .nonce = this->nonce,
                        .fingerprint = fingerprint,
                        .requestId = this->spec.requestId,
                        .account = this->spec.account->name,
                        .service = this->spec.service->name,
                        .kind = this->spec.kind->name,
                        .node = this->context.settings.node,
                        .at = WallNow() };
  const Instant deadline =
    std::min(this->spec.deadline, MonotonicNow() + kIntentTimeout);
  const JournalResolution resolution =
    co_await this->Journal().AppendIntent(std::move(intent), deadline);
  switch (resolution.verdict) {
    case IntentVerdict::kRun:
      break;
    case IntentVerdict::kDuplicate:
      co_return this->HandleDuplicate(*resolution.entry);
    case IntentVerdict::kKeyReused:
      co_return RequestResult{ .outcome = Outcome::kNotRun,
                               .refusal = MakeNotRunRefusal(
                                 422,
                                 "idempotency_key_reused",
                                 "the key was used for a different request") };
    case IntentVerdict::kUnavailable:
      co_return RequestResult{ .outcome = Outcome::kNotRun,
                               .refusal = MakeNotRunRefusal(
                                 503,
                                 "journal_unavailable",
                                 "the request could not be recorded, "
                                 "so it was not run",
                                 seconds(2)) };
  }
  co_return std::nullopt;
}

RequestRun::RequestResult
RequestRun::HandleDuplicate(const JournalEntry& aEntry)
{
  this->isDuplicate = true;
  if (!aEntry.end) {
    return RequestResult{ .outcome = Outcome::kUnknown,
                          .refusal = Refusal{
                            .status = 409,
                            .code = "attempt_open",
                            .outcome = Outcome::kUnknown,
                            .message =
                              "an earlier attempt with this key is running "
                              "or its outcome is unknown",
                            .retryAfter = seconds(2) } };
  }
  const JournalEnd& end = *aEntry.end;
  const Outcome outcome = ProvenOutcome(end);
  const bool answered = outcome == Outcome::kAnswered;
  if (answered && end.bodyIsStored) {
    this->relay.SetReplayedResponse(
      static_cast<unsigned>(end.status), end.contentType, end.body);
    return RequestResult{ .outcome = outcome, .refusal = std::nullopt };
  }
  return RequestResult{
    .outcome = outcome,
    .refusal =
      Refusal{ .status = 409,
               .code = answered ? "already_answered" : "outcome_unknown",
               .outcome = outcome,
               .message = "an earlier attempt with this key has ended; "
                          "it is not run again",
               .retryAfter = std::nullopt }
  };
}

Task<void>
RequestRun::RecordEnd(const RequestResult& aResult)
{
  JournalEnd end;
  end.key = this->journalKey;
  end.nonce = this->nonce;
  end.outcome = aResult.outcome;
  end.target = this->lastTargetId;
  end.at = WallNow();
  const HttpResponse& response = this->relay.Response();
  if (aResult.outcome == Outcome::kAnswered) {
    end.status = static_cast<int>(response.result_int());
    end.bodyIsStored = !this->relay.StreamStarted() &&
                       response.body().size() <= kMaxRecordedBodyBytes &&
                       IsJsonSafe(response.body());
  }
  if (end.bodyIsStored) {
    end.contentType =
      std::string(response[boost::beast::http::field::content_type]);
    end.body = response.body();
  }
  const bool written =
    co_await this->Journal().AppendEnd(std::move(end), kEndTimeout);
  if (!written) {
    this->context.counters.Add("journal_end_late_total");
  }
}

Task<RequestRun::RequestResult>
RequestRun::RunAttempts()
{
  for (;;) {
    if (auto refusal = this->QuarantineRefusal()) {
      const Outcome outcome = refusal->outcome;
      co_return RequestResult{ .outcome = outcome,
                               .refusal = std::move(refusal) };
    }
    const RouteKey key{ .prefix = this->spec.prefixHash };
    const auto target =
      this->dispatcher->Choose(key, this->triedTargetIds, MonotonicNow());
    if (!target) {
      if (auto refusal = this->PauseRefusal()) {
        co_return RequestResult{ .outcome = Outcome::kNotRun,
                                 .refusal = std::move(refusal) };
      }
      co_return RequestResult{
        .outcome = this->mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun,
        .refusal = Refusal{ .status = this->mayHaveRun ? 502U : 503U,
                            .code = "no_target",
                            .outcome = this->mayHaveRun ? Outcome::kUnknown
                                                        : Outcome::kNotRun,
                            .message = "no target has a free slot",
                            .retryAfter = seconds(1) }
      };
    }
    ++this->attempts;
    const AttemptEnd end = co_await this->RunAttempt(*target);
    const RetryState retryState{
      .end = end,
      .idempotent = this->spec.idempotent,
      .attempts = this->attempts,
      .maxAttempts = this->spec.service->maxAttempts,
      .mayHaveRun = this->mayHaveRun,
      .mayCrashTargets = this->MayCrashTargets(),
      .streamStarted = this->relay.StreamStarted(),
      .canResume = this->spec.service->resumesStreams,
      .deadline = this->spec.deadline,
    };
    this->mayHaveRun = this->mayHaveRun || !ProvesNotRun(end);
    const RetryDecision decision = this->context.retryPolicy->Decide(
      retryState, this->dispatcher->Budget(), MonotonicNow());
    if (decision.action == RetryAction::kDone ||
        decision.action == RetryAction::kGiveUp) {
      co_return this->ResultAfter(decision, end);
    }
    this->relay.DiscardIncomplete();
  }
}

RequestRun::RequestResult
RequestRun::ResultAfter(const RetryDecision& aDecision, AttemptEnd aEnd) const
{
  if (aDecision.action == RetryAction::kDone) {
    return RequestResult{ .outcome = Outcome::kAnswered,
                          .refusal = std::nullopt };
  }
  if (aDecision.outcome == Outcome::kNotRun) {
    if (auto refusal = this->PauseRefusal()) {
      return RequestResult{ .outcome = Outcome::kNotRun,
                            .refusal = std::move(refusal) };
    }
  }
  const bool deadlinePassed = MonotonicNow() >= this->spec.deadline;
  return RequestResult{ .outcome = aDecision.outcome,
                        .refusal = Refusal{
                          .status = deadlinePassed ? 504U : 502U,
                          .code = deadlinePassed
                                    ? "deadline_exceeded"
                                    : std::string(AttemptEndName(aEnd)),
                          .outcome = aDecision.outcome,
                          .message = aDecision.outcome == Outcome::kNotRun
                                       ? "no target accepted the request"
                                       : "the target sent no complete response",
                          .retryAfter = seconds(1) } };
}

std::optional<Refusal>
RequestRun::PauseRefusal() const
{
  return this->mayHaveRun ? std::nullopt
                          : this->dispatcher->PauseRefusal(MonotonicNow());
}

HttpRequest
RequestRun::BuildTargetRequest(const Target& aTarget,
                               const std::string& aAttemptId) const
{
  const HttpRequest& original = this->exchange.Request();
  HttpRequest message(original.method(), this->spec.targetPath, 11);
  for (const auto& field : original) {
    if (!IsHopByHop(field.name_string()) &&
        field.name() != boost::beast::http::field::authorization) {
      message.insert(field.name_string(), field.value());
    }
  }
  message.set(boost::beast::http::field::host, aTarget.address);
  message.set("X-Request-Id", aAttemptId);
  message.set("X-Original-Request-Id", this->spec.requestId);
  message.set("X-Client-Account", this->spec.account->name);
  if (!aTarget.group.empty()) {
    message.set("X-Replica-Group", aTarget.group);
    message.set("X-Fencing-Number", std::to_string(aTarget.epoch));
  }
  if (this->relay.StreamStarted()) {
    message.set("X-Resume-From",
                std::to_string(this->relay.RelayedEventCount()));
  }
  message.body() = original.body();
  return message;
}

Task<AttemptEnd>
RequestRun::RunAttempt(const Target& aTarget)
{
  const Service& service = *this->spec.service;
  const std::string attemptId = RandomId();
  this->triedTargetIds.insert(aTarget.id);
  this->lastTargetId = aTarget.id;
  AttemptOptions options{
    .targetId = aTarget.id,
    .address = aTarget.address,
    .message = this->BuildTargetRequest(aTarget, attemptId),
    .attemptId = attemptId,
    .expectsEcho = service.echoesRequestId,
    // Connections are reused only if the echoed id shows to which request a
    // response belongs. A non-idempotent request always gets a new connection,
    // because a reused one may turn out to be closed after the request was
    // sent. A retry gets one too, to rule out that only the reused connection
    // failed; so does a request that may crash its target, as it would be sent
    // twice if a reused connection is lost.
    .mayReuseConnection = service.echoesRequestId && this->spec.idempotent &&
                          this->attempts == 1 && !this->MayCrashTargets(),
    .mayKeepConnection = service.echoesRequestId,
    .firstByteTimeout = service.firstByteTimeout,
    .stallTimeout = service.stallTimeout,
    .deadline = this->spec.deadline,
    .onProgress = [this](Instant aNow) { this->OnStreamProgress(aNow); },
    .isEvacuated =
      [this, &aTarget] { return this->context.view.IsEvacuated(aTarget); },
  };
  this->soundness = {};
  TargetAttempt attempt(this->context.targetPool,
                        this->relay,
                        this->context.targetLimits,
                        this->context.targetPauses,
                        std::move(options));
  const Instant start = MonotonicNow();
  this->dispatcher->OnStart(aTarget, start);
  const AttemptEnd end = co_await attempt.Run();
  const Instant now = MonotonicNow();
  if (attempt.FirstByteDelay() > Duration::zero()) {
    this->dispatcher->OnFirstByte(aTarget, attempt.FirstByteDelay());
    this->firstByteDelay = start + attempt.FirstByteDelay() - this->arrivedAt;
  }
  if (attempt.HasBegunPause()) {
    this->context.counters.Add("target_pauses");
  }
  const bool failed =
    end != AttemptEnd::kAnswered && end != AttemptEnd::kCallerGone;
  this->dispatcher->OnEnd(aTarget, failed, now - start, now);
  this->RecordForAttribution(attempt, end, now);
  if (failed) {
    LogLine("attempt_failed")
      .With("request", this->spec.requestId)
      .With("identity", this->identity)
      .With("target", aTarget.id)
      .With("end", AttemptEndName(end))
      .With(attempt.Failure())
      .Warn();
  }
  this->context.counters.Add(
    "attempts_total",
    { { "service", service.name }, { "end", AttemptEndName(end) } });
  co_return end;
}

} // namespace apricottrack
