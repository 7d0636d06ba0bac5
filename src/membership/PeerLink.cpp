#include "membership/PeerLink.h"

#include "http/HttpTypes.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace apricottrack {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Maximum time that a server waits until it has received the next request of
/// a connection, and until it has sent a response.
constexpr Duration kFrameTimeout = seconds(60);
/// Maximum number of open connections to a server; further ones are closed.
constexpr int kMaxConnections = 1024;

Task<Result<void>>
WriteFrame(boost::beast::tcp_stream& aStream,
           PeerMessage aMessage,
           std::string aPeer)
{
  const std::string body = EncodePeerMessage(aMessage);
  std::string frame(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(body.size()));
  frame += body;
  auto [error, size] =
    co_await asio::async_write(aStream, asio::buffer(frame), kAsTuple);
  if (error) {
    co_return Failure(
      ErrorCode::kNoReply, "peer.write", aPeer, error.message());
  }
  co_return Result<void>{};
}

Task<Result<PeerMessage>>
ReadFrame(boost::beast::tcp_stream& aStream, std::string aPeer)
{
  std::array<unsigned char, 4> lengthBytes{};
  auto [error, size] =
    co_await asio::async_read(aStream, asio::buffer(lengthBytes), kAsTuple);
  const std::uint32_t length = boost::endian::load_big_u32(lengthBytes.data());
  if (error) {
    co_return Failure(ErrorCode::kNoReply, "peer.read", aPeer, error.message());
  }
  if (length > kMaxPeerMessageBytes) {
    co_return Failure(ErrorCode::kBadReply,
                      "peer.read",
                      aPeer,
                      "the message exceeds the size limit");
  }
  std::string body(length, '\0');
  std::tie(error, size) =
    co_await asio::async_read(aStream, asio::buffer(body), kAsTuple);
  if (error) {
    co_return Failure(ErrorCode::kNoReply, "peer.read", aPeer, error.message());
  }
  co_return ParsePeerMessage(body, aPeer);
}

} // namespace

PeerLink::PeerLink(asio::any_io_executor aExecutor, std::string aAddress)
  : executor(std::move(aExecutor))
  , address(std::move(aAddress))
{
}

Task<Result<void>>
PeerLink::EnsureConnected(Duration aTimeout)
{
  if (this->stream != nullptr) {
    co_return Result<void>{};
  }
  const auto endpoint = ParseEndpoint(this->address);
  if (!endpoint) {
    co_return tl::unexpected(endpoint.error());
  }
  auto newStream = std::make_unique<boost::beast::tcp_stream>(this->executor);
  newStream->expires_after(aTimeout);
  auto [error] = co_await newStream->async_connect(*endpoint, kAsTuple);
  if (error) {
    co_return Failure(
      ErrorCode::kUnreachable, "peer.connect", this->address, error.message());
  }
  newStream->socket().set_option(tcp::no_delay(true), error);
  this->stream = std::move(newStream);
  co_return Result<void>{};
}

Task<Result<PeerMessage>>
PeerLink::SendRequest(PeerMessage aRequest, Duration aTimeout)
{
  const auto connected = co_await this->EnsureConnected(aTimeout);
  if (!connected) {
    co_return tl::unexpected(connected.error());
  }
  this->stream->expires_after(aTimeout);
  const auto written =
    co_await WriteFrame(*this->stream, std::move(aRequest), this->address);
  if (!written) {
    this->stream.reset();
    co_return tl::unexpected(written.error());
  }
  auto response = co_await ReadFrame(*this->stream, this->address);
  if (this->stream != nullptr) {
    this->stream->expires_never();
  }
  if (!response) {
    this->stream.reset();
  }
  co_return response;
}

PeerServer::PeerServer(asio::any_io_executor aExecutor, RequestHandler aHandler)
  : executor(std::move(aExecutor))
  , handler(std::move(aHandler))
  , acceptor(this->executor)
{
}

Result<std::shared_ptr<PeerServer>>
PeerServer::Make(asio::any_io_executor aExecutor,
                 const std::string& aAddress,
                 RequestHandler aHandler)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  std::shared_ptr<PeerServer> server(
    new PeerServer(std::move(aExecutor), std::move(aHandler)));
  const auto bound = Bind(server->acceptor, *endpoint, "peer.listen");
  if (!bound) {
    return tl::unexpected(bound.error());
  }
  asio::co_spawn(server->executor, Accept(server), asio::detached);
  return server;
}

Task<void>
PeerServer::Accept(std::shared_ptr<PeerServer> aSelf)
{
  for (;;) {
    auto [error, socket] = co_await aSelf->acceptor.async_accept(kAsTuple);
    if (error) {
      // Keeps a lasting error, such as a lack of file descriptors, from turning
      // this into a busy loop.
      asio::steady_timer delayTimer(aSelf->executor, milliseconds(20));
      co_await delayTimer.async_wait(kAsTuple);
      continue;
    }
    if (aSelf->connections >= kMaxConnections) {
      continue;
    }
    ++aSelf->connections;
    auto sharedSocket = std::make_shared<tcp::socket>(std::move(socket));
    asio::co_spawn(
      aSelf->executor,
      [aSelf, sharedSocket]() -> Task<void> {
        co_await aSelf->Serve(std::move(*sharedSocket));
        --aSelf->connections;
      },
      asio::detached);
  }
}

Task<void>
PeerServer::Serve(tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  boost::beast::tcp_stream stream(std::move(aSocket));
  for (;;) {
    stream.expires_after(kFrameTimeout);
    auto request = co_await ReadFrame(stream, "peer");
    if (!request) {
      co_return;
    }
    // The handler bounds its own duration.
    stream.expires_never();
    auto response = co_await this->handler(std::move(*request));
    stream.expires_after(kFrameTimeout);
    if (!response) {
      co_return;
    }
    const auto written =
      co_await WriteFrame(stream, std::move(*response), "peer");
    if (!written) {
      co_return;
    }
  }
}

} // namespace apricottrack
