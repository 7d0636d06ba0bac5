#include "TargetResponses.h"

using namespace apricottrack;

namespace {

/// Limit for tests that end by themselves within a second or two.
constexpr Duration kTestLimit = seconds(20);

} // namespace

// Guards against a caller that finds an error's text or head in its stream.
TEST_CASE("RequestFlow passes no byte of an error on within a stream")
{
  const std::string own = "X-Signed: 1\r\nX-Attempt: a\r\n";
  const std::string events = "Content-Type: text/event-stream\r\n";
  const std::string text = "id: 4\ndata: odd\n\n";
  const auto chunked = [&](const std::string& aStatus,
                           const std::string& aHeaders) {
    return "HTTP/1.1 " + aStatus + " X\r\n" + aHeaders +
           "Transfer-Encoding: chunked\r\n\r\n" + Chunk(text) + "0\r\n\r\n";
  };
  const std::string resumed = GENERATE_COPY(
    PlainResponse(500, own + events, text),
    PlainResponse(503, own + events + "X-Not-Run: 1\r\n", text),
    PlainResponse(503, "X-Not-Run: 1\r\n", text),
    PlainResponse(200, "X-Attempt: a\r\n" + events, text),
    PlainResponse(200, events, text),
    PlainResponse(200, own, text),
    PlainResponse(200, "X-Signed: 1\r\nX-Attempt: other\r\n" + events, text),
    PlainResponse(204, own + events, ""),
    PlainResponse(302, own + events, text),
    chunked("500", own + events),
    chunked("200", events),
    chunked("200", own),
    // Without a length, the body ends with the connection.
    "HTTP/1.1 500 X\r\n" + own + events + "\r\n" + text,
    "HTTP/1.1 200 X\r\n" + events + "\r\n" + text,
    "HTTP/1.1 200 X\r\n" + own + "\r\n" + text,
    "odd text\n\n" + text);
  CAPTURE(resumed);
  ServingHarness harness;
  const auto calls = std::make_shared<int>(0);
  harness.AddTarget("t1", BreakThenAnswer(calls, resumed));
  harness.AddTarget("t2", BreakThenAnswer(calls, resumed));
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(1));
    },
    kTestLimit));
  CHECK(*calls == 2);
  CHECK(StatusOf(response) == 200);
  CHECK(response.ends_with(Event(3)));
  CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
}

// Guards against a stream that joins bytes of two targets within an event.
TEST_CASE("RequestFlow discards a partial event or an error's head at the "
          "break of a stream")
{
  const std::string partial =
    GENERATE("id: 4\ndata: par",
             "id: 4\n",
             "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed",
             "{\"error\":\"failed\"}\n");
  const std::string streamHead = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\n"
                                 "Content-Type: text/event-stream\r\n"
                                 "X-Attempt: a\r\n";
  // The first target's stream has chunks, no length, or too large a length.
  const std::string framing =
    GENERATE("Transfer-Encoding: chunked\r\n", "", "Content-Length: 1000\r\n");
  CAPTURE(partial, framing);
  const bool isChunked = framing.starts_with("Transfer");
  const std::string first = "id: 1\ndata: x\n\n" + partial;
  const std::string broken =
    streamHead + framing + "\r\n" + (isChunked ? Chunk(first) : first);
  ServingHarness harness;
  int calls = 0;
  const auto script = [&](TargetConnection& aConnection, int) -> Task<void> {
    const std::string request = co_await aConnection.ReadRequest();
    if (calls++ == 0) {
      co_await aConnection.Write(broken);
    } else {
      CHECK(request.find("Last-Event-Id: 1\r\n") != std::string::npos);
      co_await aConnection.Write(StreamHead("a") + Event(2) + "0\r\n\r\n");
    }
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(2));
    },
    kTestLimit));
  CHECK(calls == 2);
  CHECK(response.ends_with(Event(1) + Event(2) + "0\r\n\r\n"));
}

// Guards against a stream that is cut because both targets that may run it were
// interrupted for a moment, although one of them is sound again.
TEST_CASE(
  "RequestFlow continues a stream at a target that it has called before")
{
  ServingHarness harness;
  const auto calls = std::make_shared<int>(0);
  const auto script = [calls](TargetConnection& aConnection,
                              int) -> Task<void> {
    co_await aConnection.ReadRequest();
    const int call = (*calls)++;
    if (call < 2) {
      // Each of the two targets ends its first response after one event.
      co_await aConnection.Write(StreamHead("a") + Event(call + 1));
      co_return;
    }
    co_await aConnection.Write(StreamHead("a") + Event(3) + "0\r\n\r\n");
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(4));
    },
    kTestLimit));
  CHECK(StatusOf(response) == 200);
  CHECK(IsCompleteStream(response));
}

// Guards against a stream that more targets run than its route allows.
TEST_CASE("RequestFlow continues a stream at no more targets than its route "
          "allows")
{
  ServingHarness harness;
  std::set<std::string> runners;
  int calls = 0;
  for (const std::string id : { "t1", "t2", "t3" }) {
    harness.AddTarget(
      id, [&, id](TargetConnection& aConnection, int) -> Task<void> {
        co_await aConnection.ReadRequest();
        runners.insert(id);
        co_await aConnection.Write(StreamHead("a") + Event(++calls));
      });
  }
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(4));
    },
    kTestLimit));
  CHECK(runners.size() == 2);
  CHECK(calls >= 3);
  CHECK_FALSE(IsCompleteStream(response));
}

// Guards against a prompt that crashes the same targets again and again.
TEST_CASE("RequestFlow does not return to a target with a prompt that was not "
          "proven sound")
{
  ServingHarness harness;
  int calls = 0;
  const auto script = [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(StreamHead("a") + Event(++calls));
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(4), "p,own");
    },
    kTestLimit));
  CHECK(calls == 2);
  CHECK_FALSE(IsCompleteStream(response));
}

// Guards against a stream that is cut although its prompt cannot have crashed
// its targets.
TEST_CASE("RequestFlow returns to a target with a prompt that was proven sound")
{
  ServingHarness harness;
  int calls = 0;
  const auto script = [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    const int call = calls++;
    co_await aConnection.Write(StreamHead("a") + Event(2 * call + 1));
    co_await aConnection.Wait(milliseconds(400));
    co_await aConnection.Write(Event(2 * call + 2) +
                               (call == 2 ? "0\r\n\r\n" : ""));
  };
  harness.AddTarget("t1", script);
  harness.AddTarget("t2", script);
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(8), "p,own");
    },
    kTestLimit));
  CHECK(calls == 3);
  CHECK(response.ends_with(Event(6) + "0\r\n\r\n"));
}

// Guards against a caller that waits for a stream that cannot continue.
TEST_CASE("RequestFlow cuts a stream that finds no target for two seconds")
{
  ServingHarness harness;
  harness.AddTarget("t1", BreakThenAnswer(std::make_shared<int>(0), ""));
  std::string response;
  const Instant start = MonotonicNow();
  asio::co_spawn(
    harness.io,
    [&]() -> Task<void> {
      asio::steady_timer timer(harness.io, milliseconds(500));
      co_await timer.async_wait(kAsTuple);
      harness.context.stalls.OnFailure("t1", start + seconds(60));
    },
    asio::detached);
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(8));
    },
    kTestLimit));
  CHECK(StatusOf(response) == 200);
  CHECK_FALSE(IsCompleteStream(response));
  CHECK(MonotonicNow() - start > milliseconds(1900));
  CHECK(MonotonicNow() - start < seconds(3));
}

// Guards against a stream that is cut for want of a place or a retry that
// becomes available a moment later.
TEST_CASE("RequestFlow continues a stream once a target and a retry are "
          "available")
{
  const bool lacksRetry = GENERATE(true, false);
  CAPTURE(lacksRetry);
  ServingHarness harness;
  const auto calls = std::make_shared<int>(0);
  const auto script =
    BreakThenAnswer(calls, StreamHead("a") + Event(4) + "0\r\n\r\n");
  harness.AddTarget("t1", script);
  auto& budgets = harness.context.retryBudgets;
  if (lacksRetry) {
    harness.AddTarget("t2", script);
    budgets.try_emplace("app", RetryBudget::Options{ .ratio = 0, .reserve = 1 })
      .first->second.TryConsume();
  }
  std::string response;
  asio::co_spawn(
    harness.io,
    [&]() -> Task<void> {
      asio::steady_timer timer(harness.io, milliseconds(500));
      co_await timer.async_wait(kAsTuple);
      CHECK(*calls == 1);
      if (lacksRetry) {
        budgets.clear();
      } else {
        harness.AddTarget("t2", script);
      }
    },
    asio::detached);
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", seconds(4));
    },
    kTestLimit));
  CHECK(*calls == 2);
  CHECK(response.ends_with(Event(3) + Event(4) + "0\r\n\r\n"));
}

// Guards against an interrupted stream that outlives its caller or its node.
TEST_CASE("RequestFlow ends an interrupted stream when its caller leaves or "
          "its node stops")
{
  const bool callerLeaves = GENERATE(true, false);
  CAPTURE(callerLeaves);
  ServingHarness harness;
  harness.AddTarget("t1", BreakThenAnswer(std::make_shared<int>(0), ""));
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      tcp::socket socket(harness.io);
      co_await socket.async_connect(harness.callerEndpoint, kAsTuple);
      const std::string request = "GET /stream/x HTTP/1.1\r\nHost: h\r\n"
                                  "X-Attempt: a\r\nX-Timeout: 9000\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      asio::steady_timer timer(harness.io, milliseconds(300));
      co_await timer.async_wait(kAsTuple);
      CHECK(harness.context.inFlight == 1);
      if (callerLeaves) {
        socket.close();
      } else {
        harness.context.requestsEndAt = MonotonicNow() + milliseconds(20);
      }
      timer.expires_after(milliseconds(200));
      co_await timer.async_wait(kAsTuple);
      CHECK(harness.context.inFlight == 0);
    },
    kTestLimit));
}
