#ifndef APRICOTTRACK_HTTP_HTTPSERVERSESSION_H
#define APRICOTTRACK_HTTP_HTTPSERVERSESSION_H

#include "http/HttpServer.h"

#include <fmt/format.h>
#include <string>

namespace apricottrack {

/// One connection of an HttpServer.
struct HttpServer::Session
{
  /// Size of the first read of a request, in bytes.
  static constexpr std::size_t kFirstReadBytes = 4096;
  /// Maximum number of bytes that are kept unparsed beyond a header: the
  /// framing of a chunked body and parts of the body itself.
  static constexpr std::size_t kMaxUnparsedBodyBytes = std::size_t{ 64 } * 1024;
  /// The request does not fit into the budget for callers' memory.
  static constexpr auto kNoMemory = boost::system::errc::not_enough_memory;

  Session(boost::asio::ip::tcp::socket aSocket,
          const boost::asio::ip::tcp::endpoint& aCaller)
    : stream(std::move(aSocket))
    , address(aCaller.address().to_string())
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

  boost::beast::tcp_stream stream;
  /// IP of the caller.
  std::string address;
  boost::beast::flat_buffer buffer;
  /// True while the handler runs.
  bool isHandling = false;
  /// True if bytes of a request have been seen in the socket and not been read.
  bool hasArrived = false;
  /// True if the server has closed the connection in favour of another one.
  bool isEvicted = false;
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

} // namespace apricottrack

#endif
