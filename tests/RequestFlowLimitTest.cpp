#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(30);

/// Answers all requests, counts them and states the limit, unless that is
/// empty.
ServingHarness::Script
AnswerAndCount(int& aCount, const std::string& aLimit)
{
  return [&aCount, &aLimit](TargetConnection& aConnection, int) -> Task<void> {
    const std::string head = co_await aConnection.ReadRequest();
    if (head.empty()) {
      co_return;
    }
    ++aCount;
    std::string headers = "X-Signed: 1\r\nX-Attempt: a\r\n";
    if (!aLimit.empty()) {
      headers += "X-Limit: " + aLimit + "\r\n";
    }
    co_await aConnection.Write(
      PlainResponse(200, headers + "Connection: close\r\n", "ok"));
  };
}

/// Sends a request every 40 ms. Returns the number of successful ones.
Task<int>
CallForSeconds(ServingHarness& aHarness, int aSeconds)
{
  int answered = 0;
  const Instant end = MonotonicNow() + seconds(aSeconds);
  asio::steady_timer timer(aHarness.io);
  while (MonotonicNow() < end) {
    const std::string response =
      co_await aHarness.Call("/idempotent/x", "a", seconds(1));
    answered += StatusOf(response) == 200 ? 1 : 0;
    timer.expires_after(milliseconds(40));
    co_await timer.async_wait(kAsTuple);
  }
  co_return answered;
}

} // namespace

TEST_CASE("RequestFlow does not exceed the request limit of a target")
{
  ServingHarness harness;
  int count = 0;
  const std::string limit = "2";
  harness.AddTarget("t", AnswerAndCount(count, limit));
  int inFirstSecond = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      co_await CallForSeconds(harness, 1);
      inFirstSecond = count;
      co_await CallForSeconds(harness, 4);
    },
    kTestLimit));
  // One and a half times what the limit allows in four seconds, and five more.
  CHECK(count - inFirstSecond <= 1.5 * 2 * 4 + 5);
}

TEST_CASE("RequestFlow sends what a limited target does not accept to others")
{
  ServingHarness harness;
  int limitedCount = 0;
  int otherCount = 0;
  const std::string limit = "1";
  const std::string noLimit;
  harness.AddTarget("t1", AnswerAndCount(limitedCount, limit));
  harness.AddTarget("t2", AnswerAndCount(otherCount, noLimit));
  int answered = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      co_await CallForSeconds(harness, 1);
      limitedCount = 0;
      otherCount = 0;
      answered = co_await CallForSeconds(harness, 4);
    },
    kTestLimit));
  CHECK(limitedCount <= 1.5 * 1 * 4 + 5);
  CHECK(answered == limitedCount + otherCount);
}
