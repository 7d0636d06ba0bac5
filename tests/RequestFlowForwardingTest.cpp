#include "TargetResponses.h"
#include "serving/ReachTask.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(30);
constexpr Duration kTimeout = seconds(5);

/// Answers each request with `aResponse` and keeps the heads it has read.
ServingHarness::Script
Answer(std::string aResponse, std::shared_ptr<std::vector<std::string>> aHeads)
{
  return [aResponse, aHeads](TargetConnection& aConnection, int) -> Task<void> {
    for (;;) {
      const std::string head = co_await aConnection.ReadRequest();
      if (head.empty()) {
        co_return;
      }
      aHeads->push_back(head);
      co_await aConnection.Write(aResponse);
    }
  };
}

std::string
SignedResponse()
{
  return PlainResponse(
    200,
    "X-Signed: 1\r\nX-Attempt: a\r\nApricottrack-Target: t9\r\n",
    "from t9");
}

std::string
NodeRefusal()
{
  return PlainResponse(503, "Apricottrack-Refused: 1\r\n", "{}");
}

std::string
ForwardedHead(std::string_view aPath, int aMaxTargets)
{
  return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nConnection: close, "
                     "Apricottrack-Max-Targets\r\nX-Attempt: a\r\nX-Timeout: "
                     "5000\r\nX-Parts: own\r\nApricottrack-Max-Targets: "
                     "{}\r\n\r\n",
                     aPath,
                     aMaxTargets);
}

struct Heads
{
  std::shared_ptr<std::vector<std::string>> first =
    std::make_shared<std::vector<std::string>>();
  std::shared_ptr<std::vector<std::string>> second =
    std::make_shared<std::vector<std::string>>();
};

} // namespace

// Guards against callers of a node without paths to the targets being refused.
TEST_CASE("RequestFlow forwards requests that reach no target to another node")
{
  ServingHarness harness;
  Heads heads;
  harness.AddUnreachableTarget("t1");
  harness.AddUnreachableTarget("t2");
  harness.AddNode(Answer(SignedResponse(), heads.first));
  const std::pair<std::string, std::string> sample =
    GENERATE(std::pair<std::string, std::string>{ "/idempotent/x", "2" },
             std::pair<std::string, std::string>{ "/once/x", "1" });
  const std::string& path = sample.first;
  const std::string& maxTargets = sample.second;
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call(path, "a", kTimeout);
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 200);
  CHECK(response.ends_with("from t9"));
  CHECK(response.find("Apricottrack") == std::string::npos);
  REQUIRE(heads.first->size() == 1);
  const std::string& head = heads.first->front();
  CHECK(head.starts_with("GET " + path));
  CHECK(head.find("Apricottrack-Max-Targets: " + maxTargets) !=
        std::string::npos);
  CHECK(head.find("X-Attempt: a") != std::string::npos);
}

TEST_CASE("RequestFlow tries another node if the first one refuses or is gone")
{
  ServingHarness harness;
  Heads heads;
  harness.AddUnreachableTarget("t1");
  SECTION("one refuses")
  {
    harness.AddNode(Answer(NodeRefusal(), heads.second));
  }
  SECTION("one is gone")
  {
    harness.context.forwardingNodes.push_back(
      ServingHarness::FreeAddress(harness.io));
  }
  harness.AddNode(Answer(SignedResponse(), heads.first));
  std::vector<int> statuses;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      for (int i = 0; i < 8; ++i) {
        statuses.push_back(
          StatusOf(co_await harness.Call("/once/x", "a", kTimeout)));
      }
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(statuses == std::vector<int>(8, 200));
}

TEST_CASE(
  "RequestFlow states that a request has not run if all nodes refuse it")
{
  ServingHarness harness;
  Heads heads;
  harness.AddUnreachableTarget("t1");
  harness.AddNode(Answer(NodeRefusal(), heads.first));
  harness.AddNode(Answer(NodeRefusal(), heads.second));
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/once/x", "a", kTimeout);
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 503);
  CHECK(heads.first->size() == 1);
  CHECK(heads.second->size() == 1);
}

// Guards against a request that runs twice through two nodes, and against one
// that may have run being called not run.
TEST_CASE("RequestFlow forwards a request once if it may have run")
{
  ServingHarness harness;
  auto reads = std::make_shared<int>(0);
  const ServingHarness::Script breakOff = [reads](TargetConnection& aConnection,
                                                  int) -> Task<void> {
    co_await aConnection.ReadRequest();
    ++*reads;
  };
  harness.AddUnreachableTarget("t1");
  harness.AddNode(breakOff);
  harness.AddNode(breakOff);
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/once/x", "a", kTimeout);
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 502);
  CHECK(*reads == 1);
}

// Guards against a request that runs twice, because a target's response is
// taken for a refusal of the node that passes it on.
TEST_CASE("RequestFlow takes no response that names its target for a refusal")
{
  ServingHarness harness;
  Heads heads;
  harness.AddUnreachableTarget("t1");
  const int status = GENERATE(200, 500, 503);
  const std::string response =
    PlainResponse(status,
                  "X-Signed: 1\r\nX-Attempt: a\r\n"
                  "Apricottrack-Refused: 1\r\nApricottrack-Target: t9\r\n",
                  "from t9");
  harness.AddNode(Answer(response, heads.first));
  harness.AddNode(Answer(response, heads.first));
  std::string received;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      received = co_await harness.Call("/once/x", "a", kTimeout);
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(received) == (status == 503 ? 502 : status));
  CHECK(heads.first->size() == 1);
}

// Guards against the same, and against a catalog version or a target's name
// that come from a target.
TEST_CASE("RequestFlow passes on no headers between nodes that a target sends")
{
  ServingHarness harness;
  Heads heads;
  harness.AddTarget("t1",
                    Answer(PlainResponse(200,
                                         "X-Signed: 1\r\nX-Attempt: a\r\n"
                                         "X-Apricottrack-Free: 1\r\n"
                                         "Apricottrack-Refused: 1\r\n"
                                         "Apricottrack-Target: t9\r\n"
                                         "Apricottrack-Catalog-Version: 99\r\n",
                                         "b"),
                           heads.first));
  std::string direct;
  std::string forwarded;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      direct = co_await harness.Call("/once/x", "a", kTimeout);
      forwarded = co_await harness.Exchange(harness.StartForwardServer(),
                                            ForwardedHead("/once/x", 1));
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(direct) == 200);
  CHECK(direct.find("\r\nApricottrack-") == std::string::npos);
  CHECK(StatusOf(forwarded) == 200);
  CHECK(forwarded.find("Apricottrack-Refused") == std::string::npos);
  CHECK(forwarded.find("Apricottrack-Target: t1") != std::string::npos);
  CHECK(forwarded.find("t9") == std::string::npos);
  CHECK(forwarded.find("99") == std::string::npos);
}

// Guards against a request that circulates between nodes.
TEST_CASE("RequestFlow does not forward a forwarded request")
{
  ServingHarness harness;
  Heads heads;
  harness.AddUnreachableTarget("t1");
  harness.AddNode(Answer(SignedResponse(), heads.first));
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Exchange(harness.StartForwardServer(),
                                           ForwardedHead("/idempotent/x", 2));
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 503);
  CHECK(response.find("Apricottrack-Refused: 1") != std::string::npos);
  CHECK(heads.first->empty());
}

TEST_CASE(
  "RequestFlow runs a forwarded request at no more targets than allowed")
{
  ServingHarness harness;
  auto runs = std::make_shared<int>(0);
  const ServingHarness::Script breakOff = [runs](TargetConnection& aConnection,
                                                 int) -> Task<void> {
    co_await aConnection.ReadRequest();
    ++*runs;
  };
  harness.AddTarget("t1", breakOff);
  harness.AddTarget("t2", breakOff);
  const int maxTargets = GENERATE(1, 2);
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response =
        co_await harness.Exchange(harness.StartForwardServer(),
                                  ForwardedHead("/idempotent/x", maxTargets));
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 502);
  CHECK(response.find("Apricottrack-Refused") == std::string::npos);
  CHECK(*runs == maxTargets);
}

TEST_CASE("RequestFlow names the target of a forwarded request")
{
  ServingHarness harness;
  Heads heads;
  harness.AddTarget(
    "t1",
    Answer(PlainResponse(200, "X-Signed: 1\r\nX-Attempt: a\r\n", "b"),
           heads.first));
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Exchange(harness.StartForwardServer(),
                                           ForwardedHead("/idempotent/x", 2));
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("Apricottrack-Target: t1") != std::string::npos);
}

// Guards against requests to a target whose leaving another node has heard.
TEST_CASE("RequestFlow learns from a forwarded response that a target leaves")
{
  ServingHarness harness;
  Heads heads;
  harness.AddUnreachableTarget("t9");
  harness.AddNode(
    Answer(PlainResponse(200,
                         "X-Signed: 1\r\nX-Attempt: a\r\nX-Leaving: 1\r\n"
                         "Apricottrack-Target: t9\r\n",
                         "b"),
           heads.first));
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      co_await harness.Call("/idempotent/x", "a", kTimeout);
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(harness.context.pauses.EarliestSend("t9", 0, MonotonicNow()) ==
        Instant::max());
}

TEST_CASE("RequestFlow continues an interrupted stream through another node")
{
  ServingHarness harness;
  harness.context.nodeCount = 1;
  auto calls = std::make_shared<int>(0);
  harness.AddTarget("t1", BreakThenAnswer(calls, ""));
  harness.AddUnreachableTarget("t2");
  harness.context.reach.OnConnectFailed("t2", MonotonicNow());
  Heads heads;
  harness.AddNode(Answer(StreamHead("a") + Event(4) + Chunk(""), heads.first));
  std::string response;
  const bool ended = harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call("/stream/x", "a", kTimeout);
    },
    kTestLimit);
  REQUIRE(ended);
  CHECK(StatusOf(response) == 200);
  CHECK(response.find("id: 4") != std::string::npos);
  REQUIRE(heads.first->size() == 1);
  CHECK(heads.first->front().find("Last-Event-Id: 3") != std::string::npos);
  CHECK(IsCompleteStream(response));
}

TEST_CASE("ReachTask finds an isolated node, and the end of that")
{
  ServingHarness harness;
  std::vector<std::string> addresses;
  for (int i = 0; i < 5; ++i) {
    addresses.push_back(ServingHarness::FreeAddress(harness.io));
    harness.AddTargetAt(fmt::format("t{}", i), addresses.back());
  }
  int judged = 0;
  ReachTask task(harness.context, ReachTask::Options{}, [&] { ++judged; });
  task.CheckSuspected("t0", MonotonicNow());
  harness.io.run_for(milliseconds(100));
  CHECK(harness.context.reach.IsIsolated());
  CHECK(harness.context.ForwardAddress().empty());
  CHECK(judged == 1);
  std::vector<tcp::acceptor> acceptors;
  acceptors.reserve(addresses.size());
  for (const std::string& address : addresses) {
    acceptors.emplace_back(harness.io, *ParseEndpoint(address));
  }
  for (int i = 0; i < 20 && harness.context.reach.IsIsolated(); ++i) {
    harness.io.run_for(milliseconds(25));
    task.CheckNow();
  }
  CHECK_FALSE(harness.context.reach.IsIsolated());
  CHECK(judged == 2);
}
