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
struct WaitCounts
{
  int released = 0;
  int returnedEarly = 0;
};

/// Holds 50 requests for at most `aMaxWait` each at a gate that opens after
/// `aReadTime`.
WaitCounts
RunRestart(Duration aReadTime, Duration aMaxWait)
{
  boost::asio::io_context context;
  StartGate gate(context.get_executor());
  WaitCounts counts;
  for (int i = 0; i < 50; ++i) {
    boost::asio::co_spawn(
      context,
      [&]() -> Task<void> {
        co_await gate.Wait(MonotonicNow() + aMaxWait);
        ++counts.released;
        counts.returnedEarly += gate.IsOpen() ? 0 : 1;
      },
      boost::asio::detached);
  }
  boost::asio::steady_timer readTimer(context, aReadTime);
  readTimer.async_wait([&](auto) { gate.Open(); });
  context.run();
  return counts;
}

} // namespace

TEST_CASE("StartGate holds the requests of a restart until it opens")
{
  const WaitCounts counts = RunRestart(milliseconds(60), seconds(10));
  CHECK(counts.released == 50);
  CHECK(counts.returnedEarly == 0);
}

TEST_CASE("StartGate releases waiting requests at their deadline if it stays "
          "closed")
{
  const WaitCounts counts = RunRestart(milliseconds(200), milliseconds(30));
  CHECK(counts.released == 50);
  CHECK(counts.returnedEarly == 50);
}
