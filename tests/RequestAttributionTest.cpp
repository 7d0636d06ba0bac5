#include "quarantine/CrashAttribution.h"
#include "quarantine/RequestIdentity.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

using Parts = std::vector<std::string>;

std::string
Identity(const std::string& aName)
{
  return RequestIdentity(
    HttpRequest(boost::beast::http::verb::get, "/" + aName, 11), "account");
}

/// A CrashAttribution to which all losses are reported at once.
class LossDay
{
public:
  /// A target crashes `aAfter` the last one, under requests with these parts,
  /// which were sent `aRunTime` before.
  void Crash(Duration aAfter,
             const std::string& aAttempt,
             std::vector<Parts> aRequests,
             Duration aRunTime = milliseconds(20))
  {
    this->Advance(aAfter);
    const std::string target = "t" + std::to_string(this->crashCount++);
    for (Parts& parts : aRequests) {
      this->attribution.RecordLosses({ { .target = target,
                                         .parts = std::move(parts),
                                         .attempt = aAttempt,
                                         .runTime = aRunTime } },
                                     this->now);
    }
  }

  void SetAnswers(const std::string& aPart, int aCount)
  {
    this->answers.push_back({ .part = aPart, .count = aCount });
  }

  void Advance(Duration aTime)
  {
    const Instant end = this->now + aTime;
    while (this->now < end) {
      this->now = std::min(end, this->now + milliseconds(100));
      this->attribution.RecordAnswers("n", this->answers);
      for (const QuarantinedParts& item : this->attribution.Update(this->now)) {
        this->quarantined.push_back(item.parts);
      }
    }
  }

  CrashAttribution attribution{ CrashAttribution::Options{} };
  std::vector<Parts> quarantined;

private:
  Instant now{ seconds(1000) };
  int crashCount = 0;
  std::vector<PartAnswers> answers;
};

} // namespace

// Guards against three targets, lost to one request within a tenth of a second,
// that are taken for one crash.
TEST_CASE("CrashAttribution counts each target that a request was sent on to")
{
  const std::string deadly = Identity("deadly");
  LossDay day;
  day.Crash(seconds(0), "a1", { { deadly }, { Identity("x") } });
  day.Crash(milliseconds(58), "a1", { { deadly }, { Identity("y") } });
  day.Crash(milliseconds(48), "a1", { { deadly } });
  day.Advance(seconds(2));
  CHECK(day.quarantined.empty());
  day.Crash(milliseconds(200), "a2", { { deadly }, { Identity("z") } });
  day.Advance(milliseconds(100));
  CHECK(day.quarantined == std::vector<Parts>{ { deadly } });
}

TEST_CASE("CrashAttribution counts targets that fail together once, whatever "
          "requests they ran")
{
  const std::string popular = Identity("popular");
  LossDay day;
  for (int i = 0; i < 4; ++i) {
    day.Crash(
      milliseconds(20), "a" + std::to_string(i), { { popular } }, seconds(1));
  }
  day.Advance(seconds(2));
  CHECK(day.quarantined.empty());
}

// Guards against a sound request that is quarantined because it was sent on
// beside a deadly one.
TEST_CASE("CrashAttribution does not blame a request of a single attempt")
{
  const std::string sound = Identity("sound");
  LossDay day;
  for (int i = 0; i < 4; ++i) {
    day.Crash(milliseconds(300), "a1", { { sound } });
  }
  day.Advance(seconds(2));
  CHECK(day.quarantined.empty());
}

TEST_CASE("CrashAttribution does not blame a popular request that is answered")
{
  const std::string popular = Identity("popular");
  LossDay day;
  day.SetAnswers(popular, 4);
  for (int i = 0; i < 8; ++i) {
    day.Crash(seconds(1), "a" + std::to_string(i), { { popular } });
  }
  day.Advance(seconds(2));
  CHECK(day.quarantined.empty());
}

// Guards against sound requests that are refused for a part that they share
// with one deadly request.
TEST_CASE("CrashAttribution blames a repeated request rather than its parts")
{
  const std::string deadly = Identity("deadly");
  LossDay day;
  for (int i = 0; i < 4; ++i) {
    day.Crash(seconds(1), "a" + std::to_string(i), { { "rare part", deadly } });
  }
  day.Advance(seconds(2));
  REQUIRE(day.quarantined.size() == 1);
  CHECK(std::find(day.quarantined.front().begin(),
                  day.quarantined.front().end(),
                  deadly) != day.quarantined.front().end());
}

// Guards against a deadly prompt part that goes unnoticed, because each request
// with it is blamed in its place.
TEST_CASE("CrashAttribution blames the part that crashes of a repeated request "
          "and another share")
{
  LossDay day;
  const auto crash = [&](const std::string& aAttempt,
                         const std::string& aRequest) {
    day.Crash(milliseconds(400),
              aAttempt,
              { { "shared", "deadly", Identity(aRequest) } });
  };
  day.SetAnswers("shared", 100);
  crash("a1", "first");
  crash("a1", "first");
  crash("a2", "first");
  crash("a2", "first");
  day.Advance(seconds(1));
  crash("b1", "second");
  day.Advance(seconds(1));
  REQUIRE_FALSE(day.quarantined.empty());
  CHECK(day.quarantined.back() == Parts{ "deadly" });
}
