#include "TargetResponses.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(20);
constexpr Duration kTimeout = seconds(3);

/// The headers of a response by which callers know its target.
const std::string kOwn = "X-Signed: 1\r\nX-Attempt: a\r\n";

/// Answers each request with `aResponse` and counts it as a run.
ServingHarness::Script
RunAndAnswer(std::string aResponse, std::shared_ptr<int> aRuns)
{
  return [aResponse, aRuns](TargetConnection& aConnection, int) -> Task<void> {
    while (!(co_await aConnection.ReadRequest()).empty()) {
      ++*aRuns;
      co_await aConnection.Write(aResponse);
    }
  };
}

std::string
CallOnce(ServingHarness& aHarness, const std::string& aPath)
{
  std::string response;
  REQUIRE(aHarness.Run(
    [&]() -> Task<void> {
      response = co_await aHarness.Call(aPath, "a", kTimeout);
    },
    kTestLimit));
  return response;
}

/// A response whose status alone says that the request was not run.
struct UnconfirmedRefusal
{
  int status;
  std::string headers;
  std::string body;
};

const std::vector<std::string> kHeaders = {
  kOwn,
  "X-Attempt: a\r\n",
  kOwn + "Retry-After: 1\r\n",
  kOwn + "X-Leaving: 1\r\n",
  kOwn + "Content-Type: text/event-stream\r\n",
};

std::vector<UnconfirmedRefusal>
UnconfirmedRefusals()
{
  std::vector<UnconfirmedRefusal> refusals;
  for (const int status : { 408, 421, 429, 503 }) {
    for (const std::string& headers : kHeaders) {
      refusals.push_back(
        { .status = status, .headers = headers, .body = "booked" });
    }
    refusals.push_back({ .status = status, .headers = kOwn, .body = "" });
  }
  return refusals;
}

} // namespace

// Guards against callers who are told that a request has not run that has, and
// who therefore send it again.
TEST_CASE("RequestFlow passes on no status that states not run without the "
          "target's guarantee")
{
  const auto refusal = GENERATE(from_range(UnconfirmedRefusals()));
  const std::string path = GENERATE("/once/x", "/idempotent/x", "/stream/x");
  CAPTURE(refusal.status, refusal.headers, refusal.body, path);
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  const std::string bytes =
    PlainResponse(refusal.status, refusal.headers, refusal.body);
  harness.AddTarget("t1", RunAndAnswer(bytes, runs));
  harness.AddTarget("t2", RunAndAnswer(bytes, runs));
  const std::string response = CallOnce(harness, path);
  CHECK(StatusOf(response) == 502);
  CHECK(response.find("outcome_unknown") != std::string::npos);
  CHECK(response.find("X-Signed") == std::string::npos);
  CHECK(*runs == (path == "/once/x" ? 1 : 2));
  CHECK(harness.context.counters.Text().find(
          fmt::format("unconfirmed_refusals{{service=\"app\"}} {}", *runs)) !=
        std::string::npos);
}

TEST_CASE("RequestFlow retries a repeatable request at another target after a "
          "refusal without a guarantee")
{
  const int status = GENERATE(408, 421, 429, 503);
  ServingHarness harness;
  auto refusals = std::make_shared<int>(0);
  auto runs = std::make_shared<int>(0);
  harness.AddTarget("t1",
                    RunAndAnswer(PlainResponse(status, kOwn, ""), refusals));
  harness.AddTarget("t2", RunAndAnswer(PlainResponse(200, kOwn, "b"), runs));
  for (int i = 0; i < 4; ++i) {
    harness.io.restart();
    CHECK(StatusOf(CallOnce(harness, "/idempotent/x")) == 200);
  }
}

TEST_CASE("RequestFlow states not run after a refusal that the target "
          "guarantees")
{
  const int status = GENERATE(400, 408, 421, 429, 503);
  ServingHarness harness;
  auto refusals = std::make_shared<int>(0);
  harness.AddTarget(
    "t1",
    RunAndAnswer(PlainResponse(status, kOwn + "X-Not-Run: 1\r\n", ""),
                 refusals));
  CHECK(StatusOf(CallOnce(harness, "/once/x")) == 503);
  CHECK(*refusals == 1);
}

TEST_CASE("RequestFlow passes on errors whose status does not state not run")
{
  const int status = GENERATE(400, 404, 409, 413, 500, 502, 504);
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  harness.AddTarget("t1",
                    RunAndAnswer(PlainResponse(status, kOwn, "mine"), runs));
  const std::string response = CallOnce(harness, "/once/x");
  CHECK(StatusOf(response) == status);
  CHECK(response.ends_with("mine"));
}

TEST_CASE("RequestFlow observes the pause that a refusal without a guarantee "
          "asks for")
{
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  harness.AddTarget(
    "t1", RunAndAnswer(PlainResponse(503, kOwn + "X-Pause: 20\r\n", ""), runs));
  CHECK(StatusOf(CallOnce(harness, "/once/x")) == 502);
  harness.io.restart();
  CHECK(StatusOf(CallOnce(harness, "/once/x")) == 503);
  CHECK(*runs == 1);
}

// Guards against the same through another node, which may run an older version.
TEST_CASE("RequestFlow passes on no status that states not run from a node "
          "that has not refused the request itself")
{
  const auto refusal = GENERATE(from_range(UnconfirmedRefusals()));
  CAPTURE(refusal.status, refusal.headers, refusal.body);
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  harness.AddUnreachableTarget("t1");
  const std::string bytes =
    PlainResponse(refusal.status,
                  refusal.headers + "Apricottrack-Target: t1\r\n",
                  refusal.body);
  harness.AddNode(RunAndAnswer(bytes, runs));
  harness.AddNode(RunAndAnswer(bytes, runs));
  const std::string response = CallOnce(harness, "/once/x");
  CHECK(StatusOf(response) == 502);
  CHECK(response.find("X-Signed") == std::string::npos);
  CHECK(*runs == 1);
}

TEST_CASE("RequestFlow does not refuse a forwarded request that a target may "
          "have run")
{
  const int status = GENERATE(408, 421, 429, 503);
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  harness.AddTarget("t1", RunAndAnswer(PlainResponse(status, kOwn, ""), runs));
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Exchange(
        harness.StartForwardServer(),
        "GET /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "X-Attempt: a\r\nX-Timeout: 3000\r\nX-Parts: own\r\n\r\n");
    },
    kTestLimit));
  CHECK(StatusOf(response) == 502);
  CHECK(response.find("Apricottrack-Refused") == std::string::npos);
}

// Guards against the same in a response that arrives in place of a lost one.
TEST_CASE("RequestFlow passes on no status that states not run from a hedge")
{
  const int status = GENERATE(408, 421, 429, 503);
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  harness.AddTarget("t1",
                    [runs](TargetConnection& aConnection, int) -> Task<void> {
                      co_await aConnection.ReadRequest();
                      ++*runs;
                      co_await aConnection.Wait(milliseconds(200));
                    });
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      asio::co_spawn(
        harness.io,
        [&]() -> Task<void> {
          asio::steady_timer timer(harness.io, milliseconds(50));
          co_await timer.async_wait(kAsTuple);
          harness.AddTarget(
            "t2", [=](TargetConnection& aConnection, int) -> Task<void> {
              co_await aConnection.ReadRequest();
              ++*runs;
              co_await aConnection.Wait(milliseconds(300));
              co_await aConnection.Write(PlainResponse(status, kOwn, ""));
            });
          for (const auto& [target, flow] : harness.context.running) {
            flow->HedgeCurrentCall(RequestFlow::HedgeReason::kTargetStalled);
          }
        },
        asio::detached);
      response = co_await harness.Call("/idempotent/x", "a", kTimeout);
    },
    kTestLimit));
  CHECK(StatusOf(response) == 502);
  CHECK(*runs == 2);
}
