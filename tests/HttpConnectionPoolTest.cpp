#include "ServingHarness.h"

using namespace apricottrack;

// Guards against idle connections to targets that are gone, which use up the
// descriptors of the process.
TEST_CASE("HttpConnectionPool closes expired connections to addresses that are "
          "no longer used")
{
  asio::io_context io{ 1 };
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  HttpConnectionPool pool(io.get_executor(),
                          { .idleTimeout = milliseconds(3000) });
  const auto useOtherAddress = [&](Instant aNow) {
    CHECK(pool.TakeIdleConnection("127.0.0.1:1", aNow) == nullptr);
  };
  bool closed = false;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
      TargetConnection connection(std::move(socket));
      co_await connection.ReadRequest();
      co_await connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      closed = (co_await connection.ReadRequest()).empty();
      io.stop();
    },
    asio::detached);
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      const auto response = co_await FetchOnNewConnection(
        pool, address, HttpRequest{}, { .timeout = seconds(5) });
      REQUIRE(response);
      const Instant idleSince = MonotonicNow();
      useOtherAddress(idleSince + milliseconds(2000));
      asio::steady_timer timer(io, milliseconds(50));
      co_await timer.async_wait(kAsTuple);
      CHECK_FALSE(closed);
      useOtherAddress(idleSince + milliseconds(3100));
    },
    asio::detached);
  io.run_for(seconds(5));
  CHECK(closed);
}
