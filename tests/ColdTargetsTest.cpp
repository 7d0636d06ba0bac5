#include "placement/ColdTargets.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };
const CatalogService kService{ .name = "s",
                               .coldTime = seconds(3),
                               .coldRate = 17 };

TargetRecord
MakeTarget(std::string aId, std::string aZone, Duration aColdRemaining)
{
  return { .id = std::move(aId),
           .service = "s",
           .availabilityZone = std::move(aZone),
           .coldRemaining = aColdRemaining };
}

} // namespace

TEST_CASE("ColdTargets counts the time of an entry from its last change")
{
  const TargetRecord target = MakeTarget("t", "a", seconds(2));
  const auto until = [&](Duration aAge) {
    return ColdTargets::ColdUntil(
      kService, target, kStart, ZoneEvacuations{}, kStart + aAge);
  };
  CHECK(until(seconds(1)) == kStart + seconds(2));
  CHECK_FALSE(until(seconds(2)));
}

TEST_CASE("ColdTargets does not limit the targets of a service without a rate")
{
  const CatalogService service{ .name = "s", .coldTime = seconds(3) };
  CHECK_FALSE(ColdTargets::ColdUntil(service,
                                     MakeTarget("t", "a", seconds(2)),
                                     kStart,
                                     ZoneEvacuations{},
                                     kStart));
}

// Guards against a wave of requests to a zone whose targets have become cold
// while it was evacuated.
TEST_CASE("ColdTargets limits all targets of a zone that was just taken back")
{
  ZoneEvacuations evacuations;
  evacuations.Apply({ .zones = { "a" }, .revision = 1 }, kStart - seconds(9));
  evacuations.Apply({ .zones = {}, .revision = 2 }, kStart);
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("t1", "a", Duration::zero()), kStart - seconds(60));
  fleet.Put(MakeTarget("t2", "b", Duration::zero()), kStart - seconds(60));
  TargetLimits limits(TargetLimits::Options{}, 1);
  const Catalog catalog{ .version = 1, .services = { kService } };
  ColdTargets::Limit(catalog, fleet, evacuations, limits, kStart);
  CHECK(limits.IsCold("t1", kStart + milliseconds(2999)));
  CHECK_FALSE(limits.IsCold("t1", kStart + seconds(3)));
  CHECK_FALSE(limits.IsCold("t2", kStart));
}
