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
