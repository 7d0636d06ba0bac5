#include "replicas/ReplicaDirectory.h"

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

std::size_t
ServingCount(const std::vector<TargetRecord>& aRecords,
             const std::set<std::string>& aBroken = {})
{
  Fleet fleet(Fleet::Options{});
  for (const TargetRecord& record : aRecords) {
    fleet.Put(record, kStart);
  }
  ReplicaDirectory directory;
  directory.Rebuild(OneService(), fleet, aBroken);
  return directory.Serving("s", "m").size();
}

} // namespace

TEST_CASE("ReplicaDirectory lists replicas that are whole and open")
{
  const TargetRecord head = Member(0, MemberState::kOpen);
  const TargetRecord other = Member(1, MemberState::kReady);
  CHECK(ServingCount({ head, other }) == 1);
  CHECK(ServingCount({ head }) == 0);
  CHECK(ServingCount({ Member(0, MemberState::kReady), other }) == 0);
  CHECK(ServingCount({ head, other }, { "r/5" }) == 0);
  CHECK(ServingCount({ head, other }, { "r/4" }) == 1);
}

TEST_CASE("ReplicaDirectory leaves out members of another epoch and heads that "
          "leave")
{
  const TargetRecord head = Member(0, MemberState::kOpen);
  TargetRecord older = Member(1, MemberState::kReady);
  older.membership->epoch = 4;
  CHECK(ServingCount({ head, older }) == 0);
  TargetRecord leaving = head;
  leaving.leaving = true;
  CHECK(ServingCount({ leaving, Member(1, MemberState::kReady) }) == 0);
  TargetRecord member = Member(1, MemberState::kReady);
  member.leaving = true;
  CHECK(ServingCount({ head, member }) == 1);
}
