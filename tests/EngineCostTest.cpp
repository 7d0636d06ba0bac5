#include "engine/ReplicaBudget.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

EngineSpec
MakeEngine()
{
  return { .batchSlots = 26,
           .stride = 7,
           .step = microseconds(5950),
           .stepPerRequest = microseconds(45),
           .prefillTokensPerSecond = 50'700,
           .models = {
             { .name = "large", .size = 4, .share = 0.57, .timeFactor = 1 },
             { .name = "small",
               .size = 3,
               .share = 0.43,
               .timeFactor = 0.6 } } };
}

const ModelDemand kLargeDemand{ .requests = 60,
                                .promptTokens = 100'000,
                                .outputTokens = 7'000 };
const ModelDemand kSmallDemand{ .requests = 88,
                                .promptTokens = 63'000,
                                .outputTokens = 19'700 };

} // namespace

TEST_CASE("EngineCost computes times and saturation from the engine spec")
{
  const EngineSpec engine = MakeEngine();
  const EngineCost cost(engine, engine.models[0]);
  CHECK(cost.StepTime(26, 0) == microseconds(7120));
  CHECK(ToSeconds(cost.PrefillTime(1460)) == Approx(0.0288).epsilon(0.01));
  CHECK(ToSeconds(cost.RequestTime(1460, 100)) == Approx(0.741).epsilon(0.01));
  CHECK(cost.PrefillShare(kLargeDemand, 5) == Approx(0.394).epsilon(0.01));
  CHECK(cost.PrefillShare(kLargeDemand, 1) > 1);
  CHECK(cost.Saturation(kLargeDemand, 1) > 10);
  CHECK(cost.Saturation(kLargeDemand, 8) < cost.Saturation(kLargeDemand, 7));
  CHECK(cost.Saturation({}, 1) == 0);
}

TEST_CASE("EngineCost uses the step time of the mean batch, not of a full one")
{
  const EngineSpec engine = MakeEngine();
  const EngineCost cost(engine, engine.models[1]);
  const double running = cost.RunningRequests(kSmallDemand, 7);
  const double decodeShare = 1 - cost.PrefillShare(kSmallDemand, 7);
  const double contextTokens = running * 63'000 / 88;
  CHECK(running < 26);
  CHECK(running ==
        Approx(19'700.0 / 7 * ToSeconds(cost.StepTime(running, contextTokens)) /
               decodeShare)
          .epsilon(0.01));
}

TEST_CASE("ReplicaBudget allocates by declared share while demand is unknown")
{
  const EngineSpec engine = MakeEngine();
  const ReplicaBudget budget(ReplicaBudget::Options{}, engine);
  const auto counts = budget.Allocate(54, {});
  CHECK(counts.at("large") == 7);
  CHECK(counts.at("small") == 7);
  CHECK(budget.Allocate(1, {}).at("large") == 1);
}

TEST_CASE("ReplicaBudget ignores demand for names that are not its models")
{
  const EngineSpec engine = MakeEngine();
  const ReplicaBudget budget(ReplicaBudget::Options{}, engine);
  CHECK(budget.Allocate(54, { { "another", kSmallDemand } }) ==
        budget.Allocate(54, {}));
}

TEST_CASE("ReplicaBudget evens out the saturation of models with known demand")
{
  const EngineSpec engine = MakeEngine();
  const ReplicaBudget budget(ReplicaBudget::Options{}, engine);
  const auto counts = budget.Allocate(
    54, { { "large", kLargeDemand }, { "small", kSmallDemand } });
  CHECK(counts.at("large") * 4 + counts.at("small") * 3 <= 48);
  const double largeSaturation =
    EngineCost(engine, engine.models[0])
      .Saturation(kLargeDemand, counts.at("large"));
  const double smallSaturation =
    EngineCost(engine, engine.models[1])
      .Saturation(kSmallDemand, counts.at("small"));
  CHECK(std::abs(largeSaturation - smallSaturation) < 0.35);
}

TEST_CASE("ReplicaBudget allocates one replica per model under low demand")
{
  const EngineSpec engine = MakeEngine();
  const ReplicaBudget budget(ReplicaBudget::Options{}, engine);
  const ModelDemand lowDemand{ .requests = 1,
                               .promptTokens = 100,
                               .outputTokens = 100 };
  const auto counts =
    budget.Allocate(54, { { "large", lowDemand }, { "small", lowDemand } });
  CHECK(counts.at("large") == 1);
  CHECK(counts.at("small") == 1);
}
