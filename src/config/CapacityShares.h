#ifndef APRICOTTRACK_CONFIG_CAPACITYSHARES_H
#define APRICOTTRACK_CONFIG_CAPACITYSHARES_H

#include "apricottrack/Settings.h"
#include "http/ByteBudget.h"

#include <cstddef>

namespace apricottrack {

/// What callers and other nodes may take of the VM's memory and descriptors
/// together. The rest is for the program and its own connections.
struct CapacityShares
{
  /// Maximum numbers of connections that the node accepts.
  std::size_t callerConnections = 0;
  std::size_t forwardConnections = 0;
  std::size_t peerConnections = 0;
  std::size_t adminConnections = 0;
  std::size_t readyConnections = 0;
  ByteBudget::Options memory;

  friend bool operator==(const CapacityShares&,
                         const CapacityShares&) = default;
};

CapacityShares
SharesOf(const Settings& aSettings);

/// Smallest `memory_mb` with which requests of the largest size are served.
int
MinMemoryMb(const Settings& aSettings);

} // namespace apricottrack

#endif
