#include "TargetResponses.h"
#include "node/ResponseRelay.h"
#include "node/TargetAttempt.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(60);

const std::string kOwnHeaders =
  "X-Signed: 1\r\nX-Attempt: a\r\nX-Request-Id: a\r\n";

/// Complete responses; a target sends each of them up to every possible byte
/// and closes the connection.
const std::vector<std::string> kResponses = {
  "HTTP/1.1 200 OK\r\n" + kOwnHeaders + "Content-Length: 4\r\n\r\nbody",
  "HTTP/1.1 200 OK\r\n" + kOwnHeaders +
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + kOwnHeaders +
    "Content-Length: 4\r\n\r\nbody",
  "HTTP/1.1 200 OK\r\n" + kOwnHeaders + "Content-Length: 0\r\n\r\n",
};

/// A response whose body ends with the connection; its head must be complete.
const std::string kCloseDelimitedHead =
  "HTTP/1.1 200 OK\r\n" + kOwnHeaders + "Connection: close\r\n\r\n";

/// Sends the first bytes of a response on each connection and closes it.
ServingHarness::Script
SendPart(std::string aBytes)
{
  return [aBytes](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(aBytes);
  };
}

/// Returns the status and body that a caller of RequestFlow gets.
std::string
CallServing(const std::string& aPath, const std::string& aTargetBytes)
{
  ServingHarness harness;
  harness.AddTarget("t", SendPart(aTargetBytes));
  std::string response;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      response = co_await harness.Call(aPath, "a", seconds(2));
    },
    kTestLimit));
  return response;
}

/// Returns how a TargetAttempt ends.
AttemptEnd
RunAttempt(const std::string& aTargetBytes)
{
  ServingHarness harness;
  harness.AddTarget("t", SendPart(aTargetBytes));
  AttemptEnd end = AttemptEnd::kNotSent;
  const std::string address = ServingHarness::FreeAddress(harness.io);
  const auto server = *HttpServer::Make(
    harness.io.get_executor(),
    { .address = address,
      .handler = [&](HttpExchange& aExchange) -> Task<void> {
        ResponseRelay relay(aExchange, "a");
        TargetLimits limits(TargetLimits::Options{}, 1);
        TargetPauses pauses(TargetPauses::Options{});
        TargetAttempt attempt(
          harness.context.targetPool,
          relay,
          limits,
          pauses,
          { .address = harness.context.fleet.Find("t")->address,
            .message = HttpRequest(boost::beast::http::verb::get, "/", 11),
            .attemptId = "a",
            .expectsEcho = true,
            .deadline = MonotonicNow() + seconds(2) });
        end = co_await attempt.Run();
        harness.io.stop();
      },
      .errorResponder = {} });
  tcp::socket socket(harness.io);
  socket.connect(*ParseEndpoint(address));
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  harness.io.run_for(seconds(5));
  return end;
}

} // namespace

// Guards against a response that was cut, in its head or its body, and reaches
// the caller as a complete one.
TEST_CASE("RequestFlow passes on no response that was cut at any byte")
{
  const std::string path = GENERATE("/once/x", "/stream/x");
  const std::string whole = GENERATE(from_range(kResponses));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CAPTURE(path, whole.substr(0, size));
    CHECK(StatusOf(CallServing(path, whole.substr(0, size))) == 502);
  }
  CHECK(StatusOf(CallServing("/once/x", whole)) == 200);
}

TEST_CASE("RequestFlow passes on no response whose head was cut before a body "
          "that ends with the connection")
{
  for (std::size_t size = 0; size < kCloseDelimitedHead.size(); ++size) {
    CAPTURE(size);
    CHECK(StatusOf(CallServing("/once/x",
                               kCloseDelimitedHead.substr(0, size))) == 502);
  }
  CHECK(StatusOf(CallServing("/once/x", kCloseDelimitedHead + "body")) == 200);
}

TEST_CASE("TargetAttempt takes no response for complete that was cut at any "
          "byte")
{
  const std::string whole = GENERATE(from_range(kResponses));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CAPTURE(whole.substr(0, size));
    CHECK(RunAttempt(whole.substr(0, size)) != AttemptEnd::kAnswered);
  }
}

TEST_CASE("Fetch fails on a response that was cut at any byte")
{
  const std::string whole = GENERATE(from_range(kResponses));
  ServingHarness harness;
  std::size_t size = 0;
  harness.AddTarget("t", [&](TargetConnection& aConnection, int) -> Task<void> {
    co_await aConnection.ReadRequest();
    co_await aConnection.Write(whole.substr(0, size));
  });
  const std::string address = harness.context.fleet.Find("t")->address;
  REQUIRE(harness.Run(
    [&]() -> Task<void> {
      for (; size < whole.size(); ++size) {
        const auto response =
          co_await FetchOnNewConnection(harness.context.targetPool,
                                        address,
                                        HttpRequest{},
                                        { .timeout = seconds(2) });
        CAPTURE(size);
        // The first response of two, an interim one, is complete by itself.
        CHECK((!response || response->result_int() == 100));
      }
    },
    kTestLimit));
}
