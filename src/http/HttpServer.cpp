#include "http/HttpServer.h"

#include "base/Log.h"
#include "http/HttpServerSession.h"
#include "http/ReadDeadline.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>
#include <map>

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

/// Minimum time between two log lines on callers that were refused.
constexpr Duration kRefusalLogInterval = seconds(5);

} // namespace

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
    tcp::endpoint caller;
    this->acceptor.accept(socket, caller, error);
    if (!error) {
      this->StartSession(std::move(socket), caller);
    }
  }
}

void
HttpServer::StartSession(tcp::socket aSocket, const tcp::endpoint& aCaller)
{
  if (this->sessions.size() - this->evictedCount >=
        this->options.limits.connections &&
      !this->EvictWaitingSession()) {
    ++this->counts.overLimit;
    return;
  }
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(std::move(aSocket), aCaller);
  session->idleSince = MonotonicNow();
  // A connection that was just accepted may have a request on the way.
  session->busy = this->stopping;
  this->sessions.insert(session);
  asio::co_spawn(
    this->executor,
    [self = this->shared_from_this(), session]() -> Task<void> {
      co_await self->ServeConnection(session);
      self->sessions.erase(session);
      self->evictedCount -= session->isEvicted ? 1 : 0;
    },
    asio::detached);
}

HttpServer::Session*
HttpServer::LongestWaitingSession() const
{
  struct Waiting
  {
    std::size_t count = 0;
    Session* longest = nullptr;
  };
  std::map<std::string_view, Waiting> callers;
  for (const auto& session : this->sessions) {
    if (session->isHandling || session->isEvicted || session->hasArrived) {
      continue;
    }
    Waiting& caller = callers[session->address];
    ++caller.count;
    if (caller.longest == nullptr ||
        session->idleSince < caller.longest->idleSince) {
      caller.longest = session.get();
    }
  }
  const auto most = std::ranges::max_element(
    callers, {}, [](const auto& aEntry) { return aEntry.second.count; });
  return most == callers.end() ? nullptr : most->second.longest;
}

bool
HttpServer::EvictWaitingSession()
{
  Session* session = this->LongestWaitingSession();
  while (session != nullptr) {
    boost::system::error_code ignored;
    session->hasArrived =
      !session->busy && session->stream.socket().available(ignored) > 0;
    if (!session->hasArrived) {
      session->isEvicted = true;
      ++this->evictedCount;
      ++this->counts.evicted;
      this->LogRefusals(MonotonicNow());
      session->stream.close();
      return true;
    }
    session = this->LongestWaitingSession();
  }
  return false;
}

void
HttpServer::LogCounts() const
{
  LogLine("caller_connections")
    .With("open", static_cast<std::int64_t>(this->sessions.size()))
    .With("over_limit", this->counts.overLimit)
    .With("evicted", this->counts.evicted)
    .With("refused_for_memory", this->counts.refusedForMemory)
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
    { "connections_evicted", this->counts.evicted },
    { "requests_refused_for_memory", this->counts.refusedForMemory },
    { "idle_connections_closed", this->counts.closedWithoutNotice },
    { "idle_connections_closed_with_request", this->counts.closedWithRequest },
    { "requests_not_received", this->counts.failedRequests },
    { "responses_not_written", this->counts.failedResponses },
  };
  for (const auto& [name, count] : metrics) {
    aCounters.Set(name, {}, static_cast<double>(count));
  }
}

void
HttpServer::LogRefusals(Instant aNow)
{
  if (aNow < this->nextRefusalLogAt) {
    return;
  }
  this->nextRefusalLogAt = aNow + kRefusalLogInterval;
  LogLine("callers_over_limits")
    .With("listen", this->options.address)
    .With("open", static_cast<std::int64_t>(this->sessions.size()))
    .With("evicted", this->counts.evicted)
    .With("refused_for_memory", this->counts.refusedForMemory)
    .Warn();
}

Task<void>
HttpServer::AcceptConnections()
{
  while (!this->stopping) {
    tcp::endpoint caller;
    auto [error, socket] =
      co_await this->acceptor.async_accept(caller, kAsTuple);
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
    this->StartSession(std::move(socket), caller);
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
  if (aError == Session::kNoMemory) {
    ++this->counts.refusedForMemory;
    this->LogRefusals(MonotonicNow());
    return;
  }
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
  ByteBudget::Reservation memory(
    this->Memory(), aSession.address, [&aSession, &parser] {
      std::string().swap(parser.get().body());
      aSession.stream.cancel();
    });
  parser.header_limit(limits.headerBytes);
  parser.body_limit(limits.bodyBytes);
  aSession.buffer.max_size(limits.headerBytes + Session::kMaxUnparsedBodyBytes);
  aSession.busy = true;
  aSession.keptOpen = false;
  boost::system::error_code error;
  {
    ReadDeadline deadline(aSession.stream.socket(), limits.receiveTimeout);
    error = co_await ReceiveRequest(aSession, parser, memory);
    if (error == asio::error::operation_aborted && deadline.HasExpired()) {
      error = beast::error::timeout;
    }
  }
  if (error) {
    this->RecordFailedRequest(aSession, error);
    // Its unread part is discarded from now on.
    std::string().swap(parser.get().body());
    memory.Release();
    co_await this->RejectRequest(aSession, error);
    co_return false;
  }
  memory.Finish();
  ++aSession.requestCount;
  auto received = parser.release();
  HttpExchange exchange(
    aSession.stream,
    HttpRequest(std::move(received.base()), std::move(received.body())),
    this->options.limits,
    this->closeAfterResponse);
  aSession.stream.expires_never();
  aSession.isHandling = true;
  co_await this->HandleRequest(exchange);
  aSession.isHandling = false;
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
  aSession.hasArrived = false;
  const auto [readError, size] = co_await aSession.stream.async_read_some(
    aSession.buffer.prepare(Session::kFirstReadBytes), kAsTuple);
  aSession.buffer.commit(size);
  aSession.isClosedByCaller = !!readError;
  co_return !readError;
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

} // namespace apricottrack
