#include "TargetResponses.h"

using namespace apricottrack;

namespace {

/// Limit for tests that end by themselves within a second or two.
constexpr Duration kTestLimit = seconds(20);

/// When a target writes an earlier response once more.
enum class CopyTime
{
  kWhileIdle,
  kOnNextRequest,
};

/// Runs two requests. The first connection of the target answers the first with
/// `aFirst`, writes `aCopy` and answers the second; others answer the second.
class RepeatedResponseHarness : public ServingHarness
{
public:
  RepeatedResponseHarness(std::string aFirst, std::string aCopy, CopyTime aTime)
  {
    this->AddTarget(
      "t1",
      [=, this](TargetConnection& aConnection, int aNumber) -> Task<void> {
        if ((co_await aConnection.ReadRequest()).empty()) {
          co_return;
        }
        if (aNumber == 0) {
          co_await aConnection.Write(aFirst);
          co_await aConnection.Wait(milliseconds(20));
          if (aTime == CopyTime::kWhileIdle) {
            co_await aConnection.Write(aCopy);
          }
          if ((co_await aConnection.ReadRequest()).empty()) {
            co_return;
          }
          co_await aConnection.Write(aCopy);
        }
        this->connectionOfSecond = aNumber;
        ++this->runs;
        co_await aConnection.Wait(milliseconds(20));
        co_await aConnection.Write(
          PlainResponse(200, "X-Signed: 1\r\nX-Attempt: b\r\n", "second"));
      });
  }

  std::string RunBoth(std::string aSecondPath)
  {
    std::string response;
    REQUIRE(this->Run(
      [&]() -> Task<void> {
        static_cast<void>(
          co_await this->Call("/idempotent/x", "a", seconds(2)));
        asio::steady_timer timer(this->io, milliseconds(60));
        co_await timer.async_wait(kAsTuple);
        response = co_await this->Call(aSecondPath, "b", seconds(2));
      },
      kTestLimit));
    return response;
  }

  /// Number of the connection that carried the second request; -1 for none.
  int connectionOfSecond = -1;
  /// How often the second request ran.
  int runs = 0;
};

} // namespace

// Guards against a request that is reported as not run, or runs again, because
// of an earlier refusal.
TEST_CASE("RequestFlow concludes nothing from a second copy of an earlier "
          "refusal")
{
  const int status = GENERATE(503, 429, 421, 400);
  const std::string id = GENERATE("", "X-Attempt: a\r\n");
  const CopyTime time =
    GENERATE(CopyTime::kWhileIdle, CopyTime::kOnNextRequest);
  const std::string refusal =
    PlainResponse(status, "X-Not-Run: 1\r\n" + id, "full");
  CAPTURE(status, id, time == CopyTime::kWhileIdle);
  RepeatedResponseHarness harness(
    PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "first"),
    refusal,
    time);
  const std::string response = harness.RunBoth("/idempotent/x");
  CHECK(StatusOf(response) == 200);
  CHECK(response.ends_with("second"));
  CHECK(harness.runs == 1);
  CHECK((harness.connectionOfSecond == 0) ==
        (time == CopyTime::kOnNextRequest));
}

// Guards against a request that is reported as not run, or runs again, because
// of an earlier refusal that names its own id.
TEST_CASE("RequestFlow sends a request that may run once on a new connection")
{
  RepeatedResponseHarness harness(
    PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "first"),
    PlainResponse(503, "X-Not-Run: 1\r\nX-Attempt: b\r\n", "full"),
    CopyTime::kOnNextRequest);
  const std::string response = harness.RunBoth("/once/x");
  CHECK(StatusOf(response) == 200);
  CHECK(response.ends_with("second"));
  CHECK(harness.runs == 1);
  CHECK(harness.connectionOfSecond == 1);
}

// Guards against a response to an earlier request that has no id either.
TEST_CASE("RequestFlow returns no second copy of a response to a request "
          "without an id")
{
  ServingHarness harness;
  harness.AddTarget(
    "t1", [](TargetConnection& aConnection, int aNumber) -> Task<void> {
      const std::string headers = "X-Signed: 1\r\n";
      bool isReused = false;
      while (!(co_await aConnection.ReadRequest()).empty()) {
        if (isReused) {
          co_await aConnection.Write(PlainResponse(200, headers, "first"));
        }
        const std::string body = isReused || aNumber > 0 ? "second" : "first";
        co_await aConnection.Write(PlainResponse(200, headers, body));
        isReused = true;
      }
    });
  std::string second;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      static_cast<void>(
        co_await harness.Call("/idempotent/first", "", seconds(2)));
      second = co_await harness.Call("/idempotent/second", "", seconds(2));
    },
    kTestLimit));
  CHECK_FALSE(second.ends_with("first"));
}
