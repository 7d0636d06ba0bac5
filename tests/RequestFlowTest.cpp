#include "ServingHarness.h"

using namespace apricottrack;

namespace {

/// Limit for tests that end by themselves within a second or two.
constexpr Duration kTestLimit = seconds(20);

std::string
StreamHead(const std::string& aAttempt)
{
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "X-Signed: 1\r\nX-Attempt: {}\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     aAttempt);
}

std::string
Chunk(const std::string& aText)
{
  return fmt::format("{:x}\r\n{}\r\n", aText.size(), aText);
}

std::string
Event(int aId)
{
  return Chunk(fmt::format("id: {}\ndata: x\n\n", aId));
}

std::string
PlainResponse(int aStatus,
              const std::string& aHeaders,
              const std::string& aBody)
{
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}",
                     aStatus,
                     aHeaders,
                     aBody.size(),
                     aBody);
}

/// Answers the first connection of any target with events 1 to 3 and closes it,
/// and the second with `aResumed`.
ServingHarness::Script
BreakThenAnswer(std::shared_ptr<int> aCalls, std::string aResumed)
{
  return [aCalls, aResumed](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    if ((*aCalls)++ == 0) {
      co_await aConnection.Write(StreamHead("a") + Event(1) + Event(2) +
                                 Event(3));
    } else {
      co_await aConnection.Write(aResumed);
    }
  };
}

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

namespace {

/// What the other targets do while the first one is silent.
enum class OtherTargets
{
  kAnswer,
  kRefuse,
  kCloseConnection,
  kStaySilent,
};

/// Serves requests at a target that falls silent after its first event and at
/// one that was added afterwards.
class SilentTargetHarness : public ServingHarness
{
public:
  explicit SilentTargetHarness(OtherTargets aOthers)
    : others(aOthers)
  {
    this->AddTarget("t1",
                    [this](TargetConnection& aConnection, int) -> Task<void> {
                      co_await this->AnswerAfterSilence(aConnection);
                    });
  }

  /// Sends `aCount` requests, reports the target of all of them as stalled and
  /// lets it go on after `aSilence`.
  void RunRequests(int aCount, std::string aPath, Duration aSilence)
  {
    this->responses.assign(static_cast<std::size_t>(aCount), {});
    int ended = 0;
    REQUIRE(this->Run(
      [&, aCount]() -> Task<void> {
        for (int i = 0; i < aCount; ++i) {
          asio::co_spawn(
            this->io,
            [&, i]() -> Task<void> {
              this->responses[static_cast<std::size_t>(i)] =
                co_await this->Call(aPath, fmt::format("a{}", i), seconds(3));
              ++ended;
              this->endedDuringSilence += this->isSilent ? 1 : 0;
            },
            asio::detached);
        }
        asio::steady_timer timer(this->io, milliseconds(100));
        co_await timer.async_wait(kAsTuple);
        this->AddTarget(
          "t2", [this](TargetConnection& aConnection, int) -> Task<void> {
            co_await this->AnswerAsOther(aConnection);
          });
        for (const auto& [target, flow] : this->context.running) {
          flow->AbandonTarget();
        }
        timer.expires_after(aSilence);
        co_await timer.async_wait(kAsTuple);
        this->isSilent = false;
        while (ended < aCount) {
          timer.expires_after(milliseconds(10));
          co_await timer.async_wait(kAsTuple);
        }
      },
      kTestLimit));
  }

  std::vector<std::string> responses;
  int endedDuringSilence = 0;

private:
  static std::string StreamHeadOf(const std::string& aRequest)
  {
    const auto start = aRequest.find("X-Attempt: ") + 11;
    return StreamHead(
      aRequest.substr(start, aRequest.find('\r', start) - start));
  }

  Task<void> AnswerAfterSilence(TargetConnection& aConnection)
  {
    const std::string request = co_await aConnection.ReadRequest();
    co_await aConnection.Write(StreamHeadOf(request) + Event(1));
    while (this->isSilent) {
      co_await aConnection.Wait(milliseconds(5));
    }
    co_await aConnection.Write(Event(2) + "0\r\n\r\n");
  }

  Task<void> AnswerAsOther(TargetConnection& aConnection)
  {
    const std::string request = co_await aConnection.ReadRequest();
    switch (this->others) {
      case OtherTargets::kAnswer:
        co_await aConnection.Write(StreamHeadOf(request) + Event(2) +
                                   "0\r\n\r\n");
        break;
      case OtherTargets::kRefuse:
        co_await aConnection.Write(PlainResponse(503, "X-Not-Run: 1\r\n", ""));
        break;
      case OtherTargets::kCloseConnection:
        break;
      case OtherTargets::kStaySilent:
        co_await aConnection.Wait(seconds(5));
        break;
    }
  }

  OtherTargets others;
  bool isSilent = true;
};

} // namespace

// Guards against a response that is cut because other requests took the retry
// that it counted on.
TEST_CASE("RequestFlow cuts no stream of a silent target if the retries do not "
          "suffice for all of them")
{
  SilentTargetHarness harness(OtherTargets::kAnswer);
  // The budget has a single retry while the number of nodes is unknown.
  harness.context.nodeCount.reset();
  harness.RunRequests(4, "/stream/x", milliseconds(300));
  for (const std::string& response : harness.responses) {
    CHECK(response.find("id: 2") != std::string::npos);
    CHECK(IsCompleteStream(response));
  }
}

// Guards against a response that is cut because its target fell silent for a
// moment and the next one could not take the request over.
TEST_CASE("RequestFlow cuts no stream of a silent target before another one "
          "has responded")
{
  const auto others = GENERATE(OtherTargets::kRefuse,
                               OtherTargets::kCloseConnection,
                               OtherTargets::kStaySilent);
  SilentTargetHarness harness(others);
  harness.RunRequests(2, "/stream/x", seconds(1));
  for (const std::string& response : harness.responses) {
    CHECK(response.find("id: 2") != std::string::npos);
    CHECK(IsCompleteStream(response));
  }
}

TEST_CASE("RequestFlow continues streams of a stalled target at another one")
{
  SilentTargetHarness harness(OtherTargets::kAnswer);
  harness.RunRequests(3, "/stream/x", milliseconds(700));
  CHECK(harness.endedDuringSilence == 3);
  for (const std::string& response : harness.responses) {
    CHECK(response.find("id: 2") != std::string::npos);
    CHECK(response.find("id: 2") == response.rfind("id: 2"));
    CHECK(IsCompleteStream(response));
  }
}
