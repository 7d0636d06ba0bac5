#include "placement/DemandMeter.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

} // namespace

TEST_CASE("DemandMeter reports no demand before one time constant has passed")
{
  DemandMeter meter({ .timeConstant = seconds(3) });
  meter.OnRequest("a", 100, 10, kStart);
  CHECK(meter.Demands(kStart + seconds(2)).empty());
  CHECK(meter.Demands(kStart + seconds(3)).contains("a"));
}

TEST_CASE("DemandMeter reports rare and frequent models at the same time")
{
  // A node can get the first request for a rare model long after its own start.
  // The demand must be reported one time constant after the first request for
  // any model, not after the first one for this model.
  DemandMeter meter({ .timeConstant = seconds(3) });
  for (int i = 0; i < 300; ++i) {
    meter.OnRequest("often", 100, 10, kStart + milliseconds(10) * i);
    if (i == 200) {
      meter.OnRequest("rare", 1000, 100, kStart + milliseconds(10) * i);
    }
  }
  const ModelDemands demands = meter.Demands(kStart + seconds(3));
  REQUIRE(demands.contains("rare"));
  CHECK(demands.at("rare").requests == Approx(0.38).epsilon(0.05));
  CHECK(demands.at("often").requests == Approx(100).epsilon(0.02));
}
