#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(30);

/// Answers all requests, counts them and says whether the target leaves.
ServingHarness::Script
AnswerAndLeave(int& aCount, const bool& aIsLeaving)
{
  return
    [&aCount, &aIsLeaving](TargetConnection& aConnection, int) -> Task<void> {
      if ((co_await aConnection.ReadRequest()).empty()) {
        co_return;
      }
      ++aCount;
      std::string headers =
        "X-Signed: 1\r\nX-Attempt: a\r\nConnection: close\r\n";
      if (aIsLeaving) {
        headers += "X-Leaving: 1\r\n";
      }
      co_await aConnection.Write(PlainResponse(200, headers, "ok"));
    };
}

Task<int>
CallTimes(ServingHarness& aHarness, int aTimes)
{
  int answered = 0;
  for (int i = 0; i < aTimes; ++i) {
    const std::string response =
      co_await aHarness.Call("/idempotent/x", "a", seconds(1));
    answered += StatusOf(response) == 200 ? 1 : 0;
  }
  co_return answered;
}

void
SetStart(ServingHarness& aHarness,
         const std::string& aTarget,
         UnixMillis aStartedAt)
{
  TargetRecord record = *aHarness.context.fleet.Find(aTarget);
  record.startedAt = aStartedAt;
  aHarness.context.fleet.Put(std::move(record), MonotonicNow());
  aHarness.context.candidates.Rebuild(
    aHarness.context.catalog.Current()->Contents(),
    aHarness.context.fleet,
    {},
    {});
}

} // namespace

TEST_CASE("RequestFlow sends nothing to a target whose answer says that it "
          "leaves")
{
  ServingHarness harness;
  int leavingCount = 0;
  int otherCount = 0;
  const bool leaves = true;
  const bool stays = false;
  harness.AddTarget("t1", AnswerAndLeave(leavingCount, leaves));
  harness.AddTarget("t2", AnswerAndLeave(otherCount, stays));
  int answered = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> { answered = co_await CallTimes(harness, 40); },
    kTestLimit));
  CHECK(answered == 40);
  CHECK(leavingCount == 1);
}

TEST_CASE("RequestFlow sends to a target that has left only once it has "
          "restarted")
{
  ServingHarness harness;
  int count = 0;
  bool isLeaving = true;
  harness.AddTarget("t", AnswerAndLeave(count, isLeaving));
  SetStart(harness, "t", 100);
  int answeredAtFirst = 0;
  int answeredLater = 0;
  int countBeforeRestart = 0;
  int answeredAfterRestart = 0;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      answeredAtFirst = co_await CallTimes(harness, 1);
      isLeaving = false;
      answeredLater = co_await CallTimes(harness, 3);
      SetStart(harness, "t", 50);
      answeredLater += co_await CallTimes(harness, 3);
      countBeforeRestart = count;
      SetStart(harness, "t", 200);
      answeredAfterRestart = co_await CallTimes(harness, 3);
    },
    kTestLimit));
  CHECK(answeredAtFirst == 1);
  CHECK(answeredLater == 0);
  CHECK(countBeforeRestart == 1);
  CHECK(answeredAfterRestart == 3);
}

TEST_CASE("RequestFlow completes a stream that a leaving target has begun")
{
  ServingHarness harness;
  harness.AddTarget("t", [](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "X-Signed: 1\r\nX-Attempt: a\r\nX-Leaving: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      Event(1));
    co_await aConnection.Wait(milliseconds(200));
    co_await aConnection.Write(Event(2) + "0\r\n\r\n");
  });
  std::string stream;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      stream = co_await harness.Call("/stream/x", "a", seconds(5));
    },
    kTestLimit));
  CHECK(IsCompleteStream(stream));
}
