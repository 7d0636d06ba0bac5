#include "placement/StallDetector.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr Duration kTick = milliseconds(25);

/// Reports progress of the target "t" every `aPass` for the time `aFor`,
/// checking the detector every kTick. Returns the end time.
Instant
SimulatePasses(StallDetector& aDetector,
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
    const auto findings = aDetector.Check(aNow);
    REQUIRE(findings.stalled.empty());
  }
  return aNow;
}

/// Starts three streams at the target "t".
void
StartStreams(StallDetector& aDetector)
{
  for (int i = 0; i < 3; ++i) {
    aDetector.OnSent("t", kStart);
    aDetector.OnProgress("t", true, kStart);
  }
}

/// Time without progress until the target is reported as stalled.
Duration
TimeToStall(StallDetector& aDetector, Instant aSince)
{
  for (Instant now = aSince;; now += kTick) {
    if (!aDetector.Check(now).stalled.empty()) {
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
  StartStreams(fast);
  const Duration fastTime =
    TimeToStall(fast, SimulatePasses(fast, milliseconds(40), seconds(2)));
  StallDetector slow(StallDetector::Options{});
  StartStreams(slow);
  const Duration slowTime =
    TimeToStall(slow, SimulatePasses(slow, milliseconds(120), seconds(2)));
  CHECK(fastTime <= milliseconds(200));
  CHECK(slowTime > fastTime);
  CHECK(slowTime <= milliseconds(350));
}

TEST_CASE("StallDetector suspects a target before it reports a stall")
{
  StallDetector detector(StallDetector::Options{});
  StartStreams(detector);
  const Instant since = SimulatePasses(detector, milliseconds(40), seconds(1));
  bool wasSuspected = false;
  for (Instant now = since;; now += kTick) {
    const auto findings = detector.Check(now);
    wasSuspected = wasSuspected || !findings.suspected.empty();
    if (!findings.stalled.empty()) {
      break;
    }
  }
  CHECK(wasSuspected);
  CHECK(detector.IsAvoided("t", since + milliseconds(300)));
}

TEST_CASE("StallDetector applies maxStallTimeout to a single stream")
{
  StallDetector detector(StallDetector::Options{});
  detector.OnSent("t", kStart);
  detector.OnProgress("t", true, kStart);
  detector.Check(kStart);
  CHECK(TimeToStall(detector, kStart) > milliseconds(800));
}

TEST_CASE("StallDetector reports no stall after its own node was stalled")
{
  StallDetector detector(StallDetector::Options{});
  StartStreams(detector);
  const Instant since = SimulatePasses(detector, milliseconds(40), seconds(1));
  CHECK(detector.Check(since + seconds(3)).stalled.empty());
  CHECK(detector.Check(since + seconds(3) + kTick).stalled.empty());
}

TEST_CASE("StallDetector reports no stall of a target without requests")
{
  StallDetector detector(StallDetector::Options{});
  StartStreams(detector);
  for (int i = 0; i < 3; ++i) {
    detector.OnEnded("t", true);
  }
  detector.Check(kStart + kTick);
  CHECK(detector.Check(kStart + seconds(5)).stalled.empty());
}

// Guards against requests that stay with a stalled target because there was no
// retry at the moment of its stall.
TEST_CASE("StallDetector reports a stall again until the target makes progress")
{
  StallDetector detector(StallDetector::Options{});
  StartStreams(detector);
  const Instant since = SimulatePasses(detector, milliseconds(40), seconds(1));
  int reports = 0;
  Instant now = since;
  for (; now < since + seconds(1); now += kTick) {
    reports += static_cast<int>(detector.Check(now).stalled.size());
  }
  CHECK(reports >= 3);
  CHECK(reports <= 4);
  CHECK(detector.IsAvoided("t", now + milliseconds(1000)));
  detector.OnProgress("t", false, now);
  CHECK(detector.Check(now + kTick).stalled.empty());
  CHECK_FALSE(detector.IsAvoided("t", now + kTick));
}

TEST_CASE("StallDetector tells when any response has last gone on")
{
  StallDetector detector(StallDetector::Options{});
  const Instant start{ seconds(100) };
  detector.OnSent("a", start);
  detector.OnSent("b", start);
  detector.OnProgress("a", true, start + milliseconds(10));
  detector.OnProgress("b", true, start + milliseconds(20));
  detector.OnEnded("b", true);
  CHECK(detector.LastProgressAt() == start + milliseconds(20));
}
