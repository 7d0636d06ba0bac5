#include "quarantine/CrashCollector.h"

#include "quarantine/RequestIdentity.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(100) };

const std::string&
Identity()
{
  static const std::string identity = RequestIdentity(
    HttpRequest(boost::beast::http::verb::get, "/deadly", 11), "account");
  return identity;
}

/// A node that lost one request with a target itself, and the same request with
/// two targets by the reports of another.
struct CollectingNode
{
  CollectingNode()
  {
    this->recorder.OnLost("t0", { Identity() }, { .attempt = "a" }, kStart);
    for (int i = 1; i <= 2; ++i) {
      this->collector.RecordReport(
        { .node = "other",
          .lostRequests = { { .target = "t" + std::to_string(i),
                              .parts = { Identity() },
                              .attempt = "b" + std::to_string(i) } },
          .partAnswers = {},
          .quarantinedParts = {} },
        kStart + seconds(i));
    }
  }

  /// Attributes at `aTime` after the start.
  std::vector<QuarantinedParts> Attribute(Duration aTime)
  {
    const Instant now = kStart + aTime;
    auto started =
      this->collector.Attribute(this->recorder, this->quarantine, now);
    this->recorder.SetSuspects(this->collector.Suspects());
    return started;
  }

  CrashCollector collector{ "own" };
  CrashRecorder recorder{ CrashRecorder::Options{} };
  PromptQuarantine quarantine;
};

} // namespace

TEST_CASE("CrashCollector combines its node's losses with those of others")
{
  CollectingNode node;
  CHECK(node.Attribute(milliseconds(2100)).empty());
  CHECK(node.collector.Suspects() == std::vector<std::string>{ Identity() });
  const auto started = node.Attribute(seconds(3));
  REQUIRE(started.size() == 1);
  CHECK(started.front().parts == std::vector<std::string>{ Identity() });
  CHECK(node.quarantine.RemainingFor({ Identity() }, kStart + seconds(3)));
}

// Guards against a popular sound request in quarantine.
TEST_CASE("CrashCollector counts the answers of its node and of others")
{
  const bool isAnsweredHere = GENERATE(true, false);
  CollectingNode node;
  CHECK(node.Attribute(milliseconds(2100)).empty());
  for (int i = 0; i < 2 && isAnsweredHere; ++i) {
    node.recorder.OnAnswered({ Identity() }, kStart + milliseconds(2200));
  }
  if (!isAnsweredHere) {
    node.collector.RecordReport(
      { .node = "other",
        .lostRequests = {},
        .partAnswers = { { .part = Identity(), .count = 2 } },
        .quarantinedParts = {} },
      kStart + milliseconds(2200));
  }
  CHECK(node.Attribute(seconds(3)).empty());
  CHECK(node.Attribute(seconds(4)).empty());
}
