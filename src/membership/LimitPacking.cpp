#include "membership/LimitPacking.h"

namespace apricottrack::detail {

namespace {

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace

std::vector<flatbuffers::Offset<wire::RequestLimit>>
PackLimits(flatbuffers::FlatBufferBuilder& aBuilder,
           const std::vector<LimitSample>& aLimits)
{
  std::vector<flatbuffers::Offset<wire::RequestLimit>> limits;
  limits.reserve(aLimits.size());
  for (const LimitSample& sample : aLimits) {
    limits.push_back(wire::CreateRequestLimitDirect(
      aBuilder,
      sample.target.c_str(),
      sample.limit ? flatbuffers::Optional<double>(*sample.limit)
                   : flatbuffers::nullopt,
      static_cast<std::uint32_t>(Milliseconds(sample.age))));
  }
  return limits;
}

std::vector<LimitSample>
UnpackLimits(
  const flatbuffers::Vector<flatbuffers::Offset<wire::RequestLimit>>* aItems)
{
  std::vector<LimitSample> limits;
  if (aItems != nullptr) {
    for (const wire::RequestLimit* const item : *aItems) {
      if (item->target() == nullptr) {
        continue;
      }
      const auto limit = item->limit();
      limits.push_back({ .target = item->target()->str(),
                         .limit = limit ? std::optional(*limit) : std::nullopt,
                         .age = milliseconds(item->age_ms()) });
    }
  }
  return limits;
}

std::vector<flatbuffers::Offset<wire::ColdTarget>>
PackColdTargets(flatbuffers::FlatBufferBuilder& aBuilder,
                const std::vector<ColdSample>& aSamples)
{
  std::vector<flatbuffers::Offset<wire::ColdTarget>> targets;
  targets.reserve(aSamples.size());
  for (const ColdSample& sample : aSamples) {
    targets.push_back(wire::CreateColdTargetDirect(
      aBuilder,
      sample.target.c_str(),
      sample.rate,
      static_cast<std::uint32_t>(Milliseconds(sample.remaining))));
  }
  return targets;
}

std::vector<ColdSample>
UnpackColdTargets(
  const flatbuffers::Vector<flatbuffers::Offset<wire::ColdTarget>>* aItems)
{
  std::vector<ColdSample> samples;
  if (aItems != nullptr) {
    for (const wire::ColdTarget* const item : *aItems) {
      if (item->target() == nullptr) {
        continue;
      }
      samples.push_back({ .target = item->target()->str(),
                          .rate = item->rate(),
                          .remaining = milliseconds(item->remaining_ms()) });
    }
  }
  return samples;
}

} // namespace apricottrack::detail
