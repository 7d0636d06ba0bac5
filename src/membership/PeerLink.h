#ifndef APRICOTTRACK_MEMBERSHIP_PEERLINK_H
#define APRICOTTRACK_MEMBERSHIP_PEERLINK_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"
#include "membership/PeerMessages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace apricottrack {

/// A connection to one other node: frames of a 4-byte big-endian length and
/// one message. One question is answered at a time; after any failure the
/// connection is made anew.
class PeerLink
{
public:
  PeerLink(boost::asio::any_io_executor aExecutor, std::string aAddress);

  Task<Result<PeerMessage>> Ask(PeerMessage aQuestion, Duration aTimeout);

  const std::string& Address() const { return this->address; }

private:
  Task<Result<void>> EnsureConnected(Duration aTimeout);

  boost::asio::any_io_executor executor;
  std::string address;
  std::unique_ptr<boost::beast::tcp_stream> stream;
};

/// Accepts links from other nodes and answers their questions.
class PeerServer
{
public:
  /// May take its time over an answer; no answer ends the link.
  using Answerer = std::function<Task<std::optional<PeerMessage>>(PeerMessage)>;

  static Result<std::shared_ptr<PeerServer>> Make(
    boost::asio::any_io_executor aExecutor,
    const std::string& aAddress,
    Answerer aAnswerer);

private:
  PeerServer(boost::asio::any_io_executor aExecutor, Answerer aAnswerer);
  static Task<void> Accept(std::shared_ptr<PeerServer> aSelf);
  Task<void> Serve(boost::asio::ip::tcp::socket aSocket);

  boost::asio::any_io_executor executor;
  Answerer answerer;
  boost::asio::ip::tcp::acceptor acceptor;
  int connections = 0;
};

} // namespace apricottrack

#endif
