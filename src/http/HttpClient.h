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

/// One client connection. At most one request is in flight on it, so that an
/// answer is tied to its request by the connection itself.
class HttpConnection
{
public:
  explicit HttpConnection(boost::asio::any_io_executor aExecutor,
                          std::string aAddress);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// kUnreachable on failure: nothing was sent.
  Task<Result<void>> Connect(Duration aTimeout);

  /// Sends a whole request. On failure bytes may have been sent.
  Task<Result<void>> Send(HttpRequest aRequest, Duration aTimeout);

  /// Takes answers that have no length and end with the connection.
  void AcceptUnframed() { this->acceptsUnframed = true; }

  /// Receives the head of the answer to the last request sent.
  Task<Result<HttpResponse>> ReceiveHead(Duration aTimeout,
                                         std::uint64_t aBodyLimit);

  /// Receives the next piece of the body; empty once it is complete. An
  /// answer cut short is an error and never an empty piece.
  Task<Result<std::string>> ReceivePiece(Duration aTimeout);

  /// True after a complete answer whose connection may carry another.
  bool Reusable() const;

  /// True if bytes wait on an idle connection or it was closed: an answer
  /// nobody asked for, so the connection cannot be trusted any more.
  bool HasStrayBytes();

  /// Cuts the connection off at once; pending operations fail.
  void Close();

  const std::string& Address() const { return this->address; }

private:
  struct State;
  std::string address;
  std::unique_ptr<State> state;
  bool acceptsUnframed = false;
};

/// Idle connections by address. A connection is taken by one request at a
/// time and given back only after a complete, matching answer.
class HttpConnectionPool
{
public:
  struct Options
  {
    std::size_t idlePerAddress = 64;
    Duration idleTimeout = seconds(20);
    Duration connectTimeout = seconds(1);
  };

  HttpConnectionPool(boost::asio::any_io_executor aExecutor, Options aOptions);

  /// A trusted idle connection, or none.
  std::unique_ptr<HttpConnection> TakeIdle(const std::string& aAddress,
                                           Instant aNow);

  Task<Result<std::unique_ptr<HttpConnection>>> OpenFresh(std::string aAddress);

  /// Closes the idle connections to an address.
  void DropIdle(const std::string& aAddress);

  void GiveBack(std::unique_ptr<HttpConnection> aConnection, Instant aNow);

private:
  struct Idle
  {
    std::unique_ptr<HttpConnection> connection;
    Instant since;
  };

  boost::asio::any_io_executor executor;
  Options options;
  std::map<std::string, std::deque<Idle>> idle;
};

/// One request and its whole answer over a fresh or pooled connection.
/// Only for idempotent calls: a stale pooled connection is tried again once.
Task<Result<HttpResponse>>
Fetch(HttpConnectionPool& aPool,
      std::string aAddress,
      HttpRequest aRequest,
      Duration aTimeout);

/// One request and its whole answer over a fresh connection; sent once.
Task<Result<HttpResponse>>
FetchFresh(HttpConnectionPool& aPool,
           std::string aAddress,
           HttpRequest aRequest,
           Duration aTimeout);

} // namespace apricottrack

#endif
