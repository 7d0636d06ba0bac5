#ifndef APRICOTTRACK_HTTP_HTTPSERVER_H
#define APRICOTTRACK_HTTP_HTTPSERVER_H

#include "apricottrack/Time.h"
#include "base/Counters.h"
#include "http/ByteBudget.h"
#include "http/GrowingBody.h"
#include "http/HttpExchange.h"
#include "http/HttpTypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string_view>

namespace apricottrack {

/// Counts of connections and responses that ended otherwise than callers
/// expect.
struct HttpServerCounts
{
  /// Connections that were closed at once, because of the limit.
  std::int64_t overLimit = 0;
  /// Connections that were closed for new ones, because of the limit, while
  /// they waited for a complete request.
  std::int64_t evicted = 0;
  /// Requests that were refused for want of memory.
  std::int64_t refusedForMemory = 0;
  /// Connections that this server closed while a request could still follow,
  /// without a response that announced it.
  std::int64_t closedWithoutNotice = 0;
  /// Of these, connections on which bytes of a request had arrived.
  std::int64_t closedWithRequest = 0;
  /// Connections that failed while a request was being received.
  std::int64_t failedRequests = 0;
  /// Responses that could not be written completely.
  std::int64_t failedResponses = 0;

  friend bool operator==(const HttpServerCounts&,
                         const HttpServerCounts&) = default;
};

/// Handles one request and responds through the exchange.
using HttpHandler = std::function<Task<void>(HttpExchange&)>;

/// Builds the response to a request that could not be parsed.
using HttpErrorResponder =
  std::function<HttpResponse(unsigned aStatus, std::string_view aReason)>;

/// Accepts connections and passes each parsed request to a handler. Each
/// connection has a task that owns its socket. These tasks, and the one that
/// accepts connections, keep the server alive.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  struct Options
  {
    /// IP:port to listen on.
    std::string address;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpErrorResponder errorResponder;
    /// Limits the memory of requests; must outlive the server and its
    /// connections. Null for no limit.
    ByteBudget* memory = nullptr;
    /// Builds the response to a request whose handler has thrown an exception.
    /// It must not state whether the request was run.
    std::function<HttpResponse()> failureResponder = [] {
      return JsonResponse(502, R"({"error":"internal_error"})");
    };
  };

  /// Binds and starts accepting.
  static Result<std::shared_ptr<HttpServer>> Make(
    boost::asio::any_io_executor aExecutor,
    Options aOptions);

  /// Stops accepting and closes idle connections. Requests in flight finish. A
  /// connection whose last response did not announce its end stays open for a
  /// short time, for the caller's next request.
  void Stop();

  /// Closes the connections on which no request has arrived, without waiting
  /// for one any longer.
  void CloseIdleConnections();

  /// Waits until all connections are closed, at most until `aUntil`.
  Task<void> WaitForConnections(Instant aUntil);

  /// Number of open connections.
  std::size_t ConnectionCount() const { return this->sessions.size(); }

  const HttpServerCounts& Counts() const { return this->counts; }
  /// Logs the counts and the number of open connections.
  void LogCounts() const;
  /// Sets the metrics of the counts.
  void ExportCounts(Counters& aCounters) const;

  /// Sets the limits. A connection applies them from its next request on, but
  /// stays open for as long as its last response has announced.
  void SetLimits(HttpServerLimits aLimits) { this->options.limits = aLimits; }

  /// Closes each connection after its next response, so that callers connect
  /// anew.
  void CloseAfterNextResponse() { this->closeAfterResponse = true; }

private:
  struct Session;
  using RequestParser = boost::beast::http::request_parser<GrowingBody>;

  HttpServer(boost::asio::any_io_executor aExecutor, Options aOptions);
  Task<void> AcceptConnections();
  /// Accepts all connections that wait in the listener's queue.
  void AcceptQueuedConnections();
  /// Ends the wait of the connections on which no bytes have arrived.
  void CancelIdleReads();
  void StartSession(boost::asio::ip::tcp::socket aSocket,
                    const boost::asio::ip::tcp::endpoint& aCaller);
  /// Returns the connection that has waited longest for a complete request, of
  /// the caller with most such connections; null if there is none.
  Session* LongestWaitingSession() const;
  /// Closes that connection, but none whose request has just arrived. Returns
  /// false if there is none.
  bool EvictWaitingSession();
  Task<void> ServeConnection(std::shared_ptr<Session> aSession);
  Task<bool> ServeRequest(Session& aSession);
  /// Waits for the first bytes of a request and reads them. Returns false if
  /// none have arrived within the idle timeout.
  Task<bool> WaitForRequest(Session& aSession);
  /// How long the connection waits for its next request, at present.
  Duration IdleTimeoutOf(const Session& aSession) const;
  /// Counts and logs a connection that is about to be closed, if its caller
  /// does not expect that.
  void RecordClose(const Session& aSession);
  /// Counts and logs a request that was not received completely.
  void RecordFailedRequest(const Session& aSession,
                           const boost::system::error_code& aError);
  /// Logs the counts of refused callers, at most once in some seconds.
  void LogRefusals(Instant aNow);
  ByteBudget& Memory()
  {
    return this->options.memory != nullptr ? *this->options.memory
                                           : this->unlimitedMemory;
  }
  /// Receives a request whose first bytes are in the buffer.
  static Task<boost::system::error_code> ReceiveRequest(
    Session& aSession,
    RequestParser& aParser,
    ByteBudget::Reservation& aMemory);
  /// Returns the error of a request whose caller sends no more.
  static boost::system::error_code EndOfInput(RequestParser& aParser);
  /// Frees the buffer of a connection if a request has made it grow.
  static void ShrinkBuffer(Session& aSession);
  /// Runs the handler. An exception ends the request, but nothing else.
  Task<void> HandleRequest(HttpExchange& aExchange);
  Task<void> RejectRequest(Session& aSession, boost::system::error_code aError);
  /// Discards what the caller still sends on a connection that ends.
  Task<void> DiscardRequest(Session& aSession);

  boost::asio::any_io_executor executor;
  Options options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<Session>> sessions;
  HttpServerCounts counts;
  /// Number of evicted connections that have not ended yet.
  std::size_t evictedCount = 0;
  Instant nextRefusalLogAt;
  ByteBudget unlimitedMemory{ ByteBudget::Options{
    .totalBytes = std::numeric_limits<std::size_t>::max() / 2 } };
  /// How long a stopping server waits for a connection's next request.
  Duration lastRequestWait;
  bool stopping = false;
  bool closeAfterResponse = false;
};

} // namespace apricottrack

#endif
