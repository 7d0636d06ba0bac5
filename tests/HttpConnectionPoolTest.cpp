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

// Guards against requests that cross the close of an idle connection by their
// target, which has announced when it closes.
TEST_CASE("HttpConnectionPool does not use a connection for longer than its "
          "peer has announced")
{
  struct Case
  {
    std::string header;
    Duration idle;
    bool isUsed = false;
  };
  const auto expected = GENERATE(
    Case{ "Keep-Alive: timeout=2\r\n", milliseconds(1500), true },
    Case{ "Keep-Alive: timeout=2\r\n", milliseconds(1700), false },
    Case{ "Keep-Alive: max=9, timeout=1\r\n", milliseconds(900), false },
    Case{ "Keep-Alive: timeout=0\r\n", milliseconds(1), false },
    Case{ "Keep-Alive: timeout=-1\r\n", milliseconds(2900), true },
    Case{ "Keep-Alive: timeout=99999999999\r\n", milliseconds(2900), true },
    Case{ "Keep-Alive: timeout=10\r\n", milliseconds(3100), false },
    Case{ "", milliseconds(2900), true });
  CAPTURE(expected.header, expected.idle.count());
  asio::io_context io{ 1 };
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  HttpConnectionPool pool(io.get_executor(),
                          { .idleTimeout = milliseconds(3000) });
  const std::string response =
    "HTTP/1.1 200 OK\r\n" + expected.header + "Content-Length: 0\r\n\r\n";
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
      TargetConnection connection(std::move(socket));
      co_await connection.ReadRequest();
      co_await connection.Write(response);
      co_await connection.ReadRequest();
    },
    asio::detached);
  std::optional<bool> wasUsed;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      co_await FetchOnNewConnection(
        pool, address, HttpRequest{}, { .timeout = seconds(5) });
      wasUsed = pool.TakeIdleConnection(
                  address, MonotonicNow() + expected.idle) != nullptr;
    },
    asio::detached);
  io.run_for(seconds(5));
  CHECK(wasUsed == expected.isUsed);
}
