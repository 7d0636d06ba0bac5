#include "serving/TargetCall.h"

#include <algorithm>

namespace apricottrack {

namespace {

/// Smallest timeout of a read or write, used close to the deadline.
constexpr Duration kMinTimeout = milliseconds(1);

/// Discarded responses to earlier requests after which the call fails.
constexpr int kMaxForeignResponses = 3;

/// Maximum body size of a response, in bytes; above that of any response that
/// targets send.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 64 } * 1024 * 1024;

/// Maximum body size of a response to another request that is read to its end.
constexpr std::size_t kMaxForeignBodyBytes = std::size_t{ 1024 } * 1024;

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
      this->connectFailed = true;
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
  this->sentAt = MonotonicNow();
  const auto written =
    co_await this->connection->Send(this->options.message, this->TimeLeft());
  if (!written) {
    co_return tl::unexpected(written.error());
  }
  co_return co_await this->ReceiveOwnHead();
}

std::optional<Error>
TargetCall::DeadlineError(std::string_view aStep) const
{
  if (MonotonicNow() < this->options.deadline + kMinTimeout) {
    return std::nullopt;
  }
  return Error{ .code = ErrorCode::kTimeout,
                .step = std::string(aStep),
                .peer = this->options.address,
                .detail = "the deadline has passed" };
}

bool
TargetCall::IsOwnResponse(const HttpResponse& aHead) const
{
  if (!this->options.expectsAttemptId) {
    return true;
  }
  const std::string attemptId = this->protocol.ReadHead(aHead).attemptId;
  // On a reused connection, a response without an id may be a late copy of the
  // one to the previous request.
  return attemptId == this->options.attemptId ||
         (attemptId.empty() && !this->reusedConnection);
}

Task<Result<HttpResponse>>
TargetCall::ReceiveOwnHead()
{
  int foreignResponses = 0;
  while (foreignResponses < kMaxForeignResponses) {
    // A target that sends without end never lets a read time out.
    if (auto expired = this->DeadlineError("target.head")) {
      co_return tl::unexpected(std::move(*expired));
    }
    auto head =
      co_await this->connection->ReceiveHead(this->TimeLeft(), kMaxBodyBytes);
    if (!head) {
      co_return head;
    }
    if (this->IsOwnResponse(*head)) {
      co_return head;
    }
    ++foreignResponses;
    const auto discarded = co_await this->DiscardBody();
    if (!discarded) {
      co_return tl::unexpected(discarded.error());
    }
  }
  co_return Failure(ErrorCode::kBadReply,
                    "target.head",
                    this->options.address,
                    "too many responses to others");
}

Task<Result<void>>
TargetCall::DiscardBody()
{
  std::size_t size = 0;
  while (size <= kMaxForeignBodyBytes) {
    const auto chunk = co_await this->ReadChunk();
    if (!chunk) {
      co_return tl::unexpected(chunk.error());
    }
    if (chunk->empty()) {
      co_return Result<void>{};
    }
    size += chunk->size();
  }
  co_return Failure(ErrorCode::kBadReply,
                    "target.body",
                    this->options.address,
                    "a response to another request is too large");
}

Task<Result<std::string>>
TargetCall::ReadChunk()
{
  if (auto expired = this->DeadlineError("target.body")) {
    co_return tl::unexpected(std::move(*expired));
  }
  co_return co_await this->connection->ReceiveBodyChunk(this->TimeLeft());
}

Task<Result<std::string>>
TargetCall::ReadBody(std::size_t aLimit, ByteBudget::Reservation& aMemory)
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
    const std::size_t size = body.size() + chunk->size();
    if (size > aLimit || !aMemory.TryGrowTo(size)) {
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
