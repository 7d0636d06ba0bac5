#include "config/CapacityShares.h"

#include <algorithm>

namespace apricottrack {

namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

/// Memory of a VM whose settings do not state it.
constexpr std::size_t kDefaultMemoryBytes = 256 * kMebibyte;
/// Maximum size of a body in a catalog.
constexpr std::size_t kCatalogMaxBodyBytes = 4 * kMebibyte;
/// Number of bodies of the largest size that the counted share has room for at
/// least. Each is counted twice.
constexpr std::size_t kMinBodies = 2;

constexpr std::size_t kCountedShare = 4;
constexpr std::size_t kFreeShare = 8;
constexpr std::size_t kMaxFreeBytes = std::size_t{ 64 } * 1024;

/// Descriptors that are not for sockets.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMinConnections = 8;

constexpr std::size_t kMaxPeers = 1024;
constexpr std::size_t kMaxAdmins = 256;

/// Memory of a VM that has room for that.
std::size_t
MinMemoryBytes(const Settings& aSettings)
{
  const std::size_t body = aSettings.serving
                             ? kCatalogMaxBodyBytes
                             : static_cast<std::size_t>(aSettings.maxBodyBytes);
  return body * 2 * kMinBodies * kCountedShare;
}

std::size_t
MemoryBytes(const Settings& aSettings)
{
  if (aSettings.memoryMb > 0) {
    return static_cast<std::size_t>(aSettings.memoryMb) * kMebibyte;
  }
  return std::max(kDefaultMemoryBytes, MinMemoryBytes(aSettings));
}

} // namespace

CapacityShares
SharesOf(const Settings& aSettings)
{
  const auto connections = static_cast<std::size_t>(aSettings.maxConnections);
  CapacityShares shares{ .callerConnections = connections,
                         .forwardConnections = connections,
                         .peerConnections = kMaxPeers,
                         .adminConnections = kMaxAdmins,
                         .readyConnections = kMaxAdmins,
                         .memory = {} };
  if (aSettings.maxFds > 0) {
    const std::size_t fds = static_cast<std::size_t>(aSettings.maxFds);
    const std::size_t sockets =
      fds > kFileDescriptors ? fds - kFileDescriptors : 0;
    const auto limit = [&](std::size_t& aShare, std::size_t aParts) {
      constexpr std::size_t kParts = 64;
      aShare =
        std::min(aShare, std::max(kMinConnections, sockets * aParts / kParts));
    };
    limit(shares.callerConnections, 24);
    limit(shares.forwardConnections, 8);
    limit(shares.peerConnections, 16);
    limit(shares.adminConnections, 1);
    limit(shares.readyConnections, 1);
  }
  const std::size_t memory = MemoryBytes(aSettings);
  const std::size_t accepted =
    shares.callerConnections + shares.forwardConnections +
    shares.peerConnections + shares.adminConnections + shares.readyConnections;
  shares.memory = { .totalBytes = memory / kCountedShare,
                    .freeBytesPerBody =
                      std::min(kMaxFreeBytes, memory / kFreeShare / accepted) };
  return shares;
}

int
MinMemoryMb(const Settings& aSettings)
{
  return static_cast<int>((MinMemoryBytes(aSettings) + kMebibyte - 1) /
                          kMebibyte);
}

} // namespace apricottrack
