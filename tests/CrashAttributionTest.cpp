#include "quarantine/CrashAttribution.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

using Parts = std::vector<std::string>;

/// A CrashAttribution with the nodes that report to it, on virtual time.
class AttributionDay
{
public:
  /// One target crashes and its requests are lost; each element has the parts
  /// of one request.
  void Crash(std::vector<Parts> aRequests)
  {
    const std::string target = "t" + std::to_string(this->crashCount++);
    for (Parts& parts : aRequests) {
      this->attribution.RecordLosses(
        { { .target = target, .parts = std::move(parts) } }, this->now);
    }
  }

  /// Sets how many requests with a part a node has answered.
  void SetAnswers(const std::string& aPart, int aCount)
  {
    this->answers.push_back({ .part = aPart, .count = aCount });
  }

  /// Advances the time with updates in between, and returns the combinations
  /// that were quarantined, with "+" between their parts.
  Parts Advance(Duration aTime)
  {
    constexpr Duration kStep = milliseconds(100);
    Parts quarantined;
    for (const Instant end = this->now + aTime; this->now < end;) {
      this->now += kStep;
      this->attribution.RecordAnswers("n", this->answers);
      for (const QuarantinedParts& item : this->attribution.Update(this->now)) {
        quarantined.push_back(fmt::format("{}", fmt::join(item.parts, "+")));
        this->lastDuration = item.remaining;
      }
    }
    return quarantined;
  }

  CrashAttribution attribution{ CrashAttribution::Options{} };
  Instant now{ seconds(1000) };
  Duration lastDuration = Duration::zero();

private:
  int crashCount = 0;
  std::vector<PartAnswers> answers;
};

} // namespace

TEST_CASE("CrashAttribution quarantines the part that its crashes share")
{
  AttributionDay day;
  day.SetAnswers("system", 200);
  day.SetAnswers("tenant", 40);
  day.Crash({ { "system", "tenant", "deadly" }, { "system", "other" } });
  CHECK(day.Advance(seconds(1)).empty());
  day.Crash({ { "system", "tenant", "deadly" }, { "system" } });
  CHECK(day.Advance(seconds(1)).empty());
  day.Crash({ { "system", "tenant", "deadly" } });
  CHECK(day.Advance(seconds(1)) == Parts{ "deadly" });
  CHECK(day.lastDuration == seconds(120));
}

TEST_CASE("CrashAttribution does not quarantine parts that are answered")
{
  AttributionDay day;
  day.SetAnswers("system", 50);
  for (int i = 0; i < 6; ++i) {
    day.Crash({ { "system", "own" + std::to_string(i) } });
    CHECK(day.Advance(seconds(1)).empty());
  }
  CHECK(day.attribution.Suspects() == Parts{ "system" });
}

// Guards against a quarantine after the loss of a zone or of a replica.
TEST_CASE("CrashAttribution counts targets that fail together once")
{
  AttributionDay day;
  for (int i = 0; i < 12; ++i) {
    day.Crash({ { "system", "rare" } });
  }
  CHECK(day.Advance(seconds(3)).empty());
}

TEST_CASE("CrashAttribution counts a target's late reports as the same crash")
{
  CrashAttribution attribution{ CrashAttribution::Options{} };
  const Instant start{ seconds(1000) };
  for (int i = 0; i < 5; ++i) {
    attribution.RecordLosses({ { .target = "t", .parts = { "a" } } },
                             start + milliseconds(150 * i));
  }
  CHECK(attribution.Suspects().empty());
  CHECK(attribution.Update(start + seconds(1)).empty());
  CHECK(attribution.Suspects().empty());
}

// A quarantined part accounts for its crashes; the others that it was seen with
// must not follow it.
TEST_CASE("CrashAttribution does not blame companions of a quarantined part")
{
  AttributionDay day;
  for (int i = 0; i < 3; ++i) {
    day.Crash({ { "rare", "deadly" } });
    day.Advance(milliseconds(200));
  }
  CHECK(day.Advance(seconds(1)) == Parts{ "deadly+rare" });
  // Requests that were on their way.
  day.Crash({ { "rare", "deadly" } });
  CHECK(day.Advance(seconds(3)).empty());
  // A second deadly part with the same companion.
  for (int i = 0; i < 3; ++i) {
    day.Crash({ { "rare", "second" } });
    day.Advance(milliseconds(200));
  }
  CHECK(day.Advance(seconds(1)) == Parts{ "rare+second" });
}

// Guards against a sound part in quarantine in place of the deadly one, because
// none of its responses is complete yet.
TEST_CASE("CrashAttribution quarantines parts that cannot be told apart only "
          "together")
{
  AttributionDay day;
  day.SetAnswers("system", 200);
  const bool isDeadlyPartFirst = GENERATE(true, false);
  const Parts deadly = isDeadlyPartFirst ? Parts{ "system", "deadly", "new" }
                                         : Parts{ "system", "new", "deadly" };
  const auto crash = [&](const Parts& aParts) {
    // Sound requests are lost with the deadly one.
    day.Crash({ { "system", "new" }, aParts, { "system", "old" } });
    return day.Advance(milliseconds(700));
  };
  crash(deadly);
  crash(deadly);
  Parts quarantined = crash(deadly);
  if (quarantined.empty()) {
    quarantined = day.Advance(seconds(1));
  }
  CHECK(quarantined == Parts{ "deadly+new" });
  // The deadly part with another companion.
  day.SetAnswers("new", 10);
  for (int i = 0; i < 2; ++i) {
    CHECK(crash({ "system", "deadly" }).empty());
  }
  quarantined = crash({ "system", "deadly" });
  if (quarantined.empty()) {
    quarantined = day.Advance(seconds(1));
  }
  CHECK(quarantined == Parts{ "deadly" });
  CHECK(day.Advance(seconds(100)).empty());
}

TEST_CASE("CrashAttribution waits for the answers of all nodes")
{
  AttributionDay day;
  for (int i = 0; i < 3; ++i) {
    day.Crash({ { "a" } });
    day.now += milliseconds(150);
  }
  // Two crashes made the part a suspect with the first update only.
  CHECK(day.Advance(milliseconds(500)).empty());
  day.SetAnswers("a", 20);
  CHECK(day.Advance(seconds(5)).empty());
}

TEST_CASE("CrashAttribution doubles the quarantine after a crash on probation")
{
  AttributionDay day;
  for (int i = 0; i < 3; ++i) {
    day.Crash({ { "deadly" } });
    day.Advance(milliseconds(300));
  }
  day.Advance(seconds(1));
  REQUIRE(day.lastDuration == seconds(120));
  day.Advance(seconds(130));
  day.Crash({ { "deadly" } });
  CHECK(day.Advance(milliseconds(200)) == Parts{ "deadly" });
  CHECK(day.lastDuration == seconds(240));
}

// Guards against blaming the companions of a part that the previous planner
// has quarantined, for crashes that it has attributed.
TEST_CASE("CrashAttribution drops crashes that another planner attributed")
{
  AttributionDay day;
  day.attribution.RecordLosses(
    { { .target = "t1", .parts = { "rare" }, .age = seconds(3) },
      { .target = "t2", .parts = { "rare" }, .age = seconds(2) } },
    day.now);
  day.attribution.Adopt(
    { { .parts = { "deadly" }, .remaining = seconds(100) } }, day.now);
  day.attribution.RecordLosses(
    { { .target = "t3", .parts = { "rare" }, .age = seconds(1) } }, day.now);
  CHECK(day.Advance(seconds(3)).empty());
  for (int i = 0; i < 3; ++i) {
    day.Crash({ { "rare", "deadly" } });
    day.Advance(milliseconds(200));
  }
  CHECK(day.Advance(seconds(2)).empty());
}

TEST_CASE("CrashAttribution forgets old crashes")
{
  AttributionDay day;
  for (int i = 0; i < 6; ++i) {
    day.Crash({ { "a" } });
    CHECK(day.Advance(seconds(20)).empty());
  }
}
