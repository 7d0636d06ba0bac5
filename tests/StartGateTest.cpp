#include "serving/StartGate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// Requests that arrived before the gate opened: how many returned from the
/// wait, and how many of them while the gate was still closed.
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

TEST_CASE("StartGate holds the requests of a restart until it opens")
{
  const Waiting waiting = Play(milliseconds(60), seconds(10));
  CHECK(waiting.wentOn == 50);
  CHECK(waiting.early == 0);
}

TEST_CASE("StartGate releases waiting requests at their deadline if it stays "
          "closed")
{
  const Waiting waiting = Play(milliseconds(200), milliseconds(30));
  CHECK(waiting.wentOn == 50);
  CHECK(waiting.early == 50);
}
