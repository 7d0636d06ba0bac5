#include "serving/StartGate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// Requests that come while a node reads what it needs, and how many of them
/// went on before it had.
struct Waiting
{
  int wentOn = 0;
  int early = 0;
};

Waiting
Play(Duration aReads, Duration aPatience)
{
  boost::asio::io_context context;
  StartGate gate(context.get_executor());
  Waiting waiting;
  for (int i = 0; i < 50; ++i) {
    boost::asio::co_spawn(
      context,
      [&]() -> Task<void> {
        co_await gate.Wait(MonotonicNow() + aPatience);
        ++waiting.wentOn;
        waiting.early += gate.IsOpen() ? 0 : 1;
      },
      boost::asio::detached);
  }
  boost::asio::steady_timer reads(context, aReads);
  reads.async_wait([&](auto) { gate.Open(); });
  context.run();
  return waiting;
}

} // namespace

TEST_CASE("StartGate lets the requests of a restart wait until it can serve")
{
  const Waiting waiting = Play(milliseconds(60), seconds(10));
  CHECK(waiting.wentOn == 50);
  CHECK(waiting.early == 0);
}

TEST_CASE("StartGate holds no request for longer than its patience")
{
  const Waiting waiting = Play(milliseconds(200), milliseconds(30));
  CHECK(waiting.wentOn == 50);
  CHECK(waiting.early == 50);
}
