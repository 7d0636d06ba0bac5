#include "replicas/RoundPacer.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

// Guards against a planner that spends all of its processor time on rounds and
// renews its lease too late.
TEST_CASE("RoundPacer plans less often while rounds start late")
{
  RoundPacer pacer(RoundPacer::Options{ .minInterval = milliseconds(50),
                                        .maxInterval = milliseconds(400),
                                        .lateThreshold = milliseconds(40) });
  CHECK_FALSE(pacer.OnRound(milliseconds(40)));
  CHECK(pacer.Interval() == milliseconds(50));
  CHECK(pacer.OnRound(milliseconds(41)));
  CHECK(pacer.Interval() == milliseconds(100));
  for (int i = 0; i < 5; ++i) {
    pacer.OnRound(milliseconds(200));
  }
  CHECK(pacer.Interval() == milliseconds(400));
}

TEST_CASE("RoundPacer returns to the shortest interval")
{
  RoundPacer pacer(RoundPacer::Options{});
  pacer.OnRound(milliseconds(100));
  Duration previous = pacer.Interval();
  for (int i = 0; i < 7; ++i) {
    pacer.OnRound(Duration::zero());
    CHECK(pacer.Interval() <= previous);
    previous = pacer.Interval();
  }
  CHECK(pacer.Interval() == milliseconds(50));
}
