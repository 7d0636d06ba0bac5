#include "fleet/Fleet.h"
#include "base/BoundedSink.h"
#include "membership/PeerMessages.h"
#include "replicas/LoadLimiter.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };

TargetRecord
MakeTarget(std::string aId, std::int64_t aRevision)
{
  return { .id = std::move(aId), .service = "s", .revision = aRevision };
}

} // namespace

TEST_CASE("Fleet ignores a record with an older revision")
{
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("a", 5), kStart);
  fleet.Put(MakeTarget("a", 4), kStart);
  CHECK(fleet.Find("a")->revision == 5);
}

TEST_CASE("Fleet reports targets changed and removed since a sequence number")
{
  Fleet fleet(Fleet::Options{});
  fleet.Put(MakeTarget("a", 1), kStart);
  fleet.Put(MakeTarget("b", 2), kStart);
  const std::uint64_t sequenceBefore = fleet.Sequence();
  fleet.Put(MakeTarget("b", 2), kStart);
  CHECK(fleet.Sequence() == sequenceBefore);
  fleet.Put(MakeTarget("c", 3), kStart);
  fleet.Remove("a", kStart);
  std::vector<TargetRecord> changed;
  std::vector<std::string> gone;
  REQUIRE(fleet.ChangesSince(sequenceBefore, changed, gone));
  CHECK(changed == std::vector<TargetRecord>{ MakeTarget("c", 3) });
  CHECK(gone == std::vector<std::string>{ "a" });
  CHECK_FALSE(fleet.ChangesSince(0, changed, gone));
}

// Guards against a history that grows without bound as targets come and go.
TEST_CASE("Fleet prunes removed targets from its history above the limit")
{
  Fleet fleet(Fleet::Options{ .maxRemovedKept = 10 });
  fleet.Put(MakeTarget("stays", 1), kStart);
  const std::uint64_t earlySequence = fleet.Sequence();
  for (int i = 0; i < 20; ++i) {
    const std::string id = "t" + std::to_string(i);
    fleet.Put(MakeTarget(id, 2 + i), kStart);
    fleet.Remove(id, kStart);
  }
  std::vector<TargetRecord> changed;
  std::vector<std::string> gone;
  // A node whose last query is older than the pruned history needs the
  // complete fleet.
  CHECK_FALSE(fleet.ChangesSince(earlySequence, changed, gone));
  const std::uint64_t lateSequence = fleet.Sequence();
  fleet.Put(MakeTarget("new", 99), kStart);
  REQUIRE(fleet.ChangesSince(lateSequence, changed, gone));
  CHECK(changed.size() == 1);
}

// Guards against removing live targets whose entries expired while the store
// was down and which register again after it recovers.
TEST_CASE("Fleet keeps absent entries for the grace period after an outage")
{
  Fleet fleet(Fleet::Options{ .absenceGrace = seconds(2) });
  fleet.Put(MakeTarget("a", 1), kStart);
  fleet.Put(MakeTarget("b", 2), kStart);
  fleet.OnStoreRecovered(kStart);
  fleet.ReplaceAll({}, Fleet::Removal::kWithGrace, kStart);
  CHECK(fleet.All().size() == 2);
  fleet.Put(MakeTarget("b", 3), kStart + seconds(1));
  CHECK(fleet.RemoveExpired(kStart + seconds(2)));
  CHECK(fleet.Find("a") == nullptr);
  CHECK(fleet.Find("b") != nullptr);
  fleet.Remove("b", kStart + seconds(3));
  CHECK(fleet.All().empty());
}

TEST_CASE("PeerMessages decode fleet messages to the values that were encoded")
{
  FleetAnswer answer{
    .source = "x",
    .leads = true,
    .sequence = 7,
    .catalogRevision = 9,
    .catalogAge = milliseconds(120),
    .fleetAge = milliseconds(30),
    .complete = true,
    .targets = { MakeTarget("a", 1) },
    .gone = { "b" },
    .broken = { "r1/5" },
    .vouched = { "r2/6" },
    .nodes = 6,
    .catalog = "{}",
    .loads = { { .target = "a", .requests = 17, .age = milliseconds(250) } },
    .demands = { { "m0", { 4, 5, 6 } } },
    .suspectedParts = { "p1", "p2" },
    .quarantinedParts = { { .parts = { "p3" }, .remaining = seconds(90) } }
  };
  answer.targets.front().membership = Membership{
    .replica = "r1", .epoch = 5, .rank = 2, .state = MemberState::kOpen
  };
  answer.targets.front().stagedModels = { "m0" };
  const auto parsed = ParsePeerMessage(EncodePeerMessage(answer), "peer");
  REQUIRE(parsed);
  CHECK(std::get<FleetAnswer>(*parsed) == answer);
  const FleetQuestion question{
    .node = "n",
    .source = "x",
    .sequence = 3,
    .catalogRevision = 2,
    .wait = milliseconds(400),
    .demands = { { "m0", { 1, 2, 3 } } },
    .wantsCatalog = true,
    .loads = { { .target = "b", .requests = 3 } },
    .lostRequests = { { .target = "a",
                        .parts = { "p1", "p3" },
                        .age = milliseconds(40) } },
    .partAnswers = { { .part = "p1", .count = 8 } },
    .quarantinedParts = { { .parts = { "p4", "p5" }, .remaining = seconds(7) } }
  };
  const auto parsedQuestion =
    ParsePeerMessage(EncodePeerMessage(question), "peer");
  REQUIRE(parsedQuestion);
  CHECK(std::get<FleetQuestion>(*parsedQuestion) == question);
  const StallNotice notice{ .node = "n", .targets = { "a", "b" } };
  const auto parsedNotice = ParsePeerMessage(EncodePeerMessage(notice), "peer");
  REQUIRE(parsedNotice);
  CHECK(std::get<StallNotice>(*parsedNotice) == notice);
}

TEST_CASE(
  "LoadLimiter enforces the start rate and the number of concurrent loads")
{
  LoadLimiter loads;
  loads.Configure({ .loadsPerSecond = 4.5, .concurrentLoads = 6 });
  int startedLoads = 0;
  int maxConcurrent = 0;
  Instant now = kStart;
  for (; now < kStart + seconds(30); now += milliseconds(50)) {
    startedLoads += loads.TryBegin(seconds(16), now) ? 1 : 0;
    maxConcurrent = std::max(maxConcurrent, loads.RunningLoads(now));
  }
  CHECK(startedLoads == 12);
  CHECK(maxConcurrent == 6);
}

TEST_CASE("BoundedSink drops and counts lines above its rate without blocking")
{
  int pipeEnds[2];
  REQUIRE(pipe(pipeEnds) == 0);
  BoundedSink sink(BoundedSink::Options{
    .linesPerSecond = 1, .burst = 3, .descriptor = pipeEnds[1] });
  for (int i = 0; i < 10; ++i) {
    sink.log(spdlog::details::log_msg("x", spdlog::level::info, "line"));
  }
  CHECK(sink.DroppedLines() == 7);
  // A full pipe that nobody reads must not block the writer either.
  BoundedSink fullPipeSink(BoundedSink::Options{
    .linesPerSecond = 1e9, .burst = 1e9, .descriptor = pipeEnds[1] });
  for (int i = 0; i < 5000; ++i) {
    fullPipeSink.log(
      spdlog::details::log_msg("x", spdlog::level::info, "line"));
  }
  CHECK(fullPipeSink.DroppedLines() > 0);
  close(pipeEnds[0]);
  close(pipeEnds[1]);
}

// A node that follows the planner must not route to a target that the planner
// has taken out, whatever its own view of the store's outage is.
TEST_CASE("Fleet removes targets without a grace period where this is asked")
{
  Fleet fleet(Fleet::Options{ .absenceGrace = seconds(2) });
  for (const char* const id : { "a", "b", "c" }) {
    fleet.Put(MakeTarget(id, 1), kStart);
  }
  fleet.OnStoreRecovered(kStart);
  fleet.Remove("a", kStart);
  fleet.RemoveNow("a");
  CHECK(fleet.Find("a") == nullptr);
  fleet.ReplaceAll({ MakeTarget("c", 1) }, Fleet::Removal::kImmediate, kStart);
  CHECK(fleet.Find("b") == nullptr);
  CHECK(fleet.Find("c") != nullptr);
  CHECK_FALSE(fleet.RemoveExpired(kStart + seconds(9)));
}
