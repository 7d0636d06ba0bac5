#include "fleet/ZoneEvacuations.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

} // namespace

TEST_CASE("ZoneEvacuations follows the newest reading")
{
  ZoneEvacuations evacuations;
  CHECK(evacuations.KnownRevision() == 0);
  CHECK(evacuations.Apply({ .zones = { "a" }, .revision = 5 }, kStart));
  CHECK(evacuations.IsEvacuated("a"));
  CHECK_FALSE(evacuations.IsEvacuated("b"));
  CHECK_FALSE(evacuations.Apply({ .zones = {}, .revision = 4 }, kStart));
  CHECK(evacuations.IsEvacuated("a"));
  CHECK_FALSE(evacuations.Apply({ .zones = { "a" }, .revision = 6 }, kStart));
  CHECK(evacuations.KnownRevision() == 6);
  CHECK(evacuations.Apply({ .zones = { "b" }, .revision = 7 }, kStart));
  CHECK(evacuations.Evacuated() == ZoneEvacuations::Zones{ "b" });
}

TEST_CASE("ZoneEvacuations states when a zone was taken back")
{
  ZoneEvacuations evacuations;
  const Instant takenBackAt = kStart + seconds(9);
  evacuations.Apply({ .zones = { "a", "b" }, .revision = 5 }, kStart);
  CHECK_FALSE(evacuations.TakenBackAt("a"));
  evacuations.Apply({ .zones = { "b" }, .revision = 6 }, takenBackAt);
  CHECK(evacuations.TakenBackAt("a") == takenBackAt);
  CHECK_FALSE(evacuations.TakenBackAt("b"));
  evacuations.Apply({ .zones = { "a" }, .revision = 7 },
                    takenBackAt + seconds(1));
  CHECK_FALSE(evacuations.TakenBackAt("a"));
}

// Guards against requests to an evacuated zone after the store has lost the
// operator's last writes.
TEST_CASE("ZoneEvacuations takes no zone back by a reading of a store that was "
          "just restored")
{
  ZoneEvacuations evacuations;
  evacuations.Apply({ .zones = { "a" }, .revision = 5 }, kStart);
  CHECK(evacuations.Apply({ .zones = { "b" }, .revision = 6, .mayEnd = false },
                          kStart));
  CHECK(evacuations.Evacuated() == ZoneEvacuations::Zones{ "a", "b" });
  CHECK(evacuations.Apply({ .zones = { "b" }, .revision = 7 }, kStart));
  CHECK_FALSE(evacuations.IsEvacuated("a"));
}
