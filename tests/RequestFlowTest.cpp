#include "TargetResponses.h"

using namespace apricottrack;

namespace {

/// Limit for tests that end by themselves within a second or two.
constexpr Duration kTestLimit = seconds(20);

} // namespace

TEST_CASE("RequestFlow resumes a broken stream at another target")
{
  ServingHarness harness;
  const auto calls = std::make_shared<int>(0);
  const auto script =
    BreakThenAnswer(calls, StreamHead("a") + Event(4) + "0\r\n\r\n");
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(3));
    },
    kTestLimit));
  CHECK(response.find("id: 4") != std::string::npos);
  CHECK(IsCompleteStream(response));
}

// Guards against a truncated response that looks complete to its caller.
TEST_CASE("RequestFlow does not complete a stream whose continuation is no "
          "event stream")
{
  const std::string headers = "X-Signed: 1\r\nX-Attempt: a\r\n";
  const std::string resumed =
    GENERATE_COPY(PlainResponse(200, headers, "{}"),
                  PlainResponse(200, headers, ""),
                  PlainResponse(404, headers, "gone"),
                  PlainResponse(500, headers, "failed"));
  ServingHarness harness;
  const auto calls = std::make_shared<int>(0);
  harness.AddTarget("t1", BreakThenAnswer(calls, resumed));
  harness.AddTarget("t2", BreakThenAnswer(calls, resumed));
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(2));
    },
    kTestLimit));
  CHECK(*calls == 2);
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("id: 3") != std::string::npos);
  CHECK_FALSE(IsCompleteStream(response));
}

TEST_CASE("RequestFlow does not pass on a response that broke off as complete")
{
  // The declared length exceeds the bytes that are sent.
  ServingHarness harness;
  const auto script = [](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write("HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Attempt: a"
                               "\r\nContent-Length: 1000\r\n\r\nonly this");
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  const std::string path = GENERATE("/idempotent/x", "/once/x");
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call(path, "a", seconds(2));
    },
    kTestLimit));
  CHECK(StatusOf(response) == 502);
}

// After a lost response, a request that may run once is neither sent again nor
// reported as not run.
TEST_CASE("RequestFlow reports a lost response as unknown and does not repeat "
          "the request")
{
  ServingHarness harness;
  int calls = 0;
  const auto script = [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    ++calls;
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/once/x", "a", seconds(2));
    },
    kTestLimit));
  CHECK(calls == 1);
  CHECK(StatusOf(response) == 502);
}

// A target may send a second copy of a response when its connection is already
// used for the next request.
TEST_CASE("RequestFlow never returns a late second copy of another response")
{
  const bool copyNamesRequest = GENERATE(true, false);
  const std::string named = copyNamesRequest ? "X-Attempt: first\r\n" : "";
  ServingHarness harness;
  harness.AddTarget(
    "t1", [&](TargetConnection& aConnection, int) -> Task<void> {
      if ((co_await aConnection.ReadRequest()).empty()) {
        co_return;
      }
      co_await aConnection.Write(PlainResponse(
        200, "X-Signed: 1\r\nX-Attempt: first\r\n", "for the first"));
      if ((co_await aConnection.ReadRequest()).empty()) {
        co_return;
      }
      co_await aConnection.Write(
        PlainResponse(200, "X-Signed: 1\r\n" + named, "for the first"));
      co_await aConnection.Write(PlainResponse(
        200, "X-Signed: 1\r\nX-Attempt: second\r\n", "for the second"));
    });
  std::string first;
  std::string second;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      first = co_await harness.Call("/idempotent/x", "first", seconds(2));
      second = co_await harness.Call("/idempotent/x", "second", seconds(2));
    },
    kTestLimit));
  CHECK(first.ends_with("for the first"));
  CHECK_FALSE(second.ends_with("for the first"));
}

// A target in trouble may send bytes until its caller closes the connection.
// The time is bounded by the request's deadline, the memory by the limits on a
// response's parts.
TEST_CASE("RequestFlow ends a response without end at the deadline at the "
          "latest")
{
  struct Flood
  {
    const char* description;
    const char* path;
    std::string head;
    std::string repeated;
    /// Bytes after which the connection must have been closed.
    std::size_t maxBytes;
  };
  constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
  const std::string filler(std::size_t{ 16 } * 1024, 'x');
  const std::string foreign =
    "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Attempt: other\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
  const auto flood = GENERATE_COPY(values<Flood>(
    { { "header line",
        "/once/x",
        "HTTP/1.1 200 OK\r\nX: ",
        filler,
        4 * kMegabyte },
      { "bytes that are no response", "/once/x", "", filler, 4 * kMegabyte },
      { "interim responses",
        "/once/x",
        "",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        4 * kMegabyte },
      { "plain body",
        "/once/x",
        "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Attempt: a\r\n\r\n",
        filler,
        24 * kMegabyte },
      { "event without end",
        "/stream/x",
        StreamHead("a"),
        Chunk(filler),
        8 * kMegabyte },
      { "response to another request",
        "/once/x",
        foreign,
        Chunk(filler),
        24 * kMegabyte } }));
  CAPTURE(flood.description);
  ServingHarness harness;
  std::size_t written = 0;
  const auto script = [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    bool open = co_await aConnection.Write(flood.head);
    while (open) {
      open = co_await aConnection.Write(flood.repeated);
    }
    written = std::max(written, aConnection.written);
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  const Instant start = MonotonicNow();
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call(flood.path, "a", milliseconds(1500));
    },
    kTestLimit));
  CHECK(MonotonicNow() - start < seconds(2));
  CHECK(StatusOf(response) != 503);
  CHECK_FALSE((StatusOf(response) == 200 && IsCompleteStream(response)));
  harness.io.restart();
  harness.io.run_for(milliseconds(100));
  CHECK(written > 0);
  CHECK(written < flood.maxBytes);
}

// A byte now and then is no progress of a stream.
TEST_CASE("RequestFlow ends a stream that drips bytes without an event")
{
  ServingHarness harness;
  const auto script = [](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    bool open = co_await aConnection.Write(StreamHead("a") + Event(1));
    while (open) {
      co_await aConnection.Wait(milliseconds(1));
      open = co_await aConnection.Write(Chunk("x"));
    }
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  const Instant start = MonotonicNow();
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(1));
    },
    kTestLimit));
  CHECK(MonotonicNow() - start < milliseconds(1500));
  CHECK(response.find("id: 1") != std::string::npos);
  CHECK_FALSE(IsCompleteStream(response));
}

TEST_CASE("RequestFlow keeps a slow stream whose events arrive in time")
{
  ServingHarness harness;
  harness.AddTarget("t1", [](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(StreamHead("a"));
    for (int id = 1; id <= 8; ++id) {
      co_await aConnection.Wait(milliseconds(200));
      co_await aConnection.Write(Event(id));
    }
    co_await aConnection.Write("0\r\n\r\n");
  });
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(4));
    },
    kTestLimit));
  CHECK(response.find("id: 8") != std::string::npos);
  CHECK(IsCompleteStream(response));
}

// Guards against a caller without response, as the HTTP library throws on it.
TEST_CASE("RequestFlow passes on a TRACE request with a body")
{
  ServingHarness harness;
  std::string received;
  harness.AddTarget("t", [&](TargetConnection& aConnection, int) -> Task<void> {
    received = co_await aConnection.ReadRequest();
    co_await aConnection.Write(
      PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "ok"));
  });
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      tcp::socket socket(harness.io);
      co_await socket.async_connect(harness.callerEndpoint, kAsTuple);
      const std::string request =
        "TRACE /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Attempt: "
        "a\r\nX-Timeout: 900\r\nContent-Length: 2\r\n\r\nhi";
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      co_await asio::async_read(
        socket, asio::dynamic_buffer(response), kAsTuple);
    },
    kTestLimit));
  CHECK(StatusOf(response) == 200);
  CHECK(received.find("Content-Length: 2\r\n") != std::string::npos);
  CHECK(harness.context.running.empty());
}

// Guards against the callers of a target in trouble getting a status that HTTP
// does not allow.
TEST_CASE("RequestFlow passes on no status outside of the range of HTTP")
{
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  const std::pair<std::string, int> sample =
    GENERATE(std::pair<std::string, int>{ "/once/x", 502 },
             std::pair<std::string, int>{ "/idempotent/x", 200 },
             std::pair<std::string, int>{ "/stream/x", 200 });
  CAPTURE(status, sample.first);
  ServingHarness harness;
  auto calls = std::make_shared<int>(0);
  const ServingHarness::Script script = [&](TargetConnection& aConnection,
                                            int) -> Task<void> {
    while (!(co_await aConnection.ReadRequest()).empty()) {
      std::string bytes =
        fmt::format("HTTP/1.1 {} X\r\nX-Signed: 1\r\nX-Attempt: a\r\n"
                    "Content-Length: 3\r\n\r\nodd",
                    status);
      if (++*calls > 1) {
        bytes =
          sample.first == "/stream/x"
            ? StreamHead("a") + Event(1) + Chunk("")
            : PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "whole");
      }
      co_await aConnection.Write(std::move(bytes));
    }
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call(sample.first, "a", seconds(3));
    },
    kTestLimit));
  CHECK(StatusOf(response) == sample.second);
  CHECK(response.find("odd") == std::string::npos);
}

TEST_CASE("RequestFlow continues a stream after a status outside of the range "
          "of HTTP")
{
  ServingHarness harness;
  auto calls = std::make_shared<int>(0);
  const ServingHarness::Script script = [&](TargetConnection& aConnection,
                                            int) -> Task<void> {
    co_await aConnection.ReadRequest();
    const int call = ++*calls;
    std::string bytes = StreamHead("a") + Event(call == 1 ? 1 : 2);
    if (call == 2) {
      bytes.replace(9, 3, "600");
    }
    if (call > 1) {
      bytes += Chunk("");
    }
    co_await aConnection.Write(std::move(bytes));
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  harness.AddTarget("t3", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(6));
    },
    kTestLimit));
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("600") == std::string::npos);
  CHECK((!IsCompleteStream(response) ||
         response.find("id: 2") != std::string::npos));
}
