#ifndef APRICOTTRACK_MEMBERSHIP_LIMITPACKING_H
#define APRICOTTRACK_MEMBERSHIP_LIMITPACKING_H

#include "limits/LimitSample.h"

#include <vector>
#include <wire/peer_generated.h>

/// Encodes and decodes what nodes tell each other about targets that accept
/// only some requests. Entries without a target are left out.
namespace apricottrack::detail {

std::vector<flatbuffers::Offset<wire::RequestLimit>>
PackLimits(flatbuffers::FlatBufferBuilder& aBuilder,
           const std::vector<LimitSample>& aLimits);

std::vector<LimitSample>
UnpackLimits(
  const flatbuffers::Vector<flatbuffers::Offset<wire::RequestLimit>>* aItems);

std::vector<flatbuffers::Offset<wire::ColdTarget>>
PackColdTargets(flatbuffers::FlatBufferBuilder& aBuilder,
                const std::vector<ColdSample>& aSamples);

std::vector<ColdSample>
UnpackColdTargets(
  const flatbuffers::Vector<flatbuffers::Offset<wire::ColdTarget>>* aItems);

} // namespace apricottrack::detail

#endif
