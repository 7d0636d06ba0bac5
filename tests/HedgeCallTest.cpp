#include "serving/HedgeCall.h"
#include "ServingHarness.h"
#include "TargetResponses.h"

using namespace apricottrack;

namespace {

/// Limit for tests that end by themselves within a second or two.
constexpr Duration kTestLimit = seconds(20);

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

/// Returns true for a complete stream with events 1 and 2, each once.
bool
HasEventsOnce(const std::string& aResponse)
{
  return IsCompleteStream(aResponse) && Count(aResponse, "id: 1") == 1 &&
         Count(aResponse, "id: 2") == 1;
}

/// What the other targets do while the first one is silent.
enum class OtherTargets
{
  kAnswer,
  kRefuse,
  kFail,
  kSendUnsignedStream,
  kSendNoContent,
  kCloseConnection,
  kStaySilent,
  kAnswerLate,
};

/// Serves requests at a target that falls silent after its first event and at
/// one that was added afterwards.
class SilentTargetHarness : public ServingHarness
{
public:
  explicit SilentTargetHarness(OtherTargets aOthers)
    : others(aOthers)
  {
    this->AddTarget("t1",
                    [this](TargetConnection& aConnection, int) -> Task<void> {
                      co_await this->AnswerAfterSilence(aConnection);
                    });
  }

  /// Sends `aCount` requests, reports the target of all of them as stalled and
  /// lets it go on after `aSilence`.
  void RunRequests(int aCount, std::string aPath, Duration aSilence)
  {
    this->responses.assign(static_cast<std::size_t>(aCount), {});
    int ended = 0;
    REQUIRE(this->Run(
      [&, aCount]() -> Task<void> {
        for (int i = 0; i < aCount; ++i) {
          asio::co_spawn(
            this->io,
            [&, i]() -> Task<void> {
              this->responses[static_cast<std::size_t>(i)] =
                co_await this->Call(
                  aPath, fmt::format("a{}", i), seconds(3), "shared,own");
              ++ended;
              this->endedDuringSilence += this->isSilent ? 1 : 0;
            },
            asio::detached);
        }
        asio::steady_timer timer(this->io, milliseconds(100));
        co_await timer.async_wait(kAsTuple);
        this->AddTarget(
          "t2", [this](TargetConnection& aConnection, int) -> Task<void> {
            co_await this->AnswerAsOther(aConnection);
          });
        for (const auto& [target, flow] : this->context.running) {
          flow->HedgeCurrentCall(this->reason);
        }
        timer.expires_after(aSilence);
        co_await timer.async_wait(kAsTuple);
        this->isSilent = false;
        if (this->quarantines) {
          timer.expires_after(milliseconds(50));
          co_await timer.async_wait(kAsTuple);
          this->Quarantine();
        }
        while (ended < aCount) {
          timer.expires_after(milliseconds(10));
          co_await timer.async_wait(kAsTuple);
        }
      },
      kTestLimit));
    this->io.restart();
    this->io.run_for(milliseconds(50));
    CHECK(this->context.running.empty());
    CHECK(this->context.inFlight == 0);
    CHECK(this->context.loads.OwnRequests("t1") == 0);
    CHECK(this->context.loads.OwnRequests("t2") == 0);
  }

  std::vector<std::string> responses;
  int endedDuringSilence = 0;
  /// Requests that reached the second target, with their heads.
  std::vector<std::string> hedges;
  /// Connections of the second target that were closed by the node while it
  /// was silent.
  int hedgesClosed = 0;
  RequestFlow::HedgeReason reason = RequestFlow::HedgeReason::kTargetStalled;
  /// What the first target writes after its silence.
  std::string afterSilence = Event(2) + "0\r\n\r\n";
  /// The first target then leaves the connection to the node to close.
  bool staysOpen = false;
  /// The prompt's shared part is quarantined just after the silence.
  bool quarantines = false;

private:
  static std::string StreamHeadOf(const std::string& aRequest)
  {
    const auto start = aRequest.find("X-Attempt: ") + 11;
    return StreamHead(
      aRequest.substr(start, aRequest.find('\r', start) - start));
  }

  void Quarantine()
  {
    this->context.quarantine.Add(
      { { .parts = { "shared" }, .remaining = seconds(60) } }, MonotonicNow());
    for (const auto& [target, flow] : this->context.running) {
      flow->CancelIfQuarantined();
    }
  }

  Task<void> AnswerAfterSilence(TargetConnection& aConnection)
  {
    const std::string request = co_await aConnection.ReadRequest();
    co_await aConnection.Write(StreamHeadOf(request) + Event(1));
    while (this->isSilent) {
      co_await aConnection.Wait(milliseconds(5));
    }
    co_await aConnection.Write(this->afterSilence);
    if (this->staysOpen) {
      co_await aConnection.ReadRequest();
    }
  }

  Task<void> AnswerAsOther(TargetConnection& aConnection)
  {
    const std::string request = co_await aConnection.ReadRequest();
    this->hedges.push_back(request);
    switch (this->others) {
      case OtherTargets::kAnswer:
        co_await aConnection.Write(StreamHeadOf(request) + Event(2) +
                                   "0\r\n\r\n");
        break;
      case OtherTargets::kRefuse:
        co_await aConnection.Write("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n"
                                   "Content-Length: 0\r\n\r\n");
        break;
      case OtherTargets::kFail:
        co_await aConnection.Write(
          PlainResponse(500,
                        "X-Signed: 1\r\nContent-Type: text/event-stream\r\n",
                        "id: 2\ndata: failed\n\n"));
        break;
      case OtherTargets::kSendUnsignedStream:
        co_await aConnection.Write(
          PlainResponse(200,
                        "Content-Type: text/event-stream\r\n",
                        "id: 2\ndata: failed\n\n"));
        break;
      case OtherTargets::kSendNoContent:
        co_await aConnection.Write("HTTP/1.1 204 No Content\r\nX-Signed: 1\r\n"
                                   "Content-Type: text/event-stream\r\n\r\n");
        break;
      case OtherTargets::kCloseConnection:
        break;
      case OtherTargets::kStaySilent:
        this->hedgesClosed += (co_await aConnection.ReadRequest()).empty();
        break;
      case OtherTargets::kAnswerLate:
        co_await aConnection.Wait(milliseconds(400));
        co_await aConnection.Write(StreamHeadOf(request) + Event(2) +
                                   "0\r\n\r\n");
        break;
    }
  }

  OtherTargets others;
  bool isSilent = true;
};

} // namespace

// Guards against a response that is cut because other requests took the retry
// that it counted on.
TEST_CASE("RequestFlow cuts no stream of a silent target if the retries do not "
          "suffice for all of them")
{
  SilentTargetHarness harness(OtherTargets::kAnswer);
  // The budget has a single retry while the number of nodes is unknown.
  harness.context.nodeCount.reset();
  harness.RunRequests(4, "/stream/x", milliseconds(300));
  CHECK(harness.hedges.size() == 1);
  for (const std::string& response : harness.responses) {
    CHECK(HasEventsOnce(response));
  }
}

// Guards against a response that is cut because its target fell silent for a
// moment and the next one could not take the request over.
TEST_CASE("RequestFlow cuts no stream of a silent target before another one "
          "has responded")
{
  const auto others = GENERATE(OtherTargets::kRefuse,
                               OtherTargets::kFail,
                               OtherTargets::kSendUnsignedStream,
                               OtherTargets::kSendNoContent,
                               OtherTargets::kCloseConnection,
                               OtherTargets::kStaySilent);
  SilentTargetHarness harness(others);
  harness.RunRequests(2, "/stream/x", seconds(1));
  CHECK(harness.hedges.size() == 2);
  CHECK(harness.hedgesClosed == (others == OtherTargets::kStaySilent ? 2 : 0));
  for (const std::string& response : harness.responses) {
    CHECK(HasEventsOnce(response));
  }
}

TEST_CASE("RequestFlow continues streams of a stalled target at another one")
{
  SilentTargetHarness harness(OtherTargets::kAnswer);
  harness.RunRequests(3, "/stream/x", milliseconds(700));
  CHECK(harness.endedDuringSilence == 3);
  for (const std::string& request : harness.hedges) {
    CHECK(request.find("Last-Event-Id: 1\r\n") != std::string::npos);
  }
  for (const std::string& response : harness.responses) {
    CHECK(HasEventsOnce(response));
  }
}

TEST_CASE("RequestFlow continues at the pending hedge if the silent target "
          "closes the connection")
{
  SilentTargetHarness harness(OtherTargets::kAnswerLate);
  harness.afterSilence.clear();
  harness.RunRequests(2, "/stream/x", milliseconds(100));
  CHECK(harness.hedges.size() == 2);
  for (const std::string& response : harness.responses) {
    CHECK(HasEventsOnce(response));
  }
}

// Guards against a stream that stays with a replica which is about to end,
// because the replica sent one more event.
TEST_CASE("RequestFlow keeps the hedge of a broken replica that makes progress")
{
  SilentTargetHarness harness(OtherTargets::kAnswerLate);
  harness.reason = RequestFlow::HedgeReason::kReplicaBroken;
  harness.afterSilence = Event(2);
  harness.RunRequests(2, "/stream/x", milliseconds(100));
  for (const std::string& response : harness.responses) {
    CHECK(HasEventsOnce(response));
  }
}

// Guards against a prompt that crashes targets reaching a further one by way of
// a hedge.
TEST_CASE("RequestFlow cancels a hedge whose prompt is quarantined")
{
  SilentTargetHarness harness(OtherTargets::kStaySilent);
  harness.afterSilence.clear();
  harness.quarantines = true;
  harness.RunRequests(1, "/stream/x", milliseconds(100));
  CHECK(harness.hedges.size() == 1);
  CHECK(harness.hedgesClosed == 1);
  CHECK_FALSE(IsCompleteStream(harness.responses.front()));
}

TEST_CASE("RequestFlow never hedges a request that may run only once")
{
  SilentTargetHarness harness(OtherTargets::kAnswer);
  harness.RunRequests(2, "/once/x", milliseconds(200));
  CHECK(harness.hedges.empty());
  for (const std::string& response : harness.responses) {
    CHECK(StatusOf(response) == 200);
  }
}

// Guards against refusals for lack of a target, because this node itself
// cancelled a call of each one.
TEST_CASE("RequestFlow does not avoid a target whose call it cancelled for a "
          "quarantine")
{
  SilentTargetHarness harness(OtherTargets::kStaySilent);
  harness.quarantines = true;
  harness.afterSilence.clear();
  harness.staysOpen = true;
  harness.RunRequests(1, "/once/x", milliseconds(50));
  CHECK_FALSE(harness.context.stalls.IsAvoided("t1", MonotonicNow()));
}
