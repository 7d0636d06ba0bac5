#include "http/HttpExchange.h"

#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace apricottrack {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

HttpExchange::HttpExchange(boost::beast::tcp_stream& aStream,
                           HttpRequest aRequest,
                           Duration aSendTimeout,
                           const bool& aServerCloses)
  : stream(aStream)
  , request(std::move(aRequest))
  , sendTimeout(aSendTimeout)
  , keepAlive(this->request.keep_alive())
  , serverCloses(aServerCloses)
{
}

Task<bool>
HttpExchange::Reply(HttpResponse aResponse)
{
  this->keepAlive = this->keepAlive && !this->serverCloses;
  aResponse.version(this->request.version());
  aResponse.keep_alive(this->keepAlive);
  aResponse.prepare_payload();
  this->hasStartedResponse = true;
  this->stream.expires_after(this->sendTimeout);
  auto [error, size] =
    co_await http::async_write(this->stream, aResponse, kAsTuple);
  co_return this->CheckWritten(error);
}

Task<bool>
HttpExchange::BeginStream(unsigned aStatus, HttpHeaders aHeaders)
{
  this->keepAlive = this->keepAlive && !this->serverCloses;
  http::response<http::empty_body> head;
  head.result(aStatus);
  head.version(11);
  for (const auto& [name, value] : aHeaders) {
    head.set(name, value);
  }
  head.chunked(true);
  head.keep_alive(this->keepAlive);
  this->hasStartedResponse = true;
  http::response_serializer<http::empty_body> serializer(head);
  this->stream.expires_after(this->sendTimeout);
  auto [error, size] =
    co_await http::async_write_header(this->stream, serializer, kAsTuple);
  co_return this->CheckWritten(error);
}

Task<bool>
HttpExchange::WriteChunk(std::string aBytes)
{
  if (aBytes.empty()) {
    co_return true;
  }
  std::string framed = fmt::format("{:x}\r\n", aBytes.size());
  framed.append(aBytes).append("\r\n");
  co_return co_await this->Write(std::move(framed));
}

Task<bool>
HttpExchange::EndStream()
{
  co_return co_await this->Write("0\r\n\r\n");
}

Task<bool>
HttpExchange::Write(std::string aBytes)
{
  this->stream.expires_after(this->sendTimeout);
  auto [error, size] =
    co_await asio::async_write(this->stream, asio::buffer(aBytes), kAsTuple);
  co_return this->CheckWritten(error);
}

bool
HttpExchange::CheckWritten(const boost::system::error_code& aError)
{
  if (aError) {
    this->writeError = aError.message();
    this->CloseAfterHandler();
  }
  return !aError;
}

bool
HttpExchange::IsCallerConnected()
{
  return PeekReceived(this->stream.socket()) != ReceiveState::kClosed;
}

void
HttpExchange::NotifyOnDisconnect(std::function<void()> aOnDisconnect)
{
  this->onDisconnect =
    std::make_shared<std::function<void()>>(std::move(aOnDisconnect));
  this->stream.socket().async_wait(
    tcp::socket::wait_read,
    [this, weak = std::weak_ptr(this->onDisconnect)](
      const boost::system::error_code& aError) {
      // The socket is readable if the caller closed it or sent a further
      // request.
      const auto callback = weak.lock();
      if (callback != nullptr && !aError && !this->IsCallerConnected()) {
        (*callback)();
      }
    });
}

} // namespace apricottrack
