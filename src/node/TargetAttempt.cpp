#include "node/TargetAttempt.h"

#include "node/AnswerRelay.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Minimum timeout of an operation, also when the deadline has passed.
constexpr Duration kLeastTimeout = milliseconds(1);

} // namespace

TargetAttempt::TargetAttempt(HttpConnectionPool& aPool,
                             AnswerRelay& aRelay,
                             AttemptOptions aOptions)
  : pool(aPool)
  , relay(aRelay)
  , options(std::move(aOptions))
{
}

Duration
TargetAttempt::Bounded(Duration aTimeout) const
{
  return std::max(kLeastTimeout,
                  std::min(aTimeout, this->options.deadline - MonotonicNow()));
}

Task<AttemptEnd>
TargetAttempt::Run()
{
  bool reused = false;
  if (this->options.mayReuse) {
    this->connection =
      this->pool.TakeIdle(this->options.address, MonotonicNow());
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
      this->pool.DropIdle(this->options.address);
    }
    co_return this->JudgeFailure(head.error());
  }
  if (this->IsForeign(*head)) {
    this->failure =
      Error{ .code = ErrorCode::kBadReply,
             .step = "target.head",
             .peer = this->options.address,
             .detail = "the response does not echo X-Request-Id" };
    co_return AttemptEnd::kForeignAnswer;
  }
  if ((*head)["X-Request-Outcome"] == "not_run") {
    this->failure =
      Error{ .code = ErrorCode::kRefused,
             .step = "target.head",
             .peer = this->options.address,
             .detail = "status " + std::to_string(head->result_int()) };
    co_return AttemptEnd::kRefusedNotRun;
  }
  co_return co_await this->Relay(*head);
}

Task<Result<HttpResponse>>
TargetAttempt::SendAndReceiveHead()
{
  if (this->connection == nullptr) {
    auto fresh = co_await this->pool.OpenFresh(this->options.address);
    if (!fresh) {
      co_return tl::unexpected(fresh.error());
    }
    this->connection = std::move(*fresh);
  }
  this->sent = true;
  const Instant start = MonotonicNow();
  const auto written = co_await this->connection->Send(
    this->options.message, this->Bounded(this->options.stallTimeout));
  if (!written) {
    co_return tl::unexpected(written.error());
  }
  auto head = co_await this->connection->ReceiveHead(
    this->Bounded(this->options.firstByteTimeout), this->options.bodyLimit);
  if (head) {
    this->firstByte = std::max(Duration(1), Duration(MonotonicNow() - start));
  }
  co_return head;
}

AttemptEnd
TargetAttempt::JudgeFailure(const Error& aError)
{
  this->failure = aError;
  if (!this->sent) {
    return AttemptEnd::kNotSent;
  }
  return aError.code == ErrorCode::kBadReply ? AttemptEnd::kTruncated
                                             : AttemptEnd::kNoAnswer;
}

bool
TargetAttempt::IsForeign(const HttpResponse& aHead) const
{
  const auto echo = aHead.find("X-Request-Id");
  if (echo == aHead.end()) {
    return this->options.expectsEcho;
  }
  return this->options.expectsEcho && echo->value() != this->options.attemptId;
}

Task<AttemptEnd>
TargetAttempt::Relay(const HttpResponse& aHead)
{
  bool present = co_await this->relay.OnHead(aHead);
  while (present) {
    auto piece = co_await this->connection->ReceivePiece(
      this->Bounded(this->options.stallTimeout));
    if (!piece) {
      this->failure = piece.error();
      co_return AttemptEnd::kTruncated;
    }
    if (piece->empty()) {
      break;
    }
    present = co_await this->relay.OnPiece(std::move(*piece));
  }
  if (!present) {
    co_return AttemptEnd::kCallerGone;
  }
  if (!this->relay.IsWhole()) {
    this->failure =
      Error{ .code = ErrorCode::kBadReply,
             .step = "target.body",
             .peer = this->options.address,
             .detail = "the stream ended without a [DONE] event" };
    co_return AttemptEnd::kTruncated;
  }
  if (this->options.mayKeep) {
    this->pool.GiveBack(std::move(this->connection), MonotonicNow());
  }
  co_return AttemptEnd::kAnswered;
}

} // namespace apricottrack
