#include "TargetResponses.h"

using namespace apricottrack;

namespace {

/// Bytes that an endless sender writes at most, so that a receiver without a
/// limit fails the test instead of exhausting memory.
constexpr std::size_t kEndlessBytes = std::size_t{ 48 } * 1024 * 1024;
/// Socket buffers and those of a receiver that stops reading.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 12 } * 1024 * 1024;
constexpr Duration kTestLimit = seconds(20);

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Attempt: a\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

/// Starts of responses that endless bytes 'a' follow.
const std::vector<std::string> kEndlessResponses = {
  "",
  "HTTP/1.1 200 ",
  "HTTP/1.1 200 OK\r\nX-",
  "HTTP/1.1 200 OK\r\nX-Own: ",
  kChunkedHead,
  kChunkedHead + "4;x=",
  kChunkedHead + "4\r\nbody\r\n",
  kChunkedHead + "4\r\nbody",
  kChunkedHead + "0\r\nX-Own: ",
};

/// Keeps the number of written bytes up to date in `aWritten`.
Task<void>
WriteEndless(TargetConnection& aConnection,
             std::string aStart,
             std::size_t& aWritten)
{
  co_await aConnection.ReadRequest();
  const std::string bytes(std::size_t{ 64 } * 1024, 'a');
  bool connected = co_await aConnection.Write(std::move(aStart));
  while (connected && aConnection.written < kEndlessBytes) {
    connected = co_await aConnection.Write(bytes);
    aWritten = aConnection.written;
  }
  if (connected) {
    co_await aConnection.Wait(seconds(5));
  }
}

/// A server that sends `aStart` and endless bytes on each connection.
class EndlessServer
{
public:
  EndlessServer(asio::io_context& aIo, const std::string& aStart)
    : acceptor(aIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
    asio::co_spawn(
      aIo,
      [this, aStart]() -> Task<void> { co_await this->Serve(aStart); },
      asio::detached);
  }

  std::string Address() const
  {
    return fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port());
  }

  /// Bytes written on the last connection.
  std::size_t written = 0;

private:
  Task<void> Serve(std::string aStart)
  {
    for (;;) {
      auto [error, socket] = co_await this->acceptor.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      TargetConnection connection(std::move(socket));
      co_await WriteEndless(connection, aStart, this->written);
    }
  }

  tcp::acceptor acceptor;
};

} // namespace

// Guards against a response without end that exhausts the process's memory.
TEST_CASE("Fetch fails on a response without end")
{
  asio::io_context io{ 1 };
  const std::string start = GENERATE(from_range(kEndlessResponses));
  CAPTURE(start);
  EndlessServer server(io, start);
  HttpConnectionPool pool(io.get_executor(), {});
  Result<HttpResponse> response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      response = co_await FetchOnNewConnection(
        pool, server.Address(), HttpRequest{}, { .timeout = seconds(5) });
      asio::steady_timer timer(io, milliseconds(50));
      co_await timer.async_wait(kAsTuple);
      io.stop();
    },
    asio::detached);
  io.run_for(kTestLimit);
  REQUIRE_FALSE(response);
  CHECK(response.error().code == ErrorCode::kBadReply);
  CHECK(server.written < kMaxBufferedBytes);
}

// Guards against well-formed control responses that exhaust memory together.
TEST_CASE("Fetch fails on a body above the limit of the call")
{
  asio::io_context io{ 1 };
  EndlessServer server(io,
                       "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
  HttpConnectionPool pool(io.get_executor(), {});
  Result<HttpResponse> response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      response = co_await FetchOnNewConnection(
        pool, server.Address(), HttpRequest{}, { .timeout = seconds(5) });
      io.stop();
    },
    asio::detached);
  io.run_for(kTestLimit);
  REQUIRE_FALSE(response);
  CHECK(response.error().code == ErrorCode::kBadReply);
}

// Guards against a target whose endless response ends the requests of others.
TEST_CASE("RequestFlow fails only the request whose response has no end")
{
  const std::string start = GENERATE(from_range(kEndlessResponses));
  CAPTURE(start);
  ServingHarness harness;
  std::size_t written = 0;
  harness.AddTarget("t1",
                    [&](TargetConnection& aConnection, int) -> Task<void> {
                      co_await WriteEndless(aConnection, start, written);
                    });
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/once/x", "a", seconds(10));
      asio::steady_timer timer(harness.io, milliseconds(50));
      co_await timer.async_wait(kAsTuple);
    },
    kTestLimit));
  CHECK(StatusOf(response) == 502);
  CHECK(written > 0);
  CHECK(written < kMaxBufferedBytes);
}

// Guards against orders that a target carries out twice without notice.
TEST_CASE("FetchOnIdleConnection sends a request at most once")
{
  asio::io_context io{ 1 };
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  HttpConnectionPool pool(io.get_executor(), {});
  const FetchLimits limits{ .timeout = milliseconds(100) };
  int requests = 0;
  int connections = 0;
  // Each connection replies to its first request only.
  const auto serve = [&](tcp::socket aSocket) -> Task<void> {
    TargetConnection connection(std::move(aSocket));
    for (int i = 0; !(co_await connection.ReadRequest()).empty(); ++i) {
      ++requests;
      if (i == 0) {
        co_await connection.Write(
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      }
    }
  };
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      for (;;) {
        auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
        if (error) {
          co_return;
        }
        ++connections;
        asio::co_spawn(io, serve(std::move(socket)), asio::detached);
      }
    },
    asio::detached);
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      const auto unsent =
        co_await FetchOnIdleConnection(pool, address, HttpRequest{}, limits);
      CHECK_FALSE(unsent);
      CHECK(connections == 0);
      const auto first =
        co_await FetchOnNewConnection(pool, address, HttpRequest{}, limits);
      CHECK(first);
      const auto unanswered =
        co_await FetchOnIdleConnection(pool, address, HttpRequest{}, limits);
      REQUIRE(unanswered);
      REQUIRE_FALSE(*unanswered);
      CHECK(unanswered->error().code == ErrorCode::kTimeout);
      CHECK(requests == 2);
      CHECK(connections == 1);
      io.stop();
    },
    asio::detached);
  io.run_for(kTestLimit);
  CHECK(io.stopped());
}

// Guards against a status that HTTP does not allow being passed on.
TEST_CASE("Fetch fails on a status outside of the range of HTTP")
{
  const std::string status = GENERATE("000", "099", "101", "0", "600", "999");
  CAPTURE(status);
  ServingHarness harness;
  const std::string address =
    harness.StartScript([&](TargetConnection& aConnection, int) -> Task<void> {
      co_await aConnection.ReadRequest();
      co_await aConnection.Write(
        fmt::format("HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\nno", status));
      co_await aConnection.Wait(seconds(2));
    });
  HttpConnectionPool pool(harness.io.get_executor(), {});
  Result<HttpResponse> response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await FetchOnNewConnection(
        pool, address, HttpRequest{}, { .timeout = seconds(1) });
    },
    kTestLimit));
  REQUIRE_FALSE(response);
  CHECK(response.error().code == ErrorCode::kBadReply);
}

// Guards against review/7: a response that repeats the longest header of a
// request counts as a lost connection.
TEST_CASE("Fetch receives a response whose header is as large as a request's")
{
  ServingHarness harness;
  const std::string id(15'000, 'a');
  const std::string address =
    harness.StartScript([&](TargetConnection& aConnection, int) -> Task<void> {
      co_await aConnection.ReadRequest();
      co_await aConnection.Write(
        PlainResponse(200, "X-Attempt: " + id + "\r\n", "done"));
    });
  HttpConnectionPool pool(harness.io.get_executor(), {});
  Result<HttpResponse> response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await FetchOnNewConnection(
        pool, address, HttpRequest{}, { .timeout = seconds(1) });
    },
    kTestLimit));
  REQUIRE(response);
  CHECK((*response)["X-Attempt"] == id);
}

TEST_CASE("Fetch returns the final response after interim ones")
{
  ServingHarness harness;
  const std::string address =
    harness.StartScript([](TargetConnection& aConnection, int) -> Task<void> {
      co_await aConnection.ReadRequest();
      co_await aConnection.Write("HTTP/1.1 100 Continue\r\n\r\n"
                                 "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" +
                                 PlainResponse(201, "", "done"));
    });
  HttpConnectionPool pool(harness.io.get_executor(), {});
  Result<HttpResponse> response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await FetchOnNewConnection(
        pool, address, HttpRequest{}, { .timeout = seconds(1) });
    },
    kTestLimit));
  REQUIRE(response);
  CHECK(response->result_int() == 201);
  CHECK(response->body() == "done");
}
