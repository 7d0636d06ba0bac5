#include "ServingHarness.h"

#include "http/ParallelFetch.h"

using namespace apricottrack;

namespace {

constexpr int kCalls = 3;

/// Accepts connections and responds on the last of `kCalls` only.
Task<void>
RespondOnLastConnection(tcp::acceptor& aAcceptor)
{
  std::vector<std::unique_ptr<TargetConnection>> connections;
  for (int i = 0; i < kCalls; ++i) {
    auto [error, socket] = co_await aAcceptor.async_accept(kAsTuple);
    connections.push_back(
      std::make_unique<TargetConnection>(std::move(socket)));
  }
  co_await connections.back()->ReadRequest();
  co_await connections.back()->Write(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  co_await connections.front()->Wait(seconds(1));
}

} // namespace

// Guards against sound peers that are taken for lost because of a lost packet.
TEST_CASE("FetchOnAnyConnection gets the response of the one connection that "
          "works")
{
  asio::io_context io{ 1 };
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  HttpConnectionPool pool(io.get_executor(), {});
  asio::co_spawn(io, RespondOnLastConnection(acceptor), asio::detached);
  std::optional<Result<HttpResponse>> response;
  Duration waited = Duration::max();
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      const Instant start = MonotonicNow();
      response = co_await FetchOnAnyConnection(
        pool, address, HttpRequest{}, { .timeout = milliseconds(400) }, kCalls);
      waited = MonotonicNow() - start;
    },
    asio::detached);
  io.run_for(seconds(2));
  REQUIRE(response);
  REQUIRE(*response);
  CHECK((*response)->body() == "ok");
  CHECK(waited < milliseconds(400));
}

TEST_CASE("FetchOnAnyConnection reports what the best connection has shown")
{
  asio::io_context io{ 1 };
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  const auto expected =
    GENERATE(ErrorCode::kUnreachable, ErrorCode::kNoReply, ErrorCode::kTimeout);
  // Two connections are closed without a response, the last one stays open.
  std::optional<tcp::socket> silent;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      for (int i = 0; i < kCalls; ++i) {
        auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
        if (i == kCalls - 1 && expected == ErrorCode::kTimeout) {
          silent.emplace(std::move(socket));
        }
      }
    },
    asio::detached);
  if (expected == ErrorCode::kUnreachable) {
    acceptor.close();
  }
  HttpConnectionPool pool(io.get_executor(), {});
  std::optional<Result<HttpResponse>> response;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      response = co_await FetchOnAnyConnection(
        pool, address, HttpRequest{}, { .timeout = milliseconds(100) }, kCalls);
    },
    asio::detached);
  io.run_for(seconds(2));
  REQUIRE(response);
  REQUIRE_FALSE(*response);
  CHECK(response->error().code == expected);
}
