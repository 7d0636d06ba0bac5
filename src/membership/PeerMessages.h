#ifndef APRICOTTRACK_MEMBERSHIP_PEERMESSAGES_H
#define APRICOTTRACK_MEMBERSHIP_PEERMESSAGES_H

#include "apricottrack/Error.h"
#include "config/StoredConfiguration.h"
#include "fleet/FleetMessages.h"
#include "membership/DemandLedger.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Messages between nodes and their FlatBuffers encoding.
namespace apricottrack {

/// One node's demand for accounts that the receiver sums up.
struct DemandReport
{
  std::string node;
  std::uint64_t configurationVersion = 0;
  Demands demands;

  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

/// Demand of all other nodes for the reported accounts.
struct DemandTotals
{
  std::uint64_t configurationVersion = 0;
  Demands totals;

  friend bool operator==(const DemandTotals&, const DemandTotals&) = default;
};

struct ConfigurationRequest
{
  std::uint64_t knownVersion = 0;

  friend bool operator==(const ConfigurationRequest&,
                         const ConfigurationRequest&) = default;
};

using PeerMessage = std::variant<DemandReport,
                                 DemandTotals,
                                 ConfigurationRequest,
                                 StoredConfiguration,
                                 FleetQuestion,
                                 FleetAnswer,
                                 StallNotice,
                                 Receipt>;

/// Largest message that a node accepts, bytes.
inline constexpr std::uint32_t kMaxPeerMessageBytes = 2 * 1024 * 1024;

std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// Verifies and decodes; kBadReply for anything else than one message.
Result<PeerMessage>
ParsePeerMessage(std::string_view aBytes, std::string_view aPeer);

} // namespace apricottrack

#endif
