#include "http/Framing.h"
#include "http/HttpServerSession.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace apricottrack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Size of a read in the middle of a large body, and the size from which on a
/// chunked body is a large one, in bytes.
constexpr std::size_t kLargeReadBytes = std::size_t{ 32 } * 1024;
constexpr std::size_t kLargeBodyBytes = std::size_t{ 16 } * 1024;

/// Number of copies of a request's body that a node may hold: as received, and
/// in the message to a target.
constexpr std::size_t kBodyCopies = 2;

/// Memory of a header field beyond its name and value, in bytes.
constexpr std::size_t kFieldBytes = 96;

/// How long, and for how many bytes, what a caller still sends is read and
/// discarded. Closing before would reset the connection, and the caller might
/// not get the response.
constexpr Duration kDiscardTime = seconds(1);
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 4 } * 1024 * 1024;

/// Memory of the fields of a header, in bytes.
std::size_t
FieldBytes(const http::fields& aFields)
{
  std::size_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

/// Parses as much of the buffer as possible, up to the end of the header or the
/// request. Returns http::error::need_more if more bytes are needed.
template<typename Parser>
boost::system::error_code
ParseReceived(beast::flat_buffer& aBuffer, Parser& aParser)
{
  const bool hadHeader = aParser.is_header_done();
  aParser.eager(hadHeader);
  boost::system::error_code error;
  while (!error && !aParser.is_done() &&
         aParser.is_header_done() == hadHeader) {
    if (aBuffer.size() == 0) {
      return http::error::need_more;
    }
    aBuffer.consume(aParser.put(aBuffer.data(), error));
  }
  return error;
}

/// Returns how many bytes to read next, zero if the buffer is full.
template<typename Parser>
std::size_t
NextReadBytes(const beast::flat_buffer& aBuffer,
              const Parser& aParser,
              std::size_t aFirstReadBytes)
{
  std::size_t bytes = aFirstReadBytes;
  if (aParser.is_header_done()) {
    const std::uint64_t remaining =
      aParser.content_length_remaining().value_or(aParser.get().body().size());
    bytes = remaining > kLargeBodyBytes ? kLargeReadBytes : aFirstReadBytes;
  }
  return std::min(bytes, aBuffer.max_size() - aBuffer.size());
}

} // namespace

Task<boost::system::error_code>
HttpServer::ReceiveRequest(Session& aSession,
                           RequestParser& aParser,
                           ByteBudget::Reservation& aMemory)
{
  std::size_t fieldBytes = 0;
  bool isInHeader = true;
  for (;;) {
    boost::system::error_code error = ParseReceived(aSession.buffer, aParser);
    if (error && error != http::error::need_more) {
      co_return error;
    }
    const bool headerEnds = isInHeader && aParser.is_header_done();
    if (headerEnds) {
      isInHeader = false;
      fieldBytes = FieldBytes(aParser.get());
      const auto ambiguous =
        CheckFraming(aParser.get(), aParser.get().version());
      if (ambiguous) {
        co_return ambiguous;
      }
    }
    if (!aMemory.TryGrowTo(aSession.buffer.capacity() + fieldBytes +
                           kBodyCopies * aParser.get().body().capacity())) {
      co_return make_error_code(Session::kNoMemory);
    }
    if (headerEnds && aParser.get()[http::field::expect] == "100-continue") {
      static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(
        aSession.stream, asio::buffer(kContinue), kAsTuple);
    }
    if (aParser.is_done()) {
      ShrinkBuffer(aSession);
      co_return boost::system::error_code{};
    }
    if (!error) {
      continue;
    }
    const std::size_t bytes =
      NextReadBytes(aSession.buffer, aParser, Session::kFirstReadBytes);
    if (bytes == 0) {
      co_return make_error_code(http::error::buffer_overflow);
    }
    const auto [readError, size] =
      co_await aSession.stream.socket().async_read_some(
        aSession.buffer.prepare(bytes), kAsTuple);
    if (aMemory.IsRevoked()) {
      co_return make_error_code(Session::kNoMemory);
    }
    aSession.buffer.commit(size);
    if (readError == asio::error::eof) {
      co_return EndOfInput(aParser);
    }
    if (readError) {
      co_return readError;
    }
  }
}

boost::system::error_code
HttpServer::EndOfInput(RequestParser& aParser)
{
  if (!aParser.got_some()) {
    return http::error::end_of_stream;
  }
  boost::system::error_code error;
  aParser.put_eof(error);
  return error;
}

void
HttpServer::ShrinkBuffer(Session& aSession)
{
  if (aSession.buffer.size() == 0 &&
      aSession.buffer.capacity() > Session::kFirstReadBytes) {
    aSession.buffer.clear();
    aSession.buffer.shrink_to_fit();
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
  } else if (aError == Session::kNoMemory) {
    status = 503;
    reason = "too_many_requests_in_memory";
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
