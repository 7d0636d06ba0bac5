#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(20);

/// Calls a target that never answers, while the node stops half a second later.
std::string
CallWhileStopping(const std::string& aPath, const std::string& aFirstBytes)
{
  ServingHarness harness;
  harness.AddTarget("t", [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(aFirstBytes);
    co_await aConnection.Wait(seconds(5));
  });
  const Instant end = MonotonicNow() + milliseconds(500);
  harness.context.draining = true;
  harness.context.requestsEndAt = end;
  asio::steady_timer timer(harness.io, milliseconds(505));
  timer.async_wait([&](const auto&) {
    for (const auto& [target, flow] : harness.context.running) {
      flow->CancelForStop();
    }
  });
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call(aPath, "a", seconds(4));
    },
    kTestLimit));
  CHECK(MonotonicNow() - end < milliseconds(500));
  return response;
}

} // namespace

// Guards against requests that are cut without a response at a planned stop.
TEST_CASE("RequestFlow answers requests that have not ended when the node "
          "stops")
{
  const std::string path = GENERATE("/once/x", "/idempotent/x", "/stream/x");
  CAPTURE(path);
  CHECK(StatusOf(CallWhileStopping(path, "")) == 504);
}

TEST_CASE("RequestFlow closes a started stream when the node stops")
{
  const std::string response =
    CallWhileStopping("/stream/x", StreamHead("a") + Event(1));
  CHECK(StatusOf(response) == 200);
  CHECK_FALSE(IsCompleteStream(response));
}

// Guards against streams that are accepted late in a stop and cut at its end.
TEST_CASE(
  "RequestFlow refuses requests that may not end before the node stops, "
  "once it accepts no connections")
{
  ServingHarness harness;
  int calls = 0;
  harness.AddTarget("t", [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    ++calls;
    co_await aConnection.Write(
      PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "ok"));
  });
  const std::string path = GENERATE("/once/x", "/idempotent/x", "/stream/x");
  CAPTURE(path);
  std::string refusal;
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      harness.context.connectionsEndAt = MonotonicNow();
      harness.context.requestsEndAt = MonotonicNow() + seconds(2);
      refusal = co_await harness.Call(path, "a", seconds(4));
      response = co_await harness.Call("/once/x", "a", seconds(1));
    },
    kTestLimit));
  CHECK(StatusOf(refusal) == 503);
  CHECK(refusal.find("Retry-After") != std::string::npos);
  CHECK(StatusOf(response) == 200);
  CHECK(calls == 1);
}

// Guards against requests that are passed on although the node ends before.
TEST_CASE("RequestFlow refuses requests that cannot end before the node stops")
{
  ServingHarness harness;
  int calls = 0;
  harness.AddTarget("t", [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    ++calls;
    co_await aConnection.Write(
      PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "ok"));
  });
  std::string refusal;
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      harness.context.requestsEndAt = MonotonicNow() + milliseconds(5);
      refusal = co_await harness.Call("/once/x", "a", seconds(4));
      harness.context.requestsEndAt = MonotonicNow() + seconds(2);
      response = co_await harness.Call("/once/x", "a", seconds(4));
    },
    kTestLimit));
  CHECK(StatusOf(refusal) == 503);
  CHECK(refusal.find("Retry-After") != std::string::npos);
  CHECK(StatusOf(response) == 200);
  CHECK(calls == 1);
}
