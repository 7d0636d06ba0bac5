#include "QuarantineStore.h"
#include "TargetResponses.h"
#include "quarantine/RequestIdentity.h"
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
    { { .parts = { "deadly" }, .remaining = milliseconds(41'500) } },
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
          { { .parts = { "deadly" }, .remaining = seconds(10) } },
          MonotonicNow());
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
  REQUIRE(losses.front().parts.size() == 2);
  CHECK(losses.front().parts.front() == "deadly");
  CHECK(IsRequestIdentity(losses.front().parts.back()));
}

// Guards against sound requests that are refused because they share a part with
// deadly ones, and none of them is complete yet.
TEST_CASE("RequestFlow serves sound prompts with a new part that deadly ones "
          "have too")
{
  ServingHarness harness;
  const auto crashes = std::make_shared<int>(0);
  const auto script = [crashes](TargetConnection& aConnection,
                                int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    if (head.find("deadly") != std::string::npos) {
      ++*crashes;
      co_return;
    }
    co_await aConnection.Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signed: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= 40; ++i) {
      co_await aConnection.Wait(milliseconds(75));
      co_await aConnection.Write(Event(i));
    }
    co_await aConnection.Write("0\r\n\r\n");
  };
  for (int i = 0; i < 24; ++i) {
    harness.AddTarget("t" + std::to_string(i), script);
  }
  QuarantineStore store;
  QuarantineTask quarantineTask(harness.context,
                                store,
                                QuarantineTask::Options{},
                                { .isPlanner = [] { return true; },
                                  .readsStore = [] { return false; },
                                  .onChange = [] {} });
  quarantineTask.Start();
  const std::string deadlyParts = GENERATE("deadly,new", "new,deadly");
  CAPTURE(deadlyParts);
  int sent = 0;
  int served = 0;
  int refused = 0;
  const auto call = [&](int aNumber, const std::string& aParts) {
    asio::co_spawn(
      harness.io,
      [&, aNumber, aParts]() -> Task<void> {
        const std::string response =
          co_await harness.Call("/stream/x",
                                "a" + std::to_string(aNumber),
                                seconds(8),
                                fmt::format("first,{},own{}", aParts, aNumber));
        if (aParts == "new") {
          ++sent;
          served += IsCompleteStream(response) ? 1 : 0;
        } else if (aNumber >= 24) {
          refused += StatusOf(response) == 503 ? 1 : 0;
        }
      },
      asio::detached);
  };
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      asio::steady_timer timer(harness.io);
      for (int i = 0; i < 30; i += 2) {
        call(i, deadlyParts);
        call(i + 1, "new");
        timer.expires_after(milliseconds(150));
        co_await timer.async_wait(kAsTuple);
      }
      timer.expires_after(seconds(4));
      co_await timer.async_wait(kAsTuple);
    },
    seconds(20)));
  CHECK(*crashes >= 3);
  CHECK(refused == 3);
  CHECK(sent == 15);
  CHECK(served == sent);
}

// Guards against a quarantine of parts whose streams are long but sound.
TEST_CASE("RequestFlow records a prompt as sound while its stream goes on")
{
  ServingHarness harness;
  // Breaks off after half a second, as with the crash of its target.
  harness.AddTarget("t", [](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(StreamHead("a1"));
    for (int i = 1; i <= 10; ++i) {
      co_await aConnection.Write(Event(i));
      co_await aConnection.Wait(milliseconds(50));
    }
  });
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      co_await harness.Call("/stream/x", "a1", seconds(3), "shared,own");
    },
    seconds(10)));
  const Instant now = MonotonicNow();
  harness.context.crashRecorder.SetSuspects({ "shared" });
  CHECK(harness.context.crashRecorder.SuspectAnswers(now).size() == 1);
  CHECK(harness.context.crashRecorder.LostSince(Instant{}, now).empty());
}
