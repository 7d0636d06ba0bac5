#include "http/HttpExchange.h"

#include <boost/beast/http.hpp>
#include <chrono>
#include <fmt/format.h>

namespace apricottrack {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Announced share of the idle timeout. The rest is for the way of a caller's
/// last request.
constexpr double kAnnouncedIdleShare = 0.8;

} // namespace

HttpExchange::HttpExchange(boost::beast::tcp_stream& aStream,
                           HttpRequest aRequest,
                           const HttpServerLimits& aLimits,
                           const bool& aServerCloses)
  : stream(aStream)
  , request(std::move(aRequest))
  , limits(aLimits)
  , keepAlive(this->request.keep_alive())
  , serverCloses(aServerCloses)
{
}

void
HttpExchange::SetPersistence(http::fields& aHead)
{
  this->keepAlive = this->keepAlive && !this->serverCloses;
  this->announcedIdleTimeout = this->limits.idleTimeout;
  const auto announced = std::chrono::floor<std::chrono::seconds>(
    this->limits.idleTimeout * kAnnouncedIdleShare);
  if (this->keepAlive && announced > std::chrono::seconds::zero()) {
    aHead.set(http::field::keep_alive,
              fmt::format("timeout={}", announced.count()));
  }
}

Task<bool>
HttpExchange::Reply(HttpResponse aResponse)
{
  this->SetPersistence(aResponse);
  aResponse.version(this->request.version());
  aResponse.keep_alive(this->keepAlive);
  const bool isHeadRequest = this->IsHeadRequest();
  if (!isHeadRequest || !aResponse.body().empty()) {
    aResponse.prepare_payload();
  }
  this->hasStartedResponse = true;
  if (isHeadRequest) {
    co_return co_await this->WriteHeader(aResponse);
  }
  this->stream.expires_after(this->limits.sendTimeout);
  auto [error, size] =
    co_await http::async_write(this->stream, aResponse, kAsTuple);
  co_return this->CheckWritten(error);
}

Task<bool>
HttpExchange::BeginStream(unsigned aStatus, HttpHeaders aHeaders)
{
  http::response<http::empty_body> head;
  head.result(aStatus);
  head.version(11);
  for (const auto& [name, value] : aHeaders) {
    head.set(name, value);
  }
  head.chunked(!this->IsHeadRequest());
  this->SetPersistence(head);
  head.keep_alive(this->keepAlive);
  this->hasStartedResponse = true;
  co_return co_await this->WriteHeader(head);
}

Task<bool>
HttpExchange::WriteChunk(std::string aBytes)
{
  if (aBytes.empty() || this->IsHeadRequest()) {
    co_return true;
  }
  std::string framed = fmt::format("{:x}\r\n", aBytes.size());
  framed.append(aBytes).append("\r\n");
  co_return co_await this->Write(std::move(framed));
}

Task<bool>
HttpExchange::EndStream()
{
  if (this->IsHeadRequest()) {
    co_return true;
  }
  co_return co_await this->Write("0\r\n\r\n");
}

bool
HttpExchange::IsHeadRequest() const
{
  return this->request.method() == http::verb::head;
}

template<typename Body>
Task<bool>
HttpExchange::WriteHeader(http::response<Body>& aResponse)
{
  http::response_serializer<Body> serializer(aResponse);
  this->stream.expires_after(this->limits.sendTimeout);
  auto [error, size] =
    co_await http::async_write_header(this->stream, serializer, kAsTuple);
  co_return this->CheckWritten(error);
}

Task<bool>
HttpExchange::Write(std::string aBytes)
{
  this->stream.expires_after(this->limits.sendTimeout);
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
