#include "engine/EngineCost.h"

#include <algorithm>
#include <limits>

namespace apricottrack {

namespace {

/// Share of a replica's time that prefill may take. Above it, the time to first
/// token exceeds common latency objectives.
constexpr double kMaxPrefillShare = 0.36;
/// Share of the batch slots that may be occupied on average. The rest absorbs
/// uneven arrivals.
constexpr double kMaxSlotShare = 0.85;
/// Iterations of the fixed point in `RunningRequests`. They converge to within
/// 1%, because the step time depends only weakly on the batch size.
constexpr int kFixedPointIterations = 3;
constexpr double kTokensPerThousand = 1000;
constexpr double kPairsPerMillion = 1e6;

} // namespace

EngineCost::EngineCost(const EngineSpec& aEngine, const ReplicaModel& aModel)
  : engine(aEngine)
  , model(aModel)
{
}

Duration
EngineCost::StepTime(double aRunningRequests, double aContextTokens) const
{
  const double seconds =
    ToSeconds(this->engine.step) +
    aRunningRequests * ToSeconds(this->engine.stepPerRequest) +
    aContextTokens / kTokensPerThousand *
      ToSeconds(this->engine.stepPerThousandTokens);
  return FromSeconds(seconds * this->model.timeFactor);
}

Duration
EngineCost::PrefillTime(double aPromptTokens) const
{
  if (this->engine.prefillTokensPerSecond <= 0) {
    return Duration::zero();
  }
  // Attention: pairs of a token and one before it.
  const double pairs = aPromptTokens * aPromptTokens / 2 / kPairsPerMillion;
  const double seconds = aPromptTokens / this->engine.prefillTokensPerSecond +
                         pairs * ToSeconds(this->engine.prefillPerMillionPairs);
  return FromSeconds(seconds * this->model.timeFactor);
}

Duration
EngineCost::PassTime(double aRunningRequests, double aContextTokens) const
{
  return this->StepTime(aRunningRequests, aContextTokens) * this->engine.stride;
}

Duration
EngineCost::RequestTime(double aPromptTokens, double aOutputTokens) const
{
  const double slots = this->engine.batchSlots;
  const double seconds =
    ToSeconds(this->StepTime(slots, slots * (aPromptTokens + aOutputTokens))) *
    aOutputTokens;
  return this->PrefillTime(aPromptTokens) + FromSeconds(seconds);
}

double
EngineCost::PrefillShare(const ModelDemand& aDemand, double aReplicaCount) const
{
  if (aDemand.requests <= 0) {
    return 0;
  }
  const double meanPromptTokens = aDemand.promptTokens / aDemand.requests;
  return aDemand.requests * ToSeconds(this->PrefillTime(meanPromptTokens)) /
         aReplicaCount;
}

double
EngineCost::RunningRequests(const ModelDemand& aDemand,
                            double aReplicaCount) const
{
  const double decodeShare = 1 - this->PrefillShare(aDemand, aReplicaCount);
  if (decodeShare <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  if (aDemand.requests <= 0) {
    return 0;
  }
  const double meanContextTokens = aDemand.promptTokens / aDemand.requests;
  // The step time depends on the batch size and the batch size on the step
  // time; solved by fixed-point iteration.
  double runningRequests = this->engine.batchSlots;
  for (int i = 0; i < kFixedPointIterations; ++i) {
    const double batchSize =
      std::min(runningRequests, static_cast<double>(this->engine.batchSlots));
    runningRequests =
      aDemand.outputTokens / aReplicaCount *
      ToSeconds(this->StepTime(batchSize, batchSize * meanContextTokens)) /
      decodeShare;
  }
  return runningRequests;
}

double
EngineCost::Saturation(const ModelDemand& aDemand, double aReplicaCount) const
{
  return std::max(this->PrefillShare(aDemand, aReplicaCount) / kMaxPrefillShare,
                  this->RunningRequests(aDemand, aReplicaCount) /
                    (kMaxSlotShare * this->engine.batchSlots));
}

} // namespace apricottrack
