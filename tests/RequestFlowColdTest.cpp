#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(30);

ServingHarness::Script
AnswerAndCount(int& aCount)
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

void
Evacuate(ServingHarness& aHarness, const ZoneEvacuations::Zones& aZones)
{
  static Revision revision = 0;
  aHarness.context.evacuations.Apply(
    { .zones = aZones, .revision = ++revision }, MonotonicNow());
  aHarness.context.candidates.Rebuild(
    aHarness.context.catalog.Current()->Contents(),
    aHarness.context.fleet,
    {},
    {},
    aHarness.context.evacuations.Evacuated());
}

} // namespace

TEST_CASE("RequestFlow prefers warm targets to cold ones")
{
  ServingHarness harness;
  int coldCount = 0;
  int warmCount = 0;
  harness.AddTarget("t1", AnswerAndCount(coldCount));
  harness.AddTarget("t2", AnswerAndCount(warmCount));
  const Instant now = MonotonicNow();
  harness.context.limits.OnCold("t1", 1000, now + seconds(60), now);
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      for (int i = 0; i < 20; ++i) {
        co_await harness.Call("/idempotent/x", "a", seconds(1));
      }
    },
    kTestLimit));
  CHECK(coldCount == 0);
  CHECK(warmCount == 20);
}

// The load: more requests than the only target, which is cold, accepts.
TEST_CASE("RequestFlow sends a cold target no more than its turns")
{
  ServingHarness harness;
  int count = 0;
  harness.AddTarget("t", AnswerAndCount(count));
  const Instant now = MonotonicNow();
  harness.context.limits.OnCold("t", 2, now + seconds(60), now);
  int refused = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      for (int i = 0; i < 40; ++i) {
        const std::string response =
          co_await harness.Call("/once/x", "a", milliseconds(100));
        refused += StatusOf(response) == 503 ? 1 : 0;
      }
    },
    kTestLimit));
  CHECK(count + refused == 40);
  const double elapsed = ToSeconds(MonotonicNow() - now);
  CHECK(count <= 2 * elapsed + 1.5);
}

TEST_CASE("RequestFlow sends nothing to a zone from its evacuation until it is "
          "taken back")
{
  ServingHarness harness;
  int count = 0;
  harness.AddTarget("t", AnswerAndCount(count));
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      Evacuate(harness, { "a" });
      const std::string refusal =
        co_await harness.Call("/once/x", "a", seconds(1));
      CHECK(StatusOf(refusal) == 503);
      CHECK(refusal.find("Retry-After: ") != std::string::npos);
      Evacuate(harness, {});
      const std::string response =
        co_await harness.Call("/once/x", "a", seconds(1));
      CHECK(StatusOf(response) == 200);
    },
    kTestLimit));
  CHECK(count == 1);
}
