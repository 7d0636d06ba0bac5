#include "http/HttpServer.h"

#include "base/Log.h"
#include "http/ReadDeadline.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace apricottrack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// How long a stopping server waits for the request of a connection that it has
/// just accepted, or whose last response promised to keep it open. Callers that
/// continue a conversation send their next request within this time.
constexpr Duration kLastRequestWait = seconds(1);

/// Maximum number of bytes that are kept unparsed beyond a header: the framing
/// of a chunked body and parts of the body itself.
constexpr std::size_t kMaxUnparsedBodyBytes = std::size_t{ 64 } * 1024;

/// Size of the first read of a request, in bytes.
constexpr std::size_t kFirstReadBytes = 4096;

/// How long, and for how many bytes, what a caller still sends is read and
/// discarded. Closing before would reset the connection, and the caller might
/// not get the response.
constexpr Duration kDiscardTime = seconds(1);
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 4 } * 1024 * 1024;

} // namespace

struct HttpServer::Session
{
  explicit Session(tcp::socket aSocket)
    : stream(std::move(aSocket))
  {
  }

  /// IP:PORT of the caller; 0.0.0.0:0 if the connection has failed.
  std::string Caller() const
  {
    boost::system::error_code ignored;
    const auto endpoint = this->stream.socket().remote_endpoint(ignored);
    return fmt::format(
      "{}:{}", endpoint.address().to_string(), endpoint.port());
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  /// True while a request is being handled or partly received.
  bool busy = false;
  /// True if the caller may expect that a further request is served.
  bool keptOpen = false;
  /// True if the caller has closed the connection.
  bool isClosedByCaller = false;
  /// When the wait for the next request began.
  Instant idleSince;
  /// No byte of the next request has been read yet.
  bool isAwaitingRequest = false;
  /// HttpExchange::AnnouncedIdleTimeout of the last response.
  Duration announcedIdleTimeout = Duration::zero();
  /// Requests that were received completely.
  std::int64_t requestCount = 0;
  /// True if a request was rejected that its caller may still be sending.
  bool isRejected = false;
};

HttpServer::HttpServer(asio::any_io_executor aExecutor, Options aOptions)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , acceptor(this->executor)
  , lastRequestWait(kLastRequestWait)
{
}

Result<std::shared_ptr<HttpServer>>
HttpServer::Make(asio::any_io_executor aExecutor, Options aOptions)
{
  const auto endpoint = ParseEndpoint(aOptions.address);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  std::shared_ptr<HttpServer> server(
    new HttpServer(std::move(aExecutor), std::move(aOptions)));
  const auto bound = Bind(server->acceptor, *endpoint, "http.listen");
  if (!bound) {
    return tl::unexpected(bound.error());
  }
  asio::co_spawn(
    server->executor,
    [server]() -> Task<void> { co_await server->AcceptConnections(); },
    asio::detached);
  return server;
}

void
HttpServer::Stop()
{
  this->stopping = true;
  this->closeAfterResponse = true;
  this->AcceptQueuedConnections();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->CancelIdleReads();
}

void
HttpServer::CloseIdleConnections()
{
  this->lastRequestWait = Duration::zero();
  this->CancelIdleReads();
}

void
HttpServer::CancelIdleReads()
{
  boost::system::error_code ignored;
  for (const auto& session : this->sessions) {
    if (!session->busy && session->stream.socket().available(ignored) == 0) {
      session->stream.cancel();
    }
  }
}

Task<void>
HttpServer::WaitForConnections(Instant aUntil)
{
  static constexpr Duration kCheckInterval = milliseconds(20);
  asio::steady_timer timer(this->executor);
  while (!this->sessions.empty() && MonotonicNow() < aUntil) {
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(kAsTuple);
  }
}

void
HttpServer::AcceptQueuedConnections()
{
  // Closing the listener would reset them, although their requests may already
  // have been sent.
  boost::system::error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(this->executor);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->StartSession(std::move(socket));
    }
  }
}

void
HttpServer::StartSession(tcp::socket aSocket)
{
  if (this->sessions.size() >= this->options.limits.connections) {
    ++this->counts.overLimit;
    return;
  }
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(std::move(aSocket));
  // A connection that was just accepted may have a request on the way.
  session->busy = this->stopping;
  this->sessions.insert(session);
  asio::co_spawn(
    this->executor,
    [self = this->shared_from_this(), session]() -> Task<void> {
      co_await self->ServeConnection(session);
      self->sessions.erase(session);
    },
    asio::detached);
}

void
HttpServer::LogCounts() const
{
  LogLine("caller_connections")
    .With("open", static_cast<std::int64_t>(this->sessions.size()))
    .With("over_limit", this->counts.overLimit)
    .With("closed_without_notice", this->counts.closedWithoutNotice)
    .With("closed_with_request", this->counts.closedWithRequest)
    .With("failed_requests", this->counts.failedRequests)
    .With("failed_responses", this->counts.failedResponses)
    .Info();
}

void
HttpServer::ExportCounts(Counters& aCounters) const
{
  const std::pair<std::string_view, std::int64_t> metrics[] = {
    { "connections_over_limit", this->counts.overLimit },
    { "idle_connections_closed", this->counts.closedWithoutNotice },
    { "idle_connections_closed_with_request", this->counts.closedWithRequest },
    { "requests_not_received", this->counts.failedRequests },
    { "responses_not_written", this->counts.failedResponses },
  };
  for (const auto& [name, count] : metrics) {
    aCounters.Set(name, {}, static_cast<double>(count));
  }
}

Task<void>
HttpServer::AcceptConnections()
{
  while (!this->stopping) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAsTuple);
    if (error) {
      if (this->stopping) {
        co_return;
      }
      // Accepting fails while the process has too many open files, for example.
      // The pause avoids a busy loop.
      asio::steady_timer retryTimer(this->executor, milliseconds(20));
      co_await retryTimer.async_wait(kAsTuple);
      continue;
    }
    this->StartSession(std::move(socket));
  }
}

Task<void>
HttpServer::ServeConnection(std::shared_ptr<Session> aSession)
{
  // GCC 12 corrupts the frame of a loop whose condition alone awaits.
  bool mayFollow = true;
  while (mayFollow) {
    mayFollow = co_await this->ServeRequest(*aSession);
    aSession->busy = false;
  }
  this->RecordClose(*aSession);
  boost::system::error_code ignored;
  tcp::socket& socket = aSession->stream.socket();
  if (aSession->isRejected ||
      (!aSession->isAwaitingRequest && socket.available(ignored) > 0)) {
    // Closing with unread bytes would reset the connection, and the caller
    // might not get the end of its response.
    aSession->busy = true;
    co_await this->DiscardRequest(*aSession);
  }
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  aSession->stream.close();
}

void
HttpServer::RecordClose(const Session& aSession)
{
  if (!aSession.keptOpen || aSession.isClosedByCaller) {
    return;
  }
  boost::system::error_code ignored;
  const auto unread =
    aSession.buffer.size() + aSession.stream.socket().available(ignored);
  ++this->counts.closedWithoutNotice;
  this->counts.closedWithRequest += unread > 0 ? 1 : 0;
  LogLine("idle_connection_closed")
    .With("caller", aSession.Caller())
    .With("stopping", std::int64_t{ this->stopping })
    .With(
      "idle_ms",
      std::int64_t{ (MonotonicNow() - aSession.idleSince) / milliseconds(1) })
    .With("requests", aSession.requestCount)
    .With("unread_bytes", static_cast<std::int64_t>(unread))
    .Info();
}

void
HttpServer::RecordFailedRequest(const Session& aSession,
                                const boost::system::error_code& aError)
{
  ++this->counts.failedRequests;
  LogLine("request_not_received")
    .With("caller", aSession.Caller())
    .With("requests", aSession.requestCount)
    .With("unread_bytes", static_cast<std::int64_t>(aSession.buffer.size()))
    .With("detail", aError.message())
    .Info();
}

Task<bool>
HttpServer::ServeRequest(Session& aSession)
{
  aSession.stream.expires_never();
  if (aSession.buffer.size() == 0 && !co_await this->WaitForRequest(aSession)) {
    co_return false;
  }
  // A copy, because SetLimits may be called while the request arrives.
  const HttpServerLimits limits = this->options.limits;
  RequestParser parser;
  parser.header_limit(limits.headerBytes);
  parser.body_limit(limits.bodyBytes);
  aSession.buffer.max_size(limits.headerBytes + kMaxUnparsedBodyBytes);
  aSession.busy = true;
  aSession.keptOpen = false;
  boost::system::error_code error;
  {
    ReadDeadline deadline(aSession.stream.socket(), limits.receiveTimeout);
    error = co_await ReceiveRequest(aSession, parser);
    if (error == asio::error::operation_aborted && deadline.HasExpired()) {
      error = beast::error::timeout;
    }
  }
  if (error) {
    this->RecordFailedRequest(aSession, error);
    co_await this->RejectRequest(aSession, error);
    co_return false;
  }
  ++aSession.requestCount;
  HttpExchange exchange(aSession.stream,
                        parser.release(),
                        this->options.limits,
                        this->closeAfterResponse);
  aSession.stream.expires_never();
  co_await this->HandleRequest(exchange);
  this->counts.failedResponses += exchange.WriteError().empty() ? 0 : 1;
  aSession.keptOpen = exchange.KeepsConnectionOpen();
  aSession.announcedIdleTimeout = exchange.AnnouncedIdleTimeout();
  co_return aSession.keptOpen;
}

Duration
HttpServer::IdleTimeoutOf(const Session& aSession) const
{
  const Duration timeout =
    std::max(this->options.limits.idleTimeout, aSession.announcedIdleTimeout);
  return this->stopping ? std::min(timeout, this->lastRequestWait) : timeout;
}

Task<bool>
HttpServer::WaitForRequest(Session& aSession)
{
  tcp::socket& socket = aSession.stream.socket();
  aSession.idleSince = MonotonicNow();
  aSession.isAwaitingRequest = true;
  const auto end = [&] {
    return aSession.idleSince + this->IdleTimeoutOf(aSession);
  };
  ReceiveState state = ReceiveState::kNothing;
  do {
    ReadDeadline deadline(socket, end() - MonotonicNow());
    co_await socket.async_wait(tcp::socket::wait_read, kAsTuple);
    // Also after the deadline: this process may have been delayed, and a
    // request that has arrived must be answered.
    state = PeekReceived(socket);
  } while (state == ReceiveState::kNothing && MonotonicNow() < end());
  if (state != ReceiveState::kBytes) {
    aSession.isClosedByCaller = state == ReceiveState::kClosed;
    co_return false;
  }
  aSession.isAwaitingRequest = false;
  const auto [readError, size] = co_await aSession.stream.async_read_some(
    aSession.buffer.prepare(kFirstReadBytes), kAsTuple);
  aSession.buffer.commit(size);
  aSession.isClosedByCaller = !!readError;
  co_return !readError;
}

Task<boost::system::error_code>
HttpServer::ReceiveRequest(Session& aSession, RequestParser& aParser)
{
  auto [error, size] = co_await http::async_read_header(
    aSession.stream, aSession.buffer, aParser, kAsTuple);
  if (!error && aParser.get()[http::field::expect] == "100-continue") {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
      aSession.stream, asio::buffer(kContinue), kAsTuple);
  }
  if (!error) {
    std::tie(error, size) = co_await http::async_read(
      aSession.stream, aSession.buffer, aParser, kAsTuple);
  }
  co_return error;
}

Task<void>
HttpServer::HandleRequest(HttpExchange& aExchange)
{
  std::string failure;
  try {
    co_await this->options.handler(aExchange);
    co_return;
  } catch (const std::exception& exception) {
    failure = exception.what();
  }
  LogLine("request_handler_failed").With("detail", failure).Warn();
  aExchange.CloseAfterHandler();
  if (!aExchange.HasStartedResponse()) {
    co_await aExchange.Reply(this->options.failureResponder());
  }
}

Task<void>
HttpServer::RejectRequest(Session& aSession, boost::system::error_code aError)
{
  unsigned status = 400;
  std::string_view reason = "malformed_request";
  if (aError == http::error::header_limit) {
    status = 431;
    reason = "header_too_large";
  } else if (aError == http::error::body_limit) {
    status = 413;
    reason = "body_too_large";
  } else if (aError == beast::error::timeout) {
    status = 408;
    reason = "request_too_slow";
  } else if (aError.category() !=
             make_error_code(http::error::bad_method).category()) {
    // Not an error of the parser: the connection failed.
    co_return;
  }
  if (!this->options.errorResponder || aError == http::error::end_of_stream) {
    co_return;
  }
  HttpResponse response = this->options.errorResponder(status, reason);
  response.keep_alive(false);
  response.prepare_payload();
  aSession.stream.expires_after(seconds(1));
  const auto [error, size] =
    co_await http::async_write(aSession.stream, response, kAsTuple);
  aSession.isRejected = !error;
}

Task<void>
HttpServer::DiscardRequest(Session& aSession)
{
  boost::system::error_code ignored;
  aSession.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  aSession.stream.expires_after(kDiscardTime);
  std::array<char, 4096> bytes{};
  for (std::size_t total = 0; total < kMaxDiscardedBytes;) {
    const auto [error, size] =
      co_await aSession.stream.async_read_some(asio::buffer(bytes), kAsTuple);
    if (error) {
      co_return;
    }
    total += size;
  }
}

} // namespace apricottrack
