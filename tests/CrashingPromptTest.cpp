#include "QuarantineStore.h"
#include "ServingHarness.h"
#include "serving/QuarantineTask.h"

using namespace apricottrack;

namespace {

/// More requests with a crashing part than this must not reach targets.
constexpr int kMaxLateRequests = 3;

/// Answers sound requests with one event. Breaks off the response to any
/// request whose prompt has the part "deadly".
ServingHarness::Script
CrashOnDeadlyPart(std::shared_ptr<int> aCrashes)
{
  return [aCrashes](TargetConnection& aConnection, int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    const bool crashes = head.find("deadly") != std::string::npos;
    *aCrashes += crashes ? 1 : 0;
    co_await aConnection.Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signed: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: xyz\n\n\r\n");
    if (!crashes) {
      co_await aConnection.Write("0\r\n\r\n");
    }
  };
}

} // namespace

// Guards against requests of one kind that crash one target after the other.
TEST_CASE("RequestFlow sends no more requests with a prompt part that crashed "
          "targets")
{
  ServingHarness harness;
  const auto crashes = std::make_shared<int>(0);
  for (int i = 0; i < 24; ++i) {
    harness.AddTarget("t" + std::to_string(i), CrashOnDeadlyPart(crashes));
  }
  QuarantineStore store;
  QuarantineTask quarantineTask(harness.context,
                                store,
                                QuarantineTask::Options{},
                                { .isPlanner = [] { return true; },
                                  .readsStore = [] { return false; },
                                  .onChange = [] {} });
  quarantineTask.Start();
  int crashesBefore = 0;
  std::string soundResponse;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      asio::steady_timer timer(harness.io);
      const auto call = [&](int aNumber, std::string aPart) {
        return harness.Call("/stream/x",
                            "a" + std::to_string(aNumber),
                            seconds(3),
                            fmt::format("shared,{},own{}", aPart, aNumber));
      };
      for (int i = 0; i < 5; ++i) {
        co_await call(2 * i, "sound");
        co_await call(2 * i + 1, "deadly");
        timer.expires_after(milliseconds(150));
        co_await timer.async_wait(kAsTuple);
      }
      REQUIRE(*crashes >= 3);
      timer.expires_after(milliseconds(1500));
      co_await timer.async_wait(kAsTuple);
      crashesBefore = *crashes;
      for (int i = 20; i < 30; ++i) {
        co_await call(i, "deadly");
      }
      soundResponse = co_await call(30, "sound");
    },
    seconds(20)));
  CHECK(*crashes - crashesBefore <= kMaxLateRequests);
  CHECK(StatusOf(soundResponse) == 200);
  CHECK(IsCompleteStream(soundResponse));
}

TEST_CASE("RequestFlow refuses a quarantined prompt with the remaining time")
{
  ServingHarness harness;
  const auto crashes = std::make_shared<int>(0);
  harness.AddTarget("t", CrashOnDeadlyPart(crashes));
  harness.context.quarantine.Add(
    { { .part = "deadly", .remaining = milliseconds(41'500) } },
    MonotonicNow());
  std::string refusal;
  std::string soundResponse;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      refusal =
        co_await harness.Call("/once/x", "a1", seconds(3), "deadly,own");
      // Only the last part, which no other request has.
      soundResponse =
        co_await harness.Call("/stream/x", "a2", seconds(3), "shared,deed");
    },
    seconds(10)));
  CHECK(*crashes == 0);
  CHECK(StatusOf(refusal) == 503);
  CHECK(refusal.find("\r\nRetry-After: 42\r\n") != std::string::npos);
  CHECK(IsCompleteStream(soundResponse));
}

// Guards against a "not run" for a request that a target has begun.
TEST_CASE("RequestFlow fails a started request whose prompt is quarantined")
{
  ServingHarness harness;
  harness.AddTarget("t", [](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Wait(seconds(2));
  });
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      asio::steady_timer timer(harness.io, milliseconds(150));
      timer.async_wait([&](const auto&) {
        harness.context.quarantine.Add(
          { { .part = "deadly", .remaining = seconds(10) } }, MonotonicNow());
        for (const auto& [target, flow] : harness.context.running) {
          flow->CancelIfQuarantined();
        }
      });
      response =
        co_await harness.Call("/idempotent/x", "a1", seconds(3), "deadly,own");
    },
    seconds(10)));
  CHECK(StatusOf(response) == 502);
  CHECK(
    harness.context.crashRecorder.LostSince(Instant{}, MonotonicNow()).empty());
}

TEST_CASE("RequestFlow records lost and answered requests by prompt part")
{
  ServingHarness harness;
  const auto crashes = std::make_shared<int>(0);
  harness.AddTarget("t1", CrashOnDeadlyPart(crashes));
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      co_await harness.Call("/stream/x", "a1", seconds(3), "shared,own1");
      co_await harness.Call("/stream/x", "a2", seconds(3), "deadly,own2");
    },
    seconds(10)));
  const Instant now = MonotonicNow();
  harness.context.crashRecorder.SetSuspects({ "shared", "deadly" });
  CHECK(harness.context.crashRecorder.SuspectAnswers(now) ==
        std::vector<PartAnswers>{ { .part = "shared", .count = 1 } });
  const auto losses = harness.context.crashRecorder.LostSince(Instant{}, now);
  REQUIRE(losses.size() == 1);
  CHECK(losses.front().parts == std::vector<std::string>{ "deadly" });
}
