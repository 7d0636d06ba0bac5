#include "serving/TargetCall.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Smallest timeout of a read or write, used close to the deadline.
constexpr Duration kLeastTimeout = milliseconds(1);

/// Discarded responses to earlier requests after which the call fails.
constexpr int kMaxForeignAnswers = 3;

/// Maximum body size, in bytes; above that of any response that targets send.
constexpr std::uint64_t kBodyLimit = std::uint64_t{ 64 } * 1024 * 1024;

constexpr unsigned kFirstFinalStatus = 200;

} // namespace

TargetCall::TargetCall(HttpConnectionPool& aPool,
                       const PlatformProtocol& aProtocol,
                       Options aOptions)
  : pool(aPool)
  , protocol(aProtocol)
  , options(std::move(aOptions))
{
}

Duration
TargetCall::Left() const
{
  return std::max(kLeastTimeout,
                  Duration(this->options.deadline - MonotonicNow()));
}

Task<Result<void>>
TargetCall::Connect()
{
  if (this->options.mayReuse) {
    this->connection =
      this->pool.TakeIdle(this->options.address, MonotonicNow());
    this->reused = this->connection != nullptr;
  }
  if (this->connection == nullptr) {
    auto fresh = co_await this->pool.OpenFresh(this->options.address);
    if (!fresh) {
      co_return tl::unexpected(fresh.error());
    }
    this->connection = std::move(*fresh);
  }
  this->connection->AcceptUnframed();
  co_return Result<void>{};
}

Task<Result<HttpResponse>>
TargetCall::Start()
{
  const auto connected = co_await this->Connect();
  if (!connected) {
    co_return tl::unexpected(connected.error());
  }
  if (this->cancelled) {
    co_return Failure(ErrorCode::kUnreachable,
                      "target.send",
                      this->options.address,
                      "cancelled before the request was sent");
  }
  this->sent = true;
  const auto written =
    co_await this->connection->Send(this->options.message, this->Left());
  if (!written) {
    co_return tl::unexpected(written.error());
  }
  co_return co_await this->ReceiveOwnHead();
}

Task<Result<HttpResponse>>
TargetCall::ReceiveOwnHead()
{
  for (int foreign = 0; foreign < kMaxForeignAnswers;) {
    auto head =
      co_await this->connection->ReceiveHead(this->Left(), kBodyLimit);
    if (!head) {
      co_return head;
    }
    if (head->result_int() < kFirstFinalStatus) {
      continue;
    }
    const std::string named = this->protocol.ReadHead(*head).attemptId;
    if (named.empty() || named == this->options.attemptId) {
      co_return head;
    }
    ++foreign;
    const auto dropped = co_await this->WholeBody(kBodyLimit);
    if (!dropped) {
      co_return tl::unexpected(dropped.error());
    }
  }
  co_return Failure(ErrorCode::kBadReply,
                    "target.head",
                    this->options.address,
                    "responses belong to other requests");
}

Task<Result<std::string>>
TargetCall::NextPiece()
{
  co_return co_await this->connection->ReceivePiece(this->Left());
}

Task<Result<std::string>>
TargetCall::WholeBody(std::size_t aLimit)
{
  std::string body;
  for (;;) {
    auto piece = co_await this->NextPiece();
    if (!piece) {
      co_return piece;
    }
    if (piece->empty()) {
      co_return body;
    }
    if (body.size() + piece->size() > aLimit) {
      co_return Failure(ErrorCode::kBadReply,
                        "target.body",
                        this->options.address,
                        "response body is too large");
    }
    body.append(*piece);
  }
}

void
TargetCall::Finish()
{
  this->pool.GiveBack(std::move(this->connection), MonotonicNow());
}

void
TargetCall::Cancel()
{
  this->cancelled = true;
  if (this->connection != nullptr) {
    this->connection->Close();
  }
}

} // namespace apricottrack
