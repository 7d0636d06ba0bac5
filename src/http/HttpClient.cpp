#include "http/HttpClient.h"

#include "http/Framing.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <netinet/tcp.h>

namespace apricottrack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Maximum size of a part that ReceiveBodyChunk returns.
constexpr std::size_t kChunkBytes = std::size_t{ 16 } * 1024;

/// Maximum number of received bytes that are kept unparsed: the header of a
/// response, of a chunk, or the trailers.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{ 64 } * 1024;

/// The kernel closes a connection with unacknowledged data older than this.
constexpr Duration kUnackedTimeout = seconds(5);
/// Share of the idle time that a peer announces in which its connection is used
/// again. The rest is for the way of the request.
constexpr double kUsedIdleShare = 0.8;

/// Interim (1xx) responses after which a call fails.
constexpr int kMaxInterimResponses = 16;
/// Timeout of a read for which no time is left.
constexpr Duration kMinTimeout = milliseconds(1);

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

/// Idle time before the kernel's first keep-alive probe, and between probes.
constexpr int kKeepAliveSeconds = 2;

void
SetLivenessOptions(tcp::socket& aSocket)
{
  using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  using KeepIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(KeepIdle(kKeepAliveSeconds), ignored);
  aSocket.set_option(KeepInterval(kKeepAliveSeconds), ignored);
  aSocket.set_option(
    UserTimeout(static_cast<int>(
      std::chrono::duration_cast<milliseconds>(kUnackedTimeout).count())),
    ignored);
}

/// A timeout becomes kTimeout, except with kUnreachable, which is kept because
/// it states that nothing was sent.
tl::unexpected<Error>
FailureFromBoost(ErrorCode aCode,
                 std::string_view aStep,
                 std::string_view aPeer,
                 const boost::system::error_code& aError)
{
  const bool timeout = aError == beast::error::timeout;
  auto failure = Failure(
    timeout && aCode != ErrorCode::kUnreachable ? ErrorCode::kTimeout : aCode,
    aStep,
    aPeer,
    aError.message());
  failure.value().timedOut = timeout;
  return failure;
}

} // namespace

struct HttpConnection::State
{
  explicit State(asio::any_io_executor aExecutor)
    : stream(std::move(aExecutor))
  {
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kMaxUnparsedBytes };
  std::optional<http::response_parser<http::buffer_body>> parser;
  /// The last request was a HEAD request, whose response ends with its header.
  bool isHeadRequest = false;
};

HttpConnection::HttpConnection(asio::any_io_executor aExecutor,
                               std::string aAddress)
  : address(std::move(aAddress))
  , state(std::make_unique<State>(std::move(aExecutor)))
{
}

HttpConnection::~HttpConnection() = default;

Task<Result<void>>
HttpConnection::Connect(Duration aTimeout)
{
  const auto endpoint = ParseEndpoint(this->address);
  if (!endpoint) {
    co_return tl::unexpected(endpoint.error());
  }
  this->state->stream.expires_after(aTimeout);
  auto [error] =
    co_await this->state->stream.async_connect(*endpoint, kAsTuple);
  if (error) {
    co_return FailureFromBoost(
      ErrorCode::kUnreachable, "http.connect", this->address, error);
  }
  SetLivenessOptions(this->state->stream.socket());
  co_return Result<void>{};
}

Task<Result<void>>
HttpConnection::Send(HttpRequest aRequest, Duration aTimeout)
{
  if (aRequest.method() == http::verb::trace && !aRequest.body().empty()) {
    // prepare_payload() throws.
    aRequest.content_length(aRequest.body().size());
  } else {
    aRequest.prepare_payload();
  }
  this->state->parser.reset();
  this->state->isHeadRequest = aRequest.method() == http::verb::head;
  this->state->stream.expires_after(aTimeout);
  auto [error, size] =
    co_await http::async_write(this->state->stream, aRequest, kAsTuple);
  if (error) {
    co_return FailureFromBoost(
      ErrorCode::kNoReply, "http.send", this->address, error);
  }
  co_return Result<void>{};
}

Task<Result<HttpResponse>>
HttpConnection::ReceiveHead(Duration aTimeout, std::uint64_t aBodyLimit)
{
  const Instant end = MonotonicNow() + aTimeout;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    // A server that sends without end never lets a read time out.
    auto head = co_await this->ReceiveAnyHead(
      std::max(kMinTimeout, Duration(end - MonotonicNow())), aBodyLimit);
    if (!head) {
      co_return head;
    }
    const unsigned status = head->result_int();
    if (status >= kFirstFinalStatus && status <= kLastStatus) {
      co_return head;
    }
    if (status < kFirstStatus || status > kLastStatus ||
        status == kSwitchingProtocols) {
      co_return Failure(ErrorCode::kBadReply,
                        "http.receive_head",
                        this->address,
                        fmt::format("status {:03} is no response", status));
    }
  }
  co_return Failure(ErrorCode::kBadReply,
                    "http.receive_head",
                    this->address,
                    "too many interim responses");
}

Task<Result<HttpResponse>>
HttpConnection::ReceiveAnyHead(Duration aTimeout, std::uint64_t aBodyLimit)
{
  auto& parser = this->state->parser.emplace();
  parser.body_limit(aBodyLimit);
  // Targets repeat header fields of the request, such as its id.
  parser.header_limit(kMaxUnparsedBytes);
  parser.skip(this->state->isHeadRequest);
  this->state->stream.expires_after(aTimeout);
  auto [error, size] = co_await http::async_read_header(
    this->state->stream, this->state->buffer, parser, kAsTuple);
  if (error) {
    // Errors of the parser's category mean malformed bytes; other errors come
    // from the socket.
    const bool isMalformed =
      error.category() == make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream;
    co_return FailureFromBoost(isMalformed ? ErrorCode::kBadReply
                                           : ErrorCode::kNoReply,
                               "http.receive_head",
                               this->address,
                               error);
  }
  if (const auto ambiguous =
        CheckFraming(parser.get(), parser.get().version())) {
    co_return FailureFromBoost(
      ErrorCode::kBadReply, "http.receive_head", this->address, ambiguous);
  }
  if (parser.need_eof() && !this->acceptsCloseDelimited) {
    co_return Failure(
      ErrorCode::kBadReply,
      "http.receive_head",
      this->address,
      "response has neither a length nor chunked encoding, so a "
      "truncated body cannot be detected");
  }
  HttpResponse head;
  head.base() = parser.get().base();
  co_return head;
}

Task<Result<std::string>>
HttpConnection::ReceiveBodyChunk(Duration aTimeout)
{
  auto& parser = *this->state->parser;
  std::string chunk(kChunkBytes, '\0');
  while (!parser.is_done()) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    this->state->stream.expires_after(aTimeout);
    auto [error, size] = co_await http::async_read_some(
      this->state->stream, this->state->buffer, parser, kAsTuple);
    if (error && error != http::error::need_buffer) {
      co_return FailureFromBoost(
        ErrorCode::kBadReply, "http.receive_body", this->address, error);
    }
    const std::size_t filled = chunk.size() - parser.get().body().size;
    if (filled > 0) {
      chunk.resize(filled);
      co_return chunk;
    }
  }
  co_return std::string{};
}

bool
HttpConnection::IsReusable() const
{
  const auto& parser = this->state->parser;
  return parser && parser->is_done() && parser->get().keep_alive() &&
         this->state->buffer.size() == 0;
}

std::optional<Duration>
HttpConnection::AnnouncedIdleTime() const
{
  static constexpr std::string_view kTimeout = "timeout=";
  // Longer ones have no effect on a pool.
  static constexpr std::int64_t kMaxSeconds = 3600;
  const auto& parser = this->state->parser;
  const std::string_view value =
    parser ? std::string_view(parser->get()[http::field::keep_alive])
           : std::string_view();
  const auto position = value.find(kTimeout);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = value.substr(position + kTimeout.size());
  std::int64_t announced = 0;
  const auto parsed =
    std::from_chars(number.data(), number.data() + number.size(), announced);
  if (parsed.ec != std::errc{} || announced < 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    seconds(std::min(announced, kMaxSeconds)) * kUsedIdleShare);
}

bool
HttpConnection::IsClosedOrHasUnreadBytes()
{
  return PeekReceived(this->state->stream.socket()) != ReceiveState::kNothing;
}

void
HttpConnection::Close()
{
  this->state->stream.close();
}

namespace {

/// Time between two checks for expired idle connections.
constexpr Duration kExpiryCheckInterval = milliseconds(500);

} // namespace

HttpConnectionPool::HttpConnectionPool(asio::any_io_executor aExecutor,
                                       Options aOptions)
  : executor(std::move(aExecutor))
  , options(aOptions)
{
}

void
HttpConnectionPool::CloseExpired(Instant aNow)
{
  if (aNow < this->nextExpiryCheckAt) {
    return;
  }
  this->nextExpiryCheckAt = aNow + kExpiryCheckInterval;
  for (auto it = this->idleConnections.begin();
       it != this->idleConnections.end();) {
    // The oldest connection is the first.
    auto& queue = it->second;
    while (!queue.empty() && aNow > queue.front().expiresAt) {
      queue.pop_front();
    }
    it = queue.empty() ? this->idleConnections.erase(it) : std::next(it);
  }
}

std::unique_ptr<HttpConnection>
HttpConnectionPool::TakeIdleConnection(const std::string& aAddress,
                                       Instant aNow)
{
  this->CloseExpired(aNow);
  const auto found = this->idleConnections.find(aAddress);
  while (found != this->idleConnections.end() && !found->second.empty()) {
    IdleConnection newest = std::move(found->second.back());
    found->second.pop_back();
    if (aNow <= newest.expiresAt &&
        !newest.connection->IsClosedOrHasUnreadBytes()) {
      return std::move(newest.connection);
    }
  }
  return nullptr;
}

Task<Result<std::unique_ptr<HttpConnection>>>
HttpConnectionPool::OpenNewConnection(std::string aAddress)
{
  auto connection =
    std::make_unique<HttpConnection>(this->executor, std::move(aAddress));
  const auto connected =
    co_await connection->Connect(this->options.connectTimeout);
  if (!connected) {
    co_return tl::unexpected(connected.error());
  }
  co_return connection;
}

void
HttpConnectionPool::CloseIdleConnections(const std::string& aAddress)
{
  this->idleConnections.erase(aAddress);
}

void
HttpConnectionPool::ReturnConnection(
  std::unique_ptr<HttpConnection> aConnection,
  Instant aNow)
{
  this->CloseExpired(aNow);
  if (!aConnection->IsReusable() || aConnection->IsClosedOrHasUnreadBytes()) {
    return;
  }
  auto& queue = this->idleConnections[aConnection->Address()];
  if (queue.size() >= this->options.idlePerAddress) {
    queue.pop_front();
  }
  const Duration idleTime =
    std::min(this->options.idleTimeout,
             aConnection->AnnouncedIdleTime().value_or(Duration::max()));
  queue.push_back(IdleConnection{ .connection = std::move(aConnection),
                                  .expiresAt = aNow + idleTime });
}

namespace {

/// `aHeadTimeout` limits the sending and the header separately.
Task<Result<HttpResponse>>
FetchOnConnection(HttpConnection& aConnection,
                  HttpRequest aRequest,
                  FetchLimits aLimits,
                  Duration aHeadTimeout)
{
  auto sent = co_await aConnection.Send(std::move(aRequest), aHeadTimeout);
  if (!sent) {
    co_return tl::unexpected(sent.error());
  }
  auto response =
    co_await aConnection.ReceiveHead(aHeadTimeout, aLimits.bodyBytes);
  while (response) {
    auto chunk = co_await aConnection.ReceiveBodyChunk(aLimits.timeout);
    if (!chunk) {
      co_return tl::unexpected(chunk.error());
    }
    if (chunk->empty()) {
      break;
    }
    response->body().append(*chunk);
  }
  co_return response;
}

} // namespace

Task<std::optional<Result<HttpResponse>>>
FetchOnIdleConnection(HttpConnectionPool& aPool,
                      std::string aAddress,
                      HttpRequest aRequest,
                      FetchLimits aLimits)
{
  aRequest.version(11);
  aRequest.set(http::field::host, aAddress);
  auto connection = aPool.TakeIdleConnection(aAddress, MonotonicNow());
  if (connection == nullptr) {
    co_return std::nullopt;
  }
  auto response = co_await FetchOnConnection(
    *connection,
    std::move(aRequest),
    aLimits,
    aLimits.idleConnectionTimeout.value_or(aLimits.timeout));
  if (response) {
    aPool.ReturnConnection(std::move(connection), MonotonicNow());
  } else if (response.error().code == ErrorCode::kTimeout) {
    // The cause, such as a lost route, probably affects the other idle
    // connections to this address as well.
    aPool.CloseIdleConnections(aAddress);
  }
  co_return response;
}

Task<Result<HttpResponse>>
Fetch(HttpConnectionPool& aPool,
      std::string aAddress,
      HttpRequest aRequest,
      FetchLimits aLimits)
{
  auto response =
    co_await FetchOnIdleConnection(aPool, aAddress, aRequest, aLimits);
  if (response && *response) {
    co_return std::move(*response);
  }
  co_return co_await FetchOnNewConnection(
    aPool, std::move(aAddress), std::move(aRequest), aLimits);
}

Task<Result<HttpResponse>>
FetchOnNewConnection(HttpConnectionPool& aPool,
                     std::string aAddress,
                     HttpRequest aRequest,
                     FetchLimits aLimits)
{
  aRequest.version(11);
  aRequest.set(http::field::host, aAddress);
  auto newConnection = co_await aPool.OpenNewConnection(std::move(aAddress));
  if (!newConnection) {
    co_return tl::unexpected(newConnection.error());
  }
  auto response = co_await FetchOnConnection(
    **newConnection, std::move(aRequest), aLimits, aLimits.timeout);
  if (response) {
    aPool.ReturnConnection(std::move(*newConnection), MonotonicNow());
  }
  co_return response;
}

} // namespace apricottrack
