#include "QuarantineStore.h"
#include "TargetResponses.h"
#include "serving/QuarantineTask.h"

using namespace apricottrack;

namespace {

/// More repeats of a request that crashed targets must not reach targets.
constexpr int kMaxLateRepeats = 3;

/// Breaks the connection of each request whose path contains "deadly", and
/// answers all others.
ServingHarness::Script
CrashOnDeadlyPath(std::shared_ptr<int> aCrashes)
{
  return [aCrashes](TargetConnection& aConnection, int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    if (head.find("deadly") != std::string::npos) {
      ++*aCrashes;
      co_return;
    }
    co_await aConnection.Write(
      PlainResponse(200, "X-Signed: 1\r\nConnection: close\r\n", "ok"));
  };
}

} // namespace

TEST_CASE("RequestFlow sends no more repeats of a request that crashed targets")
{
  const std::string path = GENERATE("/idempotent/", "/once/");
  CAPTURE(path);
  ServingHarness harness;
  const auto crashes = std::make_shared<int>(0);
  for (int i = 0; i < 12; ++i) {
    harness.AddTarget("t" + std::to_string(i), CrashOnDeadlyPath(crashes));
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
  std::string refusal;
  int soundAnswers = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      asio::steady_timer timer(harness.io);
      const auto call = [&](int aNumber, std::string aLast) {
        return harness.Call(
          path + aLast, "a" + std::to_string(aNumber), seconds(3), "");
      };
      for (int i = 0; i < 4; ++i) {
        co_await call(i, "deadly");
        timer.expires_after(milliseconds(200));
        co_await timer.async_wait(kAsTuple);
      }
      REQUIRE(*crashes >= 3);
      timer.expires_after(milliseconds(1500));
      co_await timer.async_wait(kAsTuple);
      crashesBefore = *crashes;
      for (int i = 20; i < 30; ++i) {
        refusal = co_await call(i, "deadly");
        const std::string response = co_await call(i + 10, "sound");
        soundAnswers += StatusOf(response) == 200 ? 1 : 0;
      }
    },
    seconds(20)));
  CHECK(*crashes - crashesBefore <= kMaxLateRepeats);
  CHECK(StatusOf(refusal) == 503);
  CHECK(refusal.find("Retry-After: ") != std::string::npos);
  CHECK(soundAnswers == 10);
}
