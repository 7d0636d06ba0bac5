#ifndef APRICOTTRACK_HTTP_HTTPSERVER_H
#define APRICOTTRACK_HTTP_HTTPSERVER_H

#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace apricottrack {

/// Bounds on what one caller's connection may send and how slowly.
struct HttpServerLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = std::uint64_t{ 1024 } * 1024;
  std::size_t connections = 4096;
  /// Time that a connection may stay without a request.
  Duration idleTimeout = seconds(30);
  /// Time to receive one whole request from its first byte on.
  Duration receiveTimeout = seconds(30);
  /// Time for the caller to take what is written to it.
  Duration sendTimeout = seconds(15);
};

/// One request on a caller's connection, and the way to answer it.
/// Each method that writes returns false once the caller is gone.
class HttpExchange
{
public:
  HttpExchange(boost::beast::tcp_stream& aStream,
               HttpRequest aRequest,
               Duration aSendTimeout);

  const HttpRequest& Request() const { return this->request; }

  Task<bool> Reply(HttpResponse aResponse);

  /// Starts a chunked answer; WriteChunk and EndStream complete it.
  Task<bool> BeginStream(unsigned aStatus, HttpHeaders aHeaders);
  Task<bool> WriteChunk(std::string aBytes);
  Task<bool> EndStream();

  /// Ends the connection without completing the answer.
  void Abort() { this->keepAlive = false; }

  /// True once an answer or the head of one was written.
  bool Started() const { return this->started; }
  bool KeepAlive() const { return this->keepAlive; }

  /// False once the caller is seen to have closed its connection.
  bool CallerPresent();

  /// Calls back once if the caller closes its connection while this exchange
  /// lives.
  void WatchCaller(std::function<void()> aOnGone);

private:
  Task<bool> Write(std::string aBytes);

  boost::beast::tcp_stream& stream;
  HttpRequest request;
  Duration sendTimeout;
  bool started = false;
  bool keepAlive = true;
  std::shared_ptr<std::function<void()>> onGone;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;

/// Builds the answer to a request that could not be parsed.
using HttpErrorBody =
  std::function<HttpResponse(unsigned aStatus, std::string_view aReason)>;

/// Accepts connections and hands each parsed request to a handler.
/// One task per connection owns its socket. Lives as long as its executor.
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  struct Options
  {
    std::string address;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpErrorBody errorBody;
  };

  /// Binds and starts accepting.
  static Result<std::shared_ptr<HttpServer>> Make(
    boost::asio::any_io_executor aExecutor,
    Options aOptions);

  /// Stops accepting; idle connections are closed, requests in flight finish
  /// and their connections close afterwards.
  void Stop();

  std::size_t Connections() const { return this->sessions.size(); }

  /// Holds for connections as they await their next request.
  void SetLimits(HttpServerLimits aLimits) { this->options.limits = aLimits; }

  /// Answers from now on ask callers to connect anew.
  void AskToReconnect() { this->reconnecting = true; }

private:
  struct Session;

  HttpServer(boost::asio::any_io_executor aExecutor, Options aOptions);
  Task<void> Accept();
  Task<void> Serve(std::shared_ptr<Session> aSession);
  Task<bool> ServeOne(Session& aSession);
  Task<void> Refuse(Session& aSession, boost::system::error_code aError);

  boost::asio::any_io_executor executor;
  Options options;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<Session>> sessions;
  bool stopping = false;
  bool reconnecting = false;
};

} // namespace apricottrack

#endif
