#include "config/CapacityShares.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

Settings
SmallVm()
{
  Settings settings;
  settings.serving = ServingSettings{};
  settings.memoryMb = 160;
  settings.maxFds = 4200;
  return settings;
}

std::size_t
Accepted(const CapacityShares& aShares)
{
  return aShares.callerConnections + aShares.forwardConnections +
         aShares.peerConnections + aShares.adminConnections +
         aShares.readyConnections;
}

} // namespace

// Guards against callers that take the memory and descriptors of the program.
TEST_CASE("SharesOf leaves a part of the VM to the program")
{
  const CapacityShares shares = SharesOf(SmallVm());
  constexpr std::size_t kSockets = 4000;
  CHECK(Accepted(shares) < kSockets * 4 / 5);
  CHECK(shares.memory.totalBytes +
          shares.memory.freeBytesPerBody * Accepted(shares) <=
        160 * kMebibyte * 3 / 8);
}

// Guards against defaults that usual callers meet: some hundred callers whose
// bodies have a few KiB, and two with bodies of 4 MiB, each held twice.
TEST_CASE("SharesOf gives the callers of the smallest VM enough")
{
  const CapacityShares shares = SharesOf(SmallVm());
  constexpr std::size_t kCallers = 800;
  constexpr std::size_t kCallerBytes = std::size_t{ 24 } * 1024;
  CHECK(shares.memory.totalBytes >= kCallers * kCallerBytes + 16 * kMebibyte);
  CHECK(shares.callerConnections >= kCallers);
}

TEST_CASE("SharesOf keeps to the settings without the VM's limits")
{
  Settings settings;
  settings.maxConnections = 100;
  const CapacityShares shares = SharesOf(settings);
  CHECK(shares.callerConnections == 100);
  CHECK(shares.forwardConnections == 100);
  CHECK(shares.memory.totalBytes == 64 * kMebibyte);
  settings.maxBodyBytes = 1 << 30;
  CHECK(SharesOf(settings).memory.totalBytes >= std::size_t{ 2 } << 30);
  settings.maxFds = 1'000'000;
  CHECK(SharesOf(settings).callerConnections == 100);
}

TEST_CASE("SharesOf accepts a few connections with very few descriptors")
{
  Settings settings = SmallVm();
  settings.maxFds = 201;
  const CapacityShares shares = SharesOf(settings);
  CHECK(shares.callerConnections == 8);
  CHECK(shares.adminConnections == 8);
}
