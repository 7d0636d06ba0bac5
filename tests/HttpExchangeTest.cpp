#include "ServingHarness.h"

using namespace apricottrack;

// Guards against callers that send a request on an idle connection while the
// server closes it.
TEST_CASE("HttpExchange announces for how long a connection may be reused")
{
  asio::io_context io{ 1 };
  const bool isStream = GENERATE(true, false);
  const bool isClosing = GENERATE(true, false);
  HttpServer::Options options{
    .address = ServingHarness::FreeAddress(io),
    .limits = { .idleTimeout = seconds(15) },
    .handler = [&](HttpExchange& aExchange) -> Task<void> {
      if (isStream) {
        co_await aExchange.BeginStream(200, {});
        co_await aExchange.EndStream();
      } else {
        co_await aExchange.Reply(TextResponse(200, "served"));
      }
      io.stop();
    },
    .errorResponder = {}
  };
  const std::string address = options.address;
  const auto server = *HttpServer::Make(io.get_executor(), std::move(options));
  if (isClosing) {
    server->CloseAfterNextResponse();
  }
  std::string head;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      TargetConnection connection(std::move(socket));
      co_await connection.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      head = co_await connection.ReadRequest();
    },
    asio::detached);
  io.run_for(seconds(5));
  io.restart();
  io.run_for(milliseconds(100));
  const bool announces =
    head.find("Keep-Alive: timeout=12\r\n") != std::string::npos;
  const bool closes = head.find("Connection: close\r\n") != std::string::npos;
  CHECK(StatusOf(head) == 200);
  CHECK(announces == !isClosing);
  CHECK(closes == isClosing);
}
