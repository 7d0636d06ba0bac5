#ifndef APRICOTTRACK_HTTP_HTTPCLIENT_H
#define APRICOTTRACK_HTTP_HTTPCLIENT_H

#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace apricottrack {

/// One client connection. It carries at most one request at a time, so that
/// each response belongs to the request sent last. Each timeout limits one
/// operation, not a whole exchange.
class HttpConnection
{
public:
  explicit HttpConnection(boost::asio::any_io_executor aExecutor,
                          std::string aAddress);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Opens the connection. Fails with kUnreachable: nothing was sent.
  Task<Result<void>> Connect(Duration aTimeout);

  /// Sends a complete request. After a failure some bytes may have been sent.
  Task<Result<void>> Send(HttpRequest aRequest, Duration aTimeout);

  /// Accepts responses without a length, whose body ends with the connection.
  void AcceptCloseDelimited() { this->acceptsCloseDelimited = true; }

  /// Receives the header of the final response to the last request sent, after
  /// any interim ones. `aTimeout` limits all of them, `aBodyLimit` is the
  /// maximum body size in bytes. Fails with kBadReply if the header, or later
  /// the framing of the body, exceeds a fixed size, or if the status is outside
  /// the range of HTTP.
  Task<Result<HttpResponse>> ReceiveHead(Duration aTimeout,
                                         std::uint64_t aBodyLimit);

  /// Receives the next part of the body; returns an empty string once the body
  /// is complete. A truncated response is an error, never an empty string.
  Task<Result<std::string>> ReceiveBodyChunk(Duration aTimeout);

  /// Returns whether the last response is complete and the connection can carry
  /// another request.
  bool IsReusable() const;

  /// How long the connection may be idle before it is used again, as the last
  /// response announced it; nothing without an announcement.
  std::optional<Duration> AnnouncedIdleTime() const;

  /// Returns whether an idle connection was closed by the peer or has unread
  /// bytes. Those belong to no request, and a later request would take them for
  /// its response, so the connection must not be used again.
  bool IsClosedOrHasUnreadBytes();

  /// Closes the connection; pending operations fail.
  void Close();

  const std::string& Address() const { return this->address; }

private:
  /// Receives one header, of an interim or a final response.
  Task<Result<HttpResponse>> ReceiveAnyHead(Duration aTimeout,
                                            std::uint64_t aBodyLimit);

  struct State;
  std::string address;
  std::unique_ptr<State> state;
  bool acceptsCloseDelimited = false;
};

/// Keeps idle connections by address. A connection is used by one request at a
/// time and returns to the pool only after a complete, matching response.
class HttpConnectionPool
{
public:
  struct Options
  {
    /// Maximum number of idle connections per address.
    std::size_t idlePerAddress = 64;
    /// A connection that was idle for longer, or for longer than its peer has
    /// announced, is not used again, and closed when the pool is next used for
    /// any address.
    Duration idleTimeout = seconds(20);
    Duration connectTimeout = seconds(1);
  };

  HttpConnectionPool(boost::asio::any_io_executor aExecutor, Options aOptions);

  /// Removes a usable idle connection from the pool and returns it; null if
  /// there is none.
  std::unique_ptr<HttpConnection> TakeIdleConnection(
    const std::string& aAddress,
    Instant aNow);

  /// Opens a new connection, also if idle ones exist.
  Task<Result<std::unique_ptr<HttpConnection>>> OpenNewConnection(
    std::string aAddress);

  /// Closes the idle connections to an address.
  void CloseIdleConnections(const std::string& aAddress);

  /// Adds a connection to the idle ones, or closes it if it cannot be used
  /// again. Closes the oldest idle one if there are too many.
  void ReturnConnection(std::unique_ptr<HttpConnection> aConnection,
                        Instant aNow);

private:
  struct IdleConnection
  {
    std::unique_ptr<HttpConnection> connection;
    Instant expiresAt;
  };

  /// Closes the connections to all addresses that were idle for too long.
  void CloseExpired(Instant aNow);

  boost::asio::any_io_executor executor;
  Options options;
  std::map<std::string, std::deque<IdleConnection>> idleConnections;
  /// When CloseExpired next looks at the connections.
  Instant nextExpiryCheckAt;
};

/// Limits of one call of Fetch.
struct FetchLimits
{
  /// Limits the sending, the header and each part of the body separately.
  Duration timeout;
  /// Maximum size of the response's body, in bytes. Calls run concurrently, so
  /// each call states what its response needs.
  std::uint64_t bodyBytes = std::uint64_t{ 64 } * 1024;
  /// Limits sending and the header over an idle connection instead, as that may
  /// have been lost without a sign; `timeout` if absent.
  std::optional<Duration> idleConnectionTimeout;
};

/// Sends a request and receives the complete response over a pooled or new
/// connection. Only for idempotent calls: after a failure on a pooled
/// connection the request is sent again on a new one. Fails with kBadReply if
/// the response is malformed or its body exceeds the limit.
Task<Result<HttpResponse>>
Fetch(HttpConnectionPool& aPool,
      std::string aAddress,
      HttpRequest aRequest,
      FetchLimits aLimits);

/// Sends a request once, over a pooled connection, and receives the complete
/// response, with the same limits as Fetch. Returns nullopt, with nothing sent,
/// if the pool has none.
Task<std::optional<Result<HttpResponse>>>
FetchOnIdleConnection(HttpConnectionPool& aPool,
                      std::string aAddress,
                      HttpRequest aRequest,
                      FetchLimits aLimits);

/// Sends a request once, over a new connection, and receives the complete
/// response, with the same limits as Fetch. The connection then joins the pool.
Task<Result<HttpResponse>>
FetchOnNewConnection(HttpConnectionPool& aPool,
                     std::string aAddress,
                     HttpRequest aRequest,
                     FetchLimits aLimits);

} // namespace apricottrack

#endif
