#include "serving/TargetCall.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Smallest timeout of a read or write, used close to the deadline.
constexpr Duration kMinTimeout = milliseconds(1);

/// Discarded responses to earlier requests after which the call fails.
constexpr int kMaxForeignResponses = 3;

/// Maximum body size, in bytes; above that of any response that targets send.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 64 } * 1024 * 1024;

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
TargetCall::TimeLeft() const
{
  return std::max(kMinTimeout,
                  Duration(this->options.deadline - MonotonicNow()));
}

Task<Result<void>>
TargetCall::Connect()
{
  if (this->options.mayReuse) {
    this->connection =
      this->pool.TakeIdleConnection(this->options.address, MonotonicNow());
    this->reusedConnection = this->connection != nullptr;
  }
  if (this->connection == nullptr) {
    auto newConnection =
      co_await this->pool.OpenNewConnection(this->options.address);
    if (!newConnection) {
      co_return tl::unexpected(newConnection.error());
    }
    this->connection = std::move(*newConnection);
  }
  this->connection->AcceptCloseDelimited();
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
    co_await this->connection->Send(this->options.message, this->TimeLeft());
  if (!written) {
    co_return tl::unexpected(written.error());
  }
  co_return co_await this->ReceiveOwnHead();
}

Task<Result<HttpResponse>>
TargetCall::ReceiveOwnHead()
{
  for (int foreignResponses = 0; foreignResponses < kMaxForeignResponses;) {
    auto head =
      co_await this->connection->ReceiveHead(this->TimeLeft(), kMaxBodyBytes);
    if (!head) {
      co_return head;
    }
    if (head->result_int() < kFirstFinalStatus) {
      continue;
    }
    const std::string namedAttemptId = this->protocol.ReadHead(*head).attemptId;
    if (namedAttemptId.empty() || namedAttemptId == this->options.attemptId) {
      co_return head;
    }
    ++foreignResponses;
    const auto discarded = co_await this->ReadBody(kMaxBodyBytes);
    if (!discarded) {
      co_return tl::unexpected(discarded.error());
    }
  }
  co_return Failure(ErrorCode::kBadReply,
                    "target.head",
                    this->options.address,
                    "responses belong to other requests");
}

Task<Result<std::string>>
TargetCall::ReadChunk()
{
  co_return co_await this->connection->ReceiveBodyChunk(this->TimeLeft());
}

Task<Result<std::string>>
TargetCall::ReadBody(std::size_t aLimit)
{
  std::string body;
  for (;;) {
    auto chunk = co_await this->ReadChunk();
    if (!chunk) {
      co_return chunk;
    }
    if (chunk->empty()) {
      co_return body;
    }
    if (body.size() + chunk->size() > aLimit) {
      co_return Failure(ErrorCode::kBadReply,
                        "target.body",
                        this->options.address,
                        "response body is too large");
    }
    body.append(*chunk);
  }
}

void
TargetCall::Finish()
{
  this->pool.ReturnConnection(std::move(this->connection), MonotonicNow());
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
