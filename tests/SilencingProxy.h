#ifndef APRICOTTRACK_TESTS_SILENCINGPROXY_H
#define APRICOTTRACK_TESTS_SILENCINGPROXY_H

#include "ServingHarness.h"

namespace apricottrack {

/// Forwards connections to an address. Silenced connections stay open but carry
/// no more data; those that are made later are not affected. Must outlive the
/// last run of the executor.
class SilencingProxy
{
public:
  SilencingProxy(asio::io_context& aIo, const std::string& aUpstream)
    : io(aIo)
    , upstream(*ParseEndpoint(aUpstream))
    , acceptor(aIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
    asio::co_spawn(
      this->io,
      [this]() -> Task<void> { co_await this->Accept(); },
      asio::detached);
  }

  std::string Address() const
  {
    return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port());
  }

  void SilenceOpenConnections() { ++this->generation; }

  /// Connections accepted so far.
  int Connections() const { return this->connections; }

private:
  Task<void> Accept()
  {
    for (;;) {
      auto [error, socket] = co_await this->acceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      ++this->connections;
      auto caller = std::make_shared<tcp::socket>(std::move(socket));
      auto target = std::make_shared<tcp::socket>(this->io);
      auto [failure] = co_await target->async_connect(this->upstream, kAsTuple);
      if (failure) {
        continue;
      }
      asio::co_spawn(this->io, this->Pump(caller, target), asio::detached);
      asio::co_spawn(this->io, this->Pump(target, caller), asio::detached);
    }
  }

  Task<void> Pump(std::shared_ptr<tcp::socket> aFrom,
                  std::shared_ptr<tcp::socket> aTo)
  {
    const int started = this->generation;
    std::array<char, 4096> buffer{};
    for (;;) {
      auto [error, size] =
        co_await aFrom->async_read_some(asio::buffer(buffer), kAsTuple);
      if (error) {
        break;
      }
      if (this->generation == started) {
        co_await asio::async_write(
          *aTo, asio::buffer(buffer.data(), size), kAsTuple);
      }
    }
    if (this->generation == started) {
      boost::system::error_code ignored;
      aTo->shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  asio::io_context& io;
  tcp::endpoint upstream;
  tcp::acceptor acceptor;
  int generation = 0;
  int connections = 0;
};

} // namespace apricottrack

#endif
