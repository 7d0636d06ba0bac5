#include "membership/PeerLink.h"

#include "http/HttpTypes.h"

#include <algorithm>
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
/// Memory that is taken before the bytes of a message arrive.
constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;
/// Number of copies of a message that a server may hold: as received, and
/// decoded.
constexpr std::size_t kMessageCopies = 2;

constexpr std::size_t kUnlimitedBytes =
  std::numeric_limits<std::size_t>::max() / 2;

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

/// Reads one message. Ends the connection if `aMemory` has no room for it.
Task<Result<PeerMessage>>
ReadFrame(boost::beast::tcp_stream& aStream,
          std::string aPeer,
          std::string& aBody,
          ByteBudget::Reservation& aMemory)
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
  std::size_t received = 0;
  while (received < length) {
    const std::size_t piece =
      std::min(length - received, std::max(received, kPieceBytes));
    aBody.reserve(received + piece);
    if (!aMemory.TryGrowTo(kMessageCopies * aBody.capacity())) {
      co_return Failure(
        ErrorCode::kNoReply, "peer.read", aPeer, "no memory for the message");
    }
    aBody.resize(received + piece);
    std::tie(error, size) = co_await asio::async_read(
      aStream, asio::buffer(aBody.data() + received, piece), kAsTuple);
    if (error || aMemory.IsRevoked()) {
      co_return Failure(
        ErrorCode::kNoReply, "peer.read", aPeer, error.message());
    }
    received += piece;
  }
  co_return ParsePeerMessage(aBody, aPeer);
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
  std::string body;
  ByteBudget unlimited(ByteBudget::Options{ .totalBytes = kUnlimitedBytes });
  ByteBudget::Reservation memory(unlimited);
  auto response =
    co_await ReadFrame(*this->stream, this->address, body, memory);
  if (this->stream != nullptr) {
    this->stream->expires_never();
  }
  if (!response) {
    this->stream.reset();
  }
  co_return response;
}

PeerServer::PeerServer(asio::any_io_executor aExecutor,
                       Options aOptions,
                       RequestHandler aHandler)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , handler(std::move(aHandler))
  , acceptor(this->executor)
{
}

Result<std::shared_ptr<PeerServer>>
PeerServer::Make(asio::any_io_executor aExecutor,
                 Options aOptions,
                 RequestHandler aHandler)
{
  const auto endpoint = ParseEndpoint(aOptions.address);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  std::shared_ptr<PeerServer> server(new PeerServer(
    std::move(aExecutor), std::move(aOptions), std::move(aHandler)));
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
    tcp::endpoint peer;
    auto [error, socket] =
      co_await aSelf->acceptor.async_accept(peer, kAsTuple);
    if (error) {
      // Keeps a lasting error, such as a lack of file descriptors, from turning
      // this into a busy loop.
      asio::steady_timer delayTimer(aSelf->executor, milliseconds(20));
      co_await delayTimer.async_wait(kAsTuple);
      continue;
    }
    if (aSelf->connections >= aSelf->options.maxConnections) {
      continue;
    }
    ++aSelf->connections;
    auto sharedSocket = std::make_shared<tcp::socket>(std::move(socket));
    asio::co_spawn(
      aSelf->executor,
      [aSelf, sharedSocket, peer]() -> Task<void> {
        co_await aSelf->Serve(std::move(*sharedSocket), peer);
        --aSelf->connections;
      },
      asio::detached);
  }
}

Task<Result<PeerMessage>>
PeerServer::ReadRequest(boost::beast::tcp_stream& aStream,
                        const std::string& aAddress)
{
  std::string body;
  ByteBudget& budget = this->options.memory != nullptr ? *this->options.memory
                                                       : this->unlimitedMemory;
  ByteBudget::Reservation memory(budget, aAddress, [&body, &aStream] {
    // No read may follow that writes to the freed memory.
    aStream.close();
    std::string().swap(body);
  });
  co_return co_await ReadFrame(aStream, "peer", body, memory);
}

Task<void>
PeerServer::Serve(tcp::socket aSocket, tcp::endpoint aPeer)
{
  const std::string address = aPeer.address().to_string();
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  boost::beast::tcp_stream stream(std::move(aSocket));
  for (;;) {
    stream.expires_after(kFrameTimeout);
    auto request = co_await this->ReadRequest(stream, address);
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
