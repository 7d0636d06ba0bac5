#ifndef APRICOTTRACK_HTTP_HTTPEXCHANGE_H
#define APRICOTTRACK_HTTP_HTTPEXCHANGE_H

#include "apricottrack/Time.h"
#include "http/HttpServerLimits.h"
#include "http/HttpTypes.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>

namespace apricottrack {

/// One request on a caller's connection, and the means to respond to it.
/// Each method that writes returns false if the write failed, which means that
/// the caller has disconnected or does not read. The response to a HEAD request
/// ends with its header; bytes of a body are not written.
class HttpExchange
{
public:
  HttpExchange(boost::beast::tcp_stream& aStream,
               HttpRequest aRequest,
               const HttpServerLimits& aLimits,
               const bool& aServerCloses);

  const HttpRequest& Request() const { return this->request; }

  /// Writes a complete response. To a HEAD request, it states the length of the
  /// body or, if that is empty, the Content-Length that it has.
  Task<bool> Reply(HttpResponse aResponse);

  /// Writes the header of a chunked response; WriteChunk and EndStream write
  /// its body.
  Task<bool> BeginStream(unsigned aStatus, HttpHeaders aHeaders);
  Task<bool> WriteChunk(std::string aBytes);
  Task<bool> EndStream();

  /// Closes the connection when the handler returns. A chunked response without
  /// EndStream then shows as truncated to the caller.
  void CloseAfterHandler() { this->keepAlive = false; }

  /// Returns whether writing of a response has started.
  bool HasStartedResponse() const { return this->hasStartedResponse; }
  /// Returns whether the connection stays open for a further request.
  bool KeepsConnectionOpen() const { return this->keepAlive; }

  /// The idle timeout on which the announcement in the response is based; zero
  /// before the response.
  Duration AnnouncedIdleTimeout() const { return this->announcedIdleTimeout; }

  /// Why the response could not be written; empty if no write has failed.
  const std::string& WriteError() const { return this->writeError; }

  /// Returns false if the caller has closed its connection.
  bool IsCallerConnected();

  /// Calls back once if the caller closes its connection during the lifetime of
  /// this exchange. A close after a further, pipelined request may go
  /// unnoticed.
  void NotifyOnDisconnect(std::function<void()> aOnDisconnect);

private:
  /// Decides whether the connection stays open after the response, and
  /// announces for how long.
  void SetPersistence(boost::beast::http::fields& aHead);
  /// Returns whether the response has no body, whatever its header states.
  bool IsHeadRequest() const;
  /// Writes the header of a response without its body.
  template<typename Body>
  Task<bool> WriteHeader(boost::beast::http::response<Body>& aResponse);
  Task<bool> Write(std::string aBytes);
  /// Returns whether a write has succeeded, and closes the connection if not.
  bool CheckWritten(const boost::system::error_code& aError);

  boost::beast::tcp_stream& stream;
  HttpRequest request;
  /// Those of the server, which may change.
  const HttpServerLimits& limits;
  Duration announcedIdleTimeout = Duration::zero();
  bool hasStartedResponse = false;
  bool keepAlive = true;
  /// True once the server closes connections after their next response.
  const bool& serverCloses;
  std::string writeError;
  std::shared_ptr<std::function<void()>> onDisconnect;
};

} // namespace apricottrack

#endif
