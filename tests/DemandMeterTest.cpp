#include "placement/DemandMeter.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

} // namespace

TEST_CASE("DemandMeter says nothing until it has measured long enough")
{
  DemandMeter meter({ .memory = seconds(3) });
  meter.OnRequest("a", 100, 10, kStart);
  CHECK(meter.Demands(kStart + seconds(2)).empty());
  CHECK(meter.Demands(kStart + seconds(3)).contains("a"));
}

TEST_CASE("DemandMeter tells of rare models as soon as of frequent ones")
{
  // One node of many sees few requests for a model; the first of them comes
  // late, and must not make the model seem unused until much later.
  DemandMeter meter({ .memory = seconds(3) });
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
