#ifndef APRICOTTRACK_MEMBERSHIP_PEERLINK_H
#define APRICOTTRACK_MEMBERSHIP_PEERLINK_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"
#include "http/ByteBudget.h"
#include "membership/PeerMessages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace apricottrack {

/// Client connection to one other node. A frame is a 4-byte big-endian length
/// and one message. At most one request may be outstanding; after any failure
/// the next request opens a new connection.
class PeerLink
{
public:
  PeerLink(boost::asio::any_io_executor aExecutor, std::string aAddress);

  /// Sends a request and returns the response. The timeout applies to the
  /// connection attempt and again to the exchange.
  Task<Result<PeerMessage>> SendRequest(PeerMessage aRequest,
                                        Duration aTimeout);

  const std::string& Address() const { return this->address; }

private:
  Task<Result<void>> EnsureConnected(Duration aTimeout);

  boost::asio::any_io_executor executor;
  std::string address;
  std::unique_ptr<boost::beast::tcp_stream> stream;
};

/// Accepts connections from other nodes and responds to their requests.
class PeerServer
{
public:
  /// Returns the response, or nothing to close the connection. The server sets
  /// no time limit on it, so the callee bounds its own duration.
  using RequestHandler =
    std::function<Task<std::optional<PeerMessage>>(PeerMessage)>;

  struct Options
  {
    /// IP:port to listen on.
    std::string address;
    /// Maximum number of open connections; further ones are closed.
    std::size_t maxConnections = 1024;
    /// Limits the memory of the messages that are received; must outlive the
    /// server. Null for no limit.
    ByteBudget* memory = nullptr;
  };

  static Result<std::shared_ptr<PeerServer>> Make(
    boost::asio::any_io_executor aExecutor,
    Options aOptions,
    RequestHandler aHandler);

private:
  PeerServer(boost::asio::any_io_executor aExecutor,
             Options aOptions,
             RequestHandler aHandler);
  static Task<void> Accept(std::shared_ptr<PeerServer> aSelf);
  /// Reads one message from the connection of the IP `aAddress`.
  Task<Result<PeerMessage>> ReadRequest(boost::beast::tcp_stream& aStream,
                                        const std::string& aAddress);
  Task<void> Serve(boost::asio::ip::tcp::socket aSocket,
                   boost::asio::ip::tcp::endpoint aPeer);

  boost::asio::any_io_executor executor;
  Options options;
  RequestHandler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::size_t connections = 0;
  ByteBudget unlimitedMemory{ ByteBudget::Options{
    .totalBytes = std::numeric_limits<std::size_t>::max() / 2 } };
};

} // namespace apricottrack

#endif
