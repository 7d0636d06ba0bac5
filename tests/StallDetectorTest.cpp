#include "placement/StallDetector.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr Duration kTick = milliseconds(25);

/// Reports progress of the target "t" every `aPass` for the time `aFor`,
/// checking the detector every kTick. Returns the end time.
Instant
PlayPasses(StallDetector& aDetector,
           Duration aPass,
           Duration aFor,
           Instant aNow = kStart)
{
  Instant passAt = aNow + aPass;
  const Instant end = aNow + aFor;
  for (; aNow < end; aNow += kTick) {
    while (passAt <= aNow) {
      aDetector.OnProgress("t", false, passAt);
      passAt += aPass;
    }
    const auto sightings = aDetector.Look(aNow);
    REQUIRE(sightings.stalled.empty());
  }
  return aNow;
}

/// Starts three streams at the target "t".
void
Begin(StallDetector& aDetector)
{
  for (int i = 0; i < 3; ++i) {
    aDetector.OnSent("t", kStart);
    aDetector.OnProgress("t", true, kStart);
  }
}

/// Time without progress until the target is reported as stalled.
Duration
TimeToFlee(StallDetector& aDetector, Instant aSince)
{
  for (Instant now = aSince;; now += kTick) {
    if (!aDetector.Look(now).stalled.empty()) {
      return now - aSince;
    }
    REQUIRE(now - aSince < seconds(2));
  }
}

} // namespace

TEST_CASE(
  "StallDetector reports stalls of fast targets sooner than of slow ones")
{
  StallDetector fast(StallDetector::Options{});
  Begin(fast);
  const Duration fastTime =
    TimeToFlee(fast, PlayPasses(fast, milliseconds(40), seconds(2)));
  StallDetector slow(StallDetector::Options{});
  Begin(slow);
  const Duration slowTime =
    TimeToFlee(slow, PlayPasses(slow, milliseconds(120), seconds(2)));
  CHECK(fastTime <= milliseconds(200));
  CHECK(slowTime > fastTime);
  CHECK(slowTime <= milliseconds(350));
}

TEST_CASE("StallDetector suspects a target before it reports a stall")
{
  StallDetector detector(StallDetector::Options{});
  Begin(detector);
  const Instant since = PlayPasses(detector, milliseconds(40), seconds(1));
  bool doubted = false;
  for (Instant now = since;; now += kTick) {
    const auto sightings = detector.Look(now);
    doubted = doubted || !sightings.doubtful.empty();
    if (!sightings.stalled.empty()) {
      break;
    }
  }
  CHECK(doubted);
  CHECK(detector.Avoids("t", since + milliseconds(300)));
}

TEST_CASE("StallDetector uses the upper bound for a single stream")
{
  StallDetector detector(StallDetector::Options{});
  detector.OnSent("t", kStart);
  detector.OnProgress("t", true, kStart);
  detector.Look(kStart);
  CHECK(TimeToFlee(detector, kStart) > milliseconds(800));
}

TEST_CASE("StallDetector reports no stall after its own node was stalled")
{
  StallDetector detector(StallDetector::Options{});
  Begin(detector);
  const Instant since = PlayPasses(detector, milliseconds(40), seconds(1));
  CHECK(detector.Look(since + seconds(3)).stalled.empty());
  CHECK(detector.Look(since + seconds(3) + kTick).stalled.empty());
}

TEST_CASE("StallDetector reports no stall of a target without requests")
{
  StallDetector detector(StallDetector::Options{});
  Begin(detector);
  for (int i = 0; i < 3; ++i) {
    detector.OnEnded("t", true);
  }
  detector.Look(kStart + kTick);
  CHECK(detector.Look(kStart + seconds(5)).stalled.empty());
}
