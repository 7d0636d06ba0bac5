#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(30);

struct Counted
{
  /// Requests after the target has first asked for a pause.
  int count = 0;
  bool hasPaused = false;
};

/// Rejects all requests with a 503 that asks for a pause.
ServingHarness::Script
RejectAndPause(Counted& aCounted, std::string aPause)
{
  return [&aCounted, aPause](TargetConnection& aConnection, int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    if (head.empty()) {
      co_return;
    }
    aCounted.count += aCounted.hasPaused ? 1 : 0;
    aCounted.hasPaused = true;
    co_await aConnection.Write(PlainResponse(
      503,
      "X-Signed: 1\r\nX-Attempt: a\r\nX-Not-Run: 1\r\nX-Pause: " + aPause +
        "\r\nConnection: close\r\n",
      "full"));
  };
}

ServingHarness::Script
AnswerAll(int& aCount)
{
  return [&aCount](TargetConnection& aConnection, int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    if (head.empty()) {
      co_return;
    }
    ++aCount;
    co_await aConnection.Write(PlainResponse(
      200, "X-Signed: 1\r\nX-Attempt: a\r\nConnection: close\r\n", "ok"));
  };
}

/// Returns the seconds of the response's Retry-After header; negative without
/// one.
double
RetryAfterOf(const std::string& aResponse)
{
  const std::string name = "Retry-After: ";
  const auto at = aResponse.find(name);
  return at == std::string::npos
           ? -1
           : std::stod(aResponse.substr(at + name.size()));
}

} // namespace

TEST_CASE("RequestFlow sends nothing to a target that has asked for a pause")
{
  ServingHarness harness;
  Counted paused;
  int answeredByOther = 0;
  harness.AddTarget("t1", RejectAndPause(paused, "20"));
  harness.AddTarget("t2", AnswerAll(answeredByOther));
  int answered = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      for (int i = 0; i < 40; ++i) {
        const std::string response =
          co_await harness.Call("/idempotent/x", "a", seconds(2));
        answered += StatusOf(response) == 200 ? 1 : 0;
      }
    },
    kTestLimit));
  REQUIRE(paused.hasPaused);
  CHECK(paused.count == 0);
  CHECK(answered == 40);
}

TEST_CASE("RequestFlow states the end of the pause when all targets have asked "
          "for one")
{
  ServingHarness harness;
  Counted paused;
  harness.AddTarget("t", RejectAndPause(paused, "8"));
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      for (int i = 0; i < 5; ++i) {
        const std::string response =
          co_await harness.Call("/idempotent/x", "a", seconds(2));
        CHECK(StatusOf(response) == 503);
        CHECK(RetryAfterOf(response) >= 7);
        CHECK(RetryAfterOf(response) <= 9);
      }
    },
    kTestLimit));
  CHECK(paused.count == 0);
}

TEST_CASE("RequestFlow waits for the end of a pause that is near")
{
  ServingHarness harness;
  int count = 0;
  harness.AddTarget(
    "t", [&count](TargetConnection& aConnection, int) -> Task<void> {
      if ((co_await aConnection.ReadRequest()).empty()) {
        co_return;
      }
      const bool isFirst = count++ == 0;
      const std::string headers =
        std::string("X-Signed: 1\r\nX-Attempt: a\r\nConnection: close\r\n") +
        (isFirst ? "X-Not-Run: 1\r\nX-Pause: 0.3\r\n" : "");
      co_await aConnection.Write(
        PlainResponse(isFirst ? 503 : 200, headers, "x"));
    });
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      co_await harness.Call("/idempotent/x", "a", seconds(2));
      const Instant start = MonotonicNow();
      const std::string response =
        co_await harness.Call("/idempotent/x", "a", seconds(2));
      CHECK(StatusOf(response) == 200);
      CHECK(MonotonicNow() - start >= milliseconds(200));
    },
    kTestLimit));
  CHECK(count == 2);
}

TEST_CASE("RequestFlow resumes no stream at a target that has asked for a "
          "pause")
{
  ServingHarness harness;
  int count = 0;
  harness.AddTarget(
    "t", [&count](TargetConnection& aConnection, int) -> Task<void> {
      if ((co_await aConnection.ReadRequest()).empty()) {
        co_return;
      }
      if (count++ == 0) {
        co_await aConnection.Write(StreamHead("a") + Event(1));
        // Another request is rejected meanwhile.
        co_await aConnection.Wait(milliseconds(300));
        co_return;
      }
      co_await aConnection.Write(
        PlainResponse(503,
                      "X-Signed: 1\r\nX-Attempt: b\r\nX-Not-Run: 1\r\n"
                      "X-Pause: 20\r\nConnection: close\r\n",
                      "full"));
    });
  std::string stream;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      bool hasEnded = false;
      asio::co_spawn(
        harness.io,
        [&]() -> Task<void> {
          stream = co_await harness.Call("/stream/x", "a", seconds(5), "");
          hasEnded = true;
        },
        asio::detached);
      asio::steady_timer timer(harness.io, milliseconds(100));
      co_await timer.async_wait(kAsTuple);
      co_await harness.Call("/idempotent/x", "b", seconds(1));
      while (!hasEnded) {
        timer.expires_after(milliseconds(50));
        co_await timer.async_wait(kAsTuple);
      }
    },
    kTestLimit));
  CHECK_FALSE(IsCompleteStream(stream));
  CHECK(count == 2);
}
