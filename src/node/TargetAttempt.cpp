#include "node/TargetAttempt.h"

#include "node/ResponseRelay.h"
#include "retry/RefusalStatus.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Minimum timeout of an operation, also when the deadline has passed.
constexpr Duration kMinTimeout = milliseconds(1);

} // namespace

TargetAttempt::TargetAttempt(HttpConnectionPool& aPool,
                             ResponseRelay& aRelay,
                             TargetLimits& aLimits,
                             TargetPauses& aPauses,
                             AttemptOptions aOptions)
  : pool(aPool)
  , relay(aRelay)
  , limits(aLimits)
  , pauses(aPauses)
  , options(std::move(aOptions))
{
}

Duration
TargetAttempt::BoundByDeadline(Duration aTimeout) const
{
  return std::max(kMinTimeout,
                  std::min(aTimeout, this->options.deadline - MonotonicNow()));
}

Task<AttemptEnd>
TargetAttempt::Run()
{
  bool reused = false;
  if (this->options.mayReuseConnection) {
    this->connection =
      this->pool.TakeIdleConnection(this->options.address, MonotonicNow());
    reused = this->connection != nullptr;
  }
  auto head = co_await this->SendAndReceiveHead();
  if (!head && reused && head.error().code == ErrorCode::kNoReply) {
    // The target closed the idle connection at the moment it was reused.
    this->connection.reset();
    head = co_await this->SendAndReceiveHead();
  }
  if (!head) {
    if (reused && head.error().code == ErrorCode::kTimeout) {
      // The cause of this timeout may affect the other idle connections too.
      this->pool.CloseIdleConnections(this->options.address);
    }
    co_return this->ClassifyFailure(head.error());
  }
  if (this->BelongsToOtherRequest(*head)) {
    this->failure =
      Error{ .code = ErrorCode::kBadReply,
             .step = "target.head",
             .peer = this->options.address,
             .detail = "the response does not echo X-Request-Id" };
    co_return AttemptEnd::kForeignAnswer;
  }
  this->limits.OnResponse(this->options.targetId,
                          ReadRequestLimit((*head)["X-Request-Limit"]),
                          this->sentAt,
                          MonotonicNow());
  this->RecordPause(*head);
  if ((*head)["X-Request-Outcome"] == "not_run") {
    this->failure =
      Error{ .code = ErrorCode::kRefused,
             .step = "target.head",
             .peer = this->options.address,
             .detail = "status " + std::to_string(head->result_int()) };
    co_return AttemptEnd::kRefusedNotRun;
  }
  if (StatesNotRun(head->result_int())) {
    this->failure = Error{ .code = ErrorCode::kRefused,
                           .step = "target.head",
                           .peer = this->options.address,
                           .detail = "no guarantee of not run, status " +
                                     std::to_string(head->result_int()) };
    co_return AttemptEnd::kUnconfirmedRefusal;
  }
  co_return co_await this->RelayResponse(*head);
}

Task<Result<HttpResponse>>
TargetAttempt::SendAndReceiveHead()
{
  if (this->connection == nullptr) {
    auto newConnection =
      co_await this->pool.OpenNewConnection(this->options.address);
    if (!newConnection) {
      co_return tl::unexpected(newConnection.error());
    }
    this->connection = std::move(*newConnection);
  }
  if (this->IsTargetPaused()) {
    // Another request was rejected while this one connected.
    co_return apricottrack::Failure(ErrorCode::kRefused,
                                    "target.pause",
                                    this->options.address,
                                    "the target has asked for a pause");
  }
  if (this->options.isEvacuated()) {
    co_return apricottrack::Failure(ErrorCode::kRefused,
                                    "target.evacuated",
                                    this->options.address,
                                    "the target's zone was evacuated");
  }
  this->mayHaveSent = true;
  this->sentAt = MonotonicNow();
  const auto written = co_await this->connection->Send(
    this->options.message, this->BoundByDeadline(this->options.stallTimeout));
  if (!written) {
    co_return tl::unexpected(written.error());
  }
  auto head = co_await this->connection->ReceiveHead(
    this->BoundByDeadline(this->options.firstByteTimeout),
    this->options.bodyLimit);
  if (head) {
    this->firstByteDelay =
      std::max(Duration(1), Duration(MonotonicNow() - this->sentAt));
  }
  co_return head;
}

bool
TargetAttempt::IsTargetPaused() const
{
  const Instant now = MonotonicNow();
  return this->pauses.EarliestSend(this->options.targetId, now) > now;
}

void
TargetAttempt::RecordPause(const HttpResponse& aHead)
{
  if (aHead.result() != boost::beast::http::status::service_unavailable) {
    return;
  }
  const auto pause =
    ReadPauseRequest(aHead[boost::beast::http::field::retry_after]);
  if (pause) {
    this->hasBegunPause =
      this->pauses.OnPause(this->options.targetId, *pause, MonotonicNow());
  }
}

AttemptEnd
TargetAttempt::ClassifyFailure(const Error& aError)
{
  this->failure = aError;
  if (!this->mayHaveSent) {
    return AttemptEnd::kNotSent;
  }
  this->connectionLost = aError.code != ErrorCode::kTimeout;
  return aError.code == ErrorCode::kBadReply ? AttemptEnd::kTruncated
                                             : AttemptEnd::kNoAnswer;
}

bool
TargetAttempt::BelongsToOtherRequest(const HttpResponse& aHead) const
{
  const auto echo = aHead.find("X-Request-Id");
  if (echo == aHead.end()) {
    return this->options.expectsEcho;
  }
  return this->options.expectsEcho && echo->value() != this->options.attemptId;
}

Task<AttemptEnd>
TargetAttempt::RelayResponse(const HttpResponse& aHead)
{
  bool callerConnected = co_await this->relay.OnHead(aHead);
  while (callerConnected) {
    auto chunk = co_await this->connection->ReceiveBodyChunk(
      this->BoundByDeadline(this->options.stallTimeout));
    if (!chunk) {
      this->failure = chunk.error();
      this->connectionLost = chunk.error().code != ErrorCode::kTimeout;
      co_return AttemptEnd::kTruncated;
    }
    if (chunk->empty()) {
      break;
    }
    this->options.onProgress(MonotonicNow());
    callerConnected = co_await this->relay.OnBodyChunk(std::move(*chunk));
    if (this->relay.IsEventTooLarge()) {
      this->failure = Error{ .code = ErrorCode::kBadReply,
                             .step = "target.body",
                             .peer = this->options.address,
                             .detail = "an event exceeds the size limit" };
      co_return AttemptEnd::kTruncated;
    }
  }
  if (!callerConnected) {
    co_return AttemptEnd::kCallerGone;
  }
  if (!this->relay.IsComplete()) {
    this->failure =
      Error{ .code = ErrorCode::kBadReply,
             .step = "target.body",
             .peer = this->options.address,
             .detail = "the stream ended without a [DONE] event" };
    co_return AttemptEnd::kTruncated;
  }
  if (this->options.mayKeepConnection) {
    this->pool.ReturnConnection(std::move(this->connection), MonotonicNow());
  }
  co_return AttemptEnd::kAnswered;
}

} // namespace apricottrack
