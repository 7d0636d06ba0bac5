#ifndef APRICOTTRACK_HTTP_HTTPTYPES_H
#define APRICOTTRACK_HTTP_HTTPTYPES_H

#include "apricottrack/Error.h"
#include "apricottrack/KeyValueStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <utility>
#include <vector>

/// Message types shared by the HTTP server and client.
namespace apricottrack {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Completion token with which co_await returns a tuple that starts with the
/// error code, instead of throwing.
inline constexpr auto kAsTuple =
  boost::asio::as_tuple(boost::asio::use_awaitable);

/// Parses "IP:port"; the port must not be zero. Fails with kInvalidInput.
Result<boost::asio::ip::tcp::endpoint>
ParseEndpoint(const std::string& aAddress);

/// Opens the acceptor, binds it and starts listening. Fails with kInvalidInput
/// at the step `aStep`.
Result<void>
Bind(boost::asio::ip::tcp::acceptor& aAcceptor,
     const boost::asio::ip::tcp::endpoint& aEndpoint,
     std::string_view aStep);

/// What a socket has received and not yet read.
enum class ReceiveState
{
  kNothing,
  kBytes,
  /// The peer has closed the connection, or it has failed.
  kClosed,
};

/// Looks at what a socket has received, without waiting or reading it.
ReceiveState
PeekReceived(boost::asio::ip::tcp::socket& aSocket);

/// Returns a response with a JSON body.
HttpResponse
JsonResponse(unsigned aStatus, std::string aBody);

/// Returns a response with a plain text body.
HttpResponse
TextResponse(unsigned aStatus, std::string aBody);

} // namespace apricottrack

#endif
