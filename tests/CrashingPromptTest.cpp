#include "ServingHarness.h"

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
