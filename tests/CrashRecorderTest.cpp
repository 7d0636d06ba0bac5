#include "quarantine/CrashRecorder.h"

#include "quarantine/PromptParts.h"

#include <catch2/catch.hpp>
#include <set>

using namespace apricottrack;

TEST_CASE("CrashRecorder returns the losses after a time with their ages")
{
  CrashRecorder recorder(CrashRecorder::Options{ .lifetime = seconds(30) });
  recorder.OnLost("t1", { "a", "b" }, {}, Instant{ seconds(10) });
  recorder.OnLost("t2", {}, {}, Instant{ seconds(11) });
  recorder.OnLost("t3", { "c" }, {}, Instant{ seconds(12) });
  const Instant now{ seconds(13) };
  CHECK(recorder.LostSince(Instant{}, now) ==
        std::vector<LostRequest>{
          { .target = "t1", .parts = { "a", "b" }, .age = seconds(3) },
          { .target = "t3", .parts = { "c" }, .age = seconds(1) } });
  CHECK(recorder.LostSince(Instant{ seconds(10) }, now).size() == 1);
  CHECK(recorder.LostSince(Instant{}, Instant{ seconds(41) }).size() == 1);
}

TEST_CASE("CrashRecorder keeps no more losses than its limit")
{
  CrashRecorder recorder(CrashRecorder::Options{ .maxLostRequests = 2 });
  for (int i = 1; i <= 5; ++i) {
    recorder.OnLost(
      "t" + std::to_string(i), { "a" }, {}, Instant{ seconds(i) });
  }
  const auto losses = recorder.LostSince(Instant{}, Instant{ seconds(6) });
  REQUIRE(losses.size() == 2);
  CHECK(losses.front().target == "t4");
}

TEST_CASE("CrashRecorder counts the answers of suspects within its lifetime")
{
  CrashRecorder recorder(CrashRecorder::Options{ .lifetime = seconds(20) });
  recorder.OnAnswered({ "a", "b" }, Instant{ seconds(100) });
  recorder.OnAnswered({ "a" }, Instant{ seconds(105) });
  CHECK(recorder.SuspectAnswers(Instant{ seconds(106) }).empty());
  recorder.SetSuspects({ "a", "x" });
  CHECK(recorder.SuspectAnswers(Instant{ seconds(106) }) ==
        std::vector<PartAnswers>{ { .part = "a", .count = 2 } });
  recorder.OnAnswered({ "a" }, Instant{ seconds(111) });
  CHECK(recorder.SuspectAnswers(Instant{ seconds(112) }) ==
        std::vector<PartAnswers>{ { .part = "a", .count = 3 } });
  CHECK(recorder.SuspectAnswers(Instant{ seconds(150) }).empty());
}

// Guards against review/12: a report that exceeds the largest message, so that
// crashes are never attributed.
TEST_CASE("CrashRecorder reports many losses in parts")
{
  CrashRecorder recorder(
    { .maxLostRequests = 512, .maxReportedRequests = 100 });
  for (int i = 0; i < 300; ++i) {
    recorder.OnLost("t",
                    { std::to_string(i) },
                    { .attempt = std::string(8000, 'a') },
                    Instant{ seconds(1000) } + milliseconds(i / 3));
  }
  const Instant now = Instant{ seconds(1000) } + seconds(1);
  std::set<std::string> reported;
  Instant since;
  int reports = 0;
  while (since < now) {
    const auto report = recorder.NextReport(since, now, since);
    CHECK(report.size() <= 102);
    for (const LostRequest& request : report) {
      CHECK(request.attempt.size() <= kMaxBoundedIdBytes);
      CHECK(reported.insert(request.parts.front()).second);
    }
    ++reports;
  }
  CHECK(reported.size() == 300);
  CHECK(reports == 3);
  CHECK(recorder.NextReport(now, now, since).empty());
}

TEST_CASE("CrashRecorder reports losses of one moment together")
{
  CrashRecorder recorder({ .maxReportedRequests = 10 });
  for (int i = 0; i < 30; ++i) {
    recorder.OnLost("t", { "a" }, {}, Instant{ seconds(1000) });
  }
  Instant until;
  const Instant now = Instant{ seconds(1000) } + seconds(1);
  CHECK(recorder.NextReport(Instant{}, now, until).size() == 30);
  CHECK(recorder.NextReport(until, now, until).empty());
}
