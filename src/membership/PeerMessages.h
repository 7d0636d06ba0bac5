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

/// Messages between nodes, and their FlatBuffers encoding.
namespace apricottrack {

/// A node's demand for accounts that the receiver owns. Answered by
/// DemandTotals.
struct DemandReport
{
  std::string node;
  /// Version of the sender's configuration.
  std::uint64_t configurationVersion = 0;
  Demands demands;

  friend bool operator==(const DemandReport&, const DemandReport&) = default;
};

/// Demand of all nodes but the reporting one for the reported accounts.
struct DemandTotals
{
  /// Version of the sender's configuration.
  std::uint64_t configurationVersion = 0;
  Demands totals;

  friend bool operator==(const DemandTotals&, const DemandTotals&) = default;
};

/// Requests the receiver's configuration. Answered by StoredConfiguration.
struct ConfigurationRequest
{
  /// Version that the sender has.
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
                                 Receipt,
                                 CrashReport,
                                 CrashVerdict>;

/// Maximum size of a message, in bytes.
inline constexpr std::uint32_t kMaxPeerMessageBytes = 2 * 1024 * 1024;

std::string
EncodePeerMessage(const PeerMessage& aMessage);

/// Verifies and decodes one message; kBadReply if it is malformed.
Result<PeerMessage>
ParsePeerMessage(std::string_view aBytes, std::string_view aPeer);

} // namespace apricottrack

#endif
