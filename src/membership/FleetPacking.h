#ifndef APRICOTTRACK_MEMBERSHIP_FLEETPACKING_H
#define APRICOTTRACK_MEMBERSHIP_FLEETPACKING_H

#include "fleet/FleetMessages.h"

#include <wire/peer_generated.h>

/// FlatBuffers encoding of the messages about the fleet and its crashes.
namespace apricottrack::detail {

flatbuffers::Offset<void>
Pack(flatbuffers::FlatBufferBuilder& aBuilder, const FleetQuestion& aMessage);
flatbuffers::Offset<void>
Pack(flatbuffers::FlatBufferBuilder& aBuilder, const FleetAnswer& aMessage);
flatbuffers::Offset<void>
Pack(flatbuffers::FlatBufferBuilder& aBuilder, const StallNotice& aMessage);
flatbuffers::Offset<void>
Pack(flatbuffers::FlatBufferBuilder& aBuilder, const CrashReport& aMessage);
flatbuffers::Offset<void>
Pack(flatbuffers::FlatBufferBuilder& aBuilder, const CrashVerdict& aMessage);

FleetQuestion
Unpack(const wire::FleetQuestion& aBody);
FleetAnswer
Unpack(const wire::FleetAnswer& aBody);
StallNotice
Unpack(const wire::StallNotice& aBody);
CrashReport
Unpack(const wire::CrashReport& aBody);
CrashVerdict
Unpack(const wire::CrashVerdict& aBody);

} // namespace apricottrack::detail

#endif
