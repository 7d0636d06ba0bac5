#include "placement/CandidateDirectory.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

Catalog
OneService()
{
  EngineSpec engine;
  engine.models = { { .name = "m", .size = 2 } };
  return { .version = 1, .services = { { .name = "s", .engine = engine } } };
}

TargetRecord
Member(int aRank, MemberState aState)
{
  return { .id = fmt::format("t{}", aRank),
           .service = "s",
           .model = "m",
           .membership = Membership{
             .replica = "r", .epoch = 5, .rank = aRank, .state = aState } };
}

/// Returns the number of candidates for the model that the records yield.
std::size_t
CandidateCount(const std::vector<TargetRecord>& aRecords,
               const std::set<std::string>& aBrokenReplicas = {},
               const std::set<std::string>& aConfirmedReplicas = {},
               const ZoneEvacuations::Zones& aEvacuatedZones = {})
{
  Fleet fleet(Fleet::Options{});
  for (const TargetRecord& record : aRecords) {
    fleet.Put(record, kStart);
  }
  CandidateDirectory directory;
  const Catalog catalog = OneService();
  directory.Rebuild(
    catalog, fleet, aBrokenReplicas, aConfirmedReplicas, aEvacuatedZones);
  return directory.Find(catalog.services.front(), "m").size();
}

} // namespace

TEST_CASE("CandidateDirectory lists only complete replicas with an open head")
{
  const TargetRecord head = Member(0, MemberState::kOpen);
  const TargetRecord other = Member(1, MemberState::kReady);
  CHECK(CandidateCount({ head, other }) == 1);
  CHECK(CandidateCount({ head }) == 0);
  CHECK(CandidateCount({ Member(0, MemberState::kReady), other }) == 0);
  CHECK(CandidateCount({ head, other }, { "r/5" }) == 0);
  CHECK(CandidateCount({ head, other }, { "r/4" }) == 1);
}

TEST_CASE(
  "CandidateDirectory lists confirmed replicas if other members are missing")
{
  const TargetRecord head = Member(0, MemberState::kOpen);
  CHECK(CandidateCount({ head }, {}, { "r/5" }) == 1);
  CHECK(CandidateCount({ head }, {}, { "r/4" }) == 0);
  CHECK(CandidateCount({ head }, { "r/5" }, { "r/5" }) == 0);
  // The address of the head is needed, so a replica without one is left out.
  CHECK(CandidateCount({ Member(1, MemberState::kReady) }, {}, { "r/5" }) == 0);
}

TEST_CASE(
  "CandidateDirectory ignores members of another epoch and leaves out leaving "
  "heads")
{
  const TargetRecord head = Member(0, MemberState::kOpen);
  TargetRecord older = Member(1, MemberState::kReady);
  older.membership->epoch = 4;
  CHECK(CandidateCount({ head, older }) == 0);
  TargetRecord leaving = head;
  leaving.leaving = true;
  CHECK(CandidateCount({ leaving, Member(1, MemberState::kReady) }) == 0);
  TargetRecord member = Member(1, MemberState::kReady);
  member.leaving = true;
  CHECK(CandidateCount({ head, member }) == 1);
}

TEST_CASE(
  "CandidateDirectory lists all but leaving targets of services without "
  "replicas")
{
  const Catalog catalog{ .version = 1, .services = { { .name = "s" } } };
  Fleet fleet(Fleet::Options{});
  fleet.Put({ .id = "a", .service = "s" }, kStart);
  fleet.Put({ .id = "b", .service = "s", .leaving = true }, kStart);
  fleet.Put({ .id = "c", .service = "other" }, kStart);
  CandidateDirectory directory;
  directory.Rebuild(catalog, fleet, {}, {});
  const auto& found = directory.Find(catalog.services.front(), "any");
  REQUIRE(found.size() == 1);
  CHECK(found.front().id == "a");
}

TEST_CASE("CandidateDirectory lists no targets of an evacuated zone")
{
  TargetRecord head = Member(0, MemberState::kOpen);
  head.availabilityZone = "a";
  TargetRecord other = Member(1, MemberState::kReady);
  other.availabilityZone = "b";
  CHECK(CandidateCount({ head, other }, {}, {}, { "a" }) == 0);
  CHECK(CandidateCount({ head, other }, {}, {}, { "b" }) == 1);
}
