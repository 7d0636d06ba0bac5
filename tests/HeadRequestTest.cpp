#include "ServingHarness.h"
#include "TargetResponses.h"
#include "node/ResponseRelay.h"

using namespace apricottrack;

namespace {

/// A target's response to a HEAD request, which ends with its header.
std::string
HeadResponse(int aStatus, const std::string& aHeaders)
{
  return fmt::format(
    "HTTP/1.1 {} X\r\nX-Signed: 1\r\n{}\r\n", aStatus, aHeaders);
}

/// Serves HTTP on a free address, and returns the bytes that a caller gets for
/// the given ones.
std::string
ExchangeWith(HttpHandler aHandler, const std::string& aBytes)
{
  asio::io_context io{ 1 };
  const std::string address = ServingHarness::FreeAddress(io);
  const auto server = *HttpServer::Make(io.get_executor(),
                                        { .address = address,
                                          .handler = std::move(aHandler),
                                          .errorResponder = {} });
  std::string received;
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      co_await asio::async_write(socket, asio::buffer(aBytes), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(received), kAsTuple);
      io.stop();
    },
    asio::detached);
  io.run_for(seconds(2));
  return received;
}

std::string
RequestLine(std::string_view aMethod, bool aIsLast)
{
  return fmt::format("{} / HTTP/1.1\r\nHost: h\r\n{}\r\n",
                     aMethod,
                     aIsLast ? "Connection: close\r\n" : "");
}

std::size_t
Count(std::string_view aText, std::string_view aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string_view::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

// Guards against bytes of a body after the response to a HEAD request, which
// the caller takes for the next response.
TEST_CASE("HttpExchange writes no body in response to a HEAD request")
{
  const bool isStream = GENERATE(false, true);
  const std::string received = ExchangeWith(
    [&](HttpExchange& aExchange) -> Task<void> {
      if (isStream) {
        co_await aExchange.BeginStream(200, {});
        co_await aExchange.WriteChunk("content");
        co_await aExchange.EndStream();
      } else {
        co_await aExchange.Reply(TextResponse(200, "content"));
      }
    },
    RequestLine("HEAD", false) + RequestLine("GET", true));
  const std::size_t headEnd = received.find("\r\n\r\n") + 4;
  CHECK(received.substr(headEnd).starts_with("HTTP/1.1 200"));
  CHECK(Count(received, "content") == 1);
  const std::string head = received.substr(0, headEnd);
  CHECK(head.find("chunked") == std::string::npos);
  CHECK(Count(head, "Content-Length: 7\r\n") == (isStream ? 0 : 1));
}

TEST_CASE("HttpExchange states the length that the response to a HEAD request "
          "already has")
{
  const std::string received = ExchangeWith(
    [&](HttpExchange& aExchange) -> Task<void> {
      HttpResponse response;
      response.set(boost::beast::http::field::content_length, "25");
      co_await aExchange.Reply(std::move(response));
    },
    RequestLine("HEAD", true));
  CHECK(Count(received, "Content-Length: 25\r\n") == 1);
  CHECK(received.ends_with("\r\n\r\n"));
}

// Guards against a wait for a body that never comes.
TEST_CASE("Fetch takes the header for the whole response to a HEAD request")
{
  ServingHarness harness;
  const std::string framing =
    GENERATE("Content-Length: 25\r\n", "Transfer-Encoding: chunked\r\n", "");
  int connections = 0;
  const std::string address =
    harness.StartScript([&](TargetConnection& aConnection, int) -> Task<void> {
      ++connections;
      while (!(co_await aConnection.ReadRequest()).empty()) {
        co_await aConnection.Write(HeadResponse(200, framing));
      }
    });
  HttpConnectionPool pool(harness.io.get_executor(), {});
  int responses = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      const HttpRequest request(boost::beast::http::verb::head, "/", 11);
      for (int i = 0; i < 3; ++i) {
        const auto response =
          co_await Fetch(pool, address, request, { .timeout = seconds(1) });
        responses += response && response->body().empty() ? 1 : 0;
      }
    },
    seconds(5)));
  CHECK(responses == 3);
  CHECK(connections == 1);
}

TEST_CASE("RequestFlow passes on the response to a HEAD request without a body")
{
  const std::string path =
    GENERATE("/idempotent/x", "/once/x", "/stream/x", "/none/x");
  const int status = GENERATE(200, 404);
  CAPTURE(path, status);
  ServingHarness harness;
  harness.AddTarget("t", [&](TargetConnection& aConnection, int) -> Task<void> {
    while (true) {
      const std::string request = co_await aConnection.ReadRequest();
      if (request.empty()) {
        co_return;
      }
      if (request.starts_with("HEAD")) {
        co_await aConnection.Write(
          HeadResponse(status,
                       "X-Attempt: a\r\nContent-Length: 25\r\nContent-Type: "
                       "text/event-stream\r\n"));
      } else {
        co_await aConnection.Write(
          PlainResponse(200, "X-Signed: 1\r\nX-Attempt: b\r\n", "whole"));
      }
    }
  });
  std::string received;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      tcp::socket socket(harness.io);
      co_await socket.async_connect(harness.callerEndpoint, kAsTuple);
      const std::string requests =
        fmt::format("HEAD {} HTTP/1.1\r\nHost: h\r\nX-Attempt: a\r\n"
                    "X-Timeout: 900\r\n\r\n"
                    "GET /idempotent/x HTTP/1.1\r\nHost: h\r\nX-Attempt: b\r\n"
                    "X-Timeout: 900\r\nConnection: close\r\n\r\n",
                    path);
      co_await asio::async_write(socket, asio::buffer(requests), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(received), kAsTuple);
    },
    seconds(5)));
  CHECK(StatusOf(received) == (path == "/none/x" ? 404 : status));
  const std::size_t headEnd = received.find("\r\n\r\n") + 4;
  CHECK(received.substr(headEnd).starts_with("HTTP/1.1 200"));
  CHECK(received.ends_with("whole"));
  if (path != "/none/x") {
    CHECK(Count(received.substr(0, headEnd), "Content-Length: 25\r\n") == 1);
  }
}

TEST_CASE("ResponseRelay completes an event stream's response to a HEAD "
          "request")
{
  bool complete = false;
  const std::string received = ExchangeWith(
    [&](HttpExchange& aExchange) -> Task<void> {
      ResponseRelay relay(aExchange, "id");
      HttpResponse head;
      head.set(boost::beast::http::field::content_type, "text/event-stream");
      co_await relay.OnHead(head);
      complete = relay.IsComplete();
      co_await relay.Finish();
    },
    RequestLine("HEAD", true));
  CHECK(complete);
  CHECK(StatusOf(received) == 200);
  CHECK(received.ends_with("\r\n\r\n"));
}
