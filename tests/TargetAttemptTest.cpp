#include "node/TargetAttempt.h"

#include "ServingHarness.h"
#include "TargetResponses.h"
#include "node/ResponseRelay.h"

using namespace apricottrack;

namespace {

constexpr Duration kTestLimit = seconds(10);

struct AttemptResult
{
  AttemptEnd end = AttemptEnd::kNotSent;
  /// For how long the target is paused after the attempt.
  Duration pause = Duration::zero();
};

/// Runs one attempt at a target that answers with these bytes, and whose zone
/// may be evacuated while the attempt connects.
AttemptResult
RunAttempt(const std::string& aResponse, bool aIsEvacuated = false)
{
  asio::io_context io(1);
  TargetLimits limits(TargetLimits::Options{}, 1);
  TargetPauses pauses(TargetPauses::Options{});
  HttpConnectionPool pool(io.get_executor(), HttpConnectionPool::Options{});
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string targetAddress =
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
      TargetConnection connection(std::move(socket));
      co_await connection.ReadRequest();
      co_await connection.Write(aResponse);
    },
    asio::detached);
  AttemptResult result;
  const std::string address = ServingHarness::FreeAddress(io);
  const auto server = *HttpServer::Make(
    io.get_executor(),
    { .address = address,
      .handler = [&](HttpExchange& aExchange) -> Task<void> {
        ResponseRelay relay(aExchange, "r");
        HttpRequest message(boost::beast::http::verb::get, "/", 11);
        message.set(boost::beast::http::field::host, targetAddress);
        TargetAttempt attempt(pool,
                              relay,
                              limits,
                              pauses,
                              { .targetId = "t",
                                .address = targetAddress,
                                .message = message,
                                .deadline = MonotonicNow() + seconds(5),
                                .isEvacuated = [&] { return aIsEvacuated; } });
        result.end = co_await attempt.Run();
        const Instant now = MonotonicNow();
        result.pause = pauses.EarliestSend("t", now) - now;
        io.stop();
      },
      .errorResponder =
        [](unsigned aStatus, std::string_view) {
          return JsonResponse(aStatus, "{}");
        } });
  asio::co_spawn(
    io,
    [&]() -> Task<void> {
      tcp::socket socket(io);
      co_await socket.async_connect(*ParseEndpoint(address), kAsTuple);
      const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
      std::string response;
      co_await asio::async_read(
        socket, asio::dynamic_buffer(response), kAsTuple);
    },
    asio::detached);
  io.run_for(kTestLimit);
  return result;
}

Duration
PauseAfterResponse(const std::string& aResponse)
{
  return RunAttempt(aResponse).pause;
}

} // namespace

TEST_CASE("TargetAttempt records the pause that a target's 503 asks for")
{
  const std::string pause = "Retry-After: 20\r\n";
  const std::string notRun = pause + "X-Request-Outcome: not_run\r\n";
  CHECK(PauseAfterResponse(PlainResponse(503, notRun, "full")) > seconds(15));
  CHECK(PauseAfterResponse(PlainResponse(503, pause, "full")) > seconds(15));
  CHECK(PauseAfterResponse(PlainResponse(503, "", "full")) == Duration::zero());
  CHECK(PauseAfterResponse(PlainResponse(429, notRun, "slow")) ==
        Duration::zero());
}

// Guards against the callers of a target in trouble getting a status that HTTP
// does not allow.
TEST_CASE("TargetAttempt takes a status outside of the range of HTTP for no "
          "response")
{
  const int status = GENERATE(101, 600, 999);
  CHECK(RunAttempt(PlainResponse(status, "", "odd")).end ==
        AttemptEnd::kTruncated);
  CHECK(RunAttempt("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n").end ==
        AttemptEnd::kTruncated);
  CHECK(RunAttempt("HTTP/1.1 103 Early Hints\r\n\r\n" +
                   PlainResponse(200, "", "whole"))
          .end == AttemptEnd::kAnswered);
}

// Guards against callers who are told that a request has not run that has, and
// who therefore send it again.
TEST_CASE("TargetAttempt takes a status that states not run for no response "
          "without the target's guarantee")
{
  const int status = GENERATE(408, 421, 429, 503);
  const std::string headers = GENERATE("",
                                       "X-Request-Outcome: answered\r\n",
                                       "Retry-After: 1\r\n",
                                       "Content-Type: text/event-stream\r\n");
  CAPTURE(status, headers);
  CHECK(RunAttempt(PlainResponse(status, headers, "booked")).end ==
        AttemptEnd::kUnconfirmedRefusal);
  CHECK(
    RunAttempt(
      PlainResponse(status, headers + "X-Request-Outcome: not_run\r\n", "full"))
      .end == (headers.starts_with("X-") ? AttemptEnd::kUnconfirmedRefusal
                                         : AttemptEnd::kRefusedNotRun));
  CHECK(RunAttempt(PlainResponse(500, headers, "failed")).end !=
        AttemptEnd::kUnconfirmedRefusal);
}

TEST_CASE("TargetAttempt sends nothing to a target whose zone was evacuated")
{
  const std::string response = PlainResponse(200, "", "whole");
  CHECK(RunAttempt(response).end == AttemptEnd::kAnswered);
  CHECK(RunAttempt(response, true).end == AttemptEnd::kNotSent);
}
