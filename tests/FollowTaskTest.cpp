#include "serving/FollowTask.h"
#include "ServingHarness.h"
#include "membership/PeerLink.h"

using namespace apricottrack;

namespace {

/// A store without keys that cannot be reached until `isUp` is set.
class UnreachableStore final : public KeyValueStore
{
public:
  Task<Result<KeyValue>> Get(std::string) override
  {
    if (this->isUp) {
      co_return KeyValue{};
    }
    co_return Fail();
  }
  Task<Result<std::vector<KeyValue>>> List(std::string, Revision&) override
  {
    ++this->listCalls;
    co_return Fail();
  }
  Task<Result<Revision>> CompareAndSwap(Swap) override { co_return Fail(); }
  Task<Result<LeaseId>> GrantLease(std::int64_t) override { co_return Fail(); }
  Task<Result<std::int64_t>> RenewLease(LeaseId) override { co_return Fail(); }
  Task<Result<void>> RevokeLease(LeaseId) override { co_return Fail(); }
  Task<Error> Watch(std::string, Revision, WatchCallback) override
  {
    co_return Fail().value();
  }

  bool isUp = false;
  int listCalls = 0;

private:
  static tl::unexpected<Error> Fail()
  {
    return Failure(ErrorCode::kUnreachable, "store", "store", "unreachable");
  }
};

} // namespace

// A node that restarts opens its intake once it follows a planner, even if the
// fleet does not change afterwards.
TEST_CASE("FollowTask reports a change when it first follows a planner")
{
  ServingHarness harness;
  UnreachableStore store;
  CatalogTask catalog(harness.context, store, CatalogTask::Options{}, [] {});
  FleetTask fleet(harness.context, store, FleetTask::Options{}, [] {});
  int changesWhileFollowing = 0;
  FollowTask* follower = nullptr;
  FollowTask task(harness.context, catalog, fleet, FollowTask::Options{}, [&] {
    changesWhileFollowing += follower->FirstFollowedAt() ? 1 : 0;
  });
  follower = &task;
  int answers = 0;
  const std::string address = ServingHarness::FreeAddress(harness.io);
  const auto planner =
    *PeerServer::Make(harness.io.get_executor(),
                      PeerServer::Options{ .address = address },
                      [&](PeerMessage) -> Task<std::optional<PeerMessage>> {
                        asio::steady_timer timer(harness.io, milliseconds(20));
                        co_await timer.async_wait(kAsTuple);
                        co_return FleetAnswer{ .source = "p",
                                               .leads = true,
                                               .sequence = 1,
                                               .complete = answers++ == 0 };
                      });
  task.SetPlannerAddress(address);
  task.Start();
  harness.io.run_for(milliseconds(200));
  CHECK(task.FollowsPlanner());
  CHECK(changesWhileFollowing >= 1);
}

// The store lists more targets than a planner sends, so increments do not apply
// to what a node has read from the store itself.
TEST_CASE("FollowTask asks for the complete fleet after own reads of the store")
{
  ServingHarness harness;
  UnreachableStore store;
  CatalogTask catalog(harness.context, store, CatalogTask::Options{}, [] {});
  FleetTask fleet(harness.context, store, FleetTask::Options{}, [] {});
  FollowTask task(harness.context,
                  catalog,
                  fleet,
                  FollowTask::Options{ .plannerTimeout = milliseconds(100) },
                  [] {});
  const std::string address = ServingHarness::FreeAddress(harness.io);
  std::vector<std::uint64_t> askedSequences;
  bool plannerAnswers = true;
  const auto planner = *PeerServer::Make(
    harness.io.get_executor(),
    PeerServer::Options{ .address = address },
    [&](PeerMessage aQuestion) -> Task<std::optional<PeerMessage>> {
      askedSequences.push_back(std::get<FleetQuestion>(aQuestion).sequence);
      asio::steady_timer timer(harness.io, milliseconds(20));
      co_await timer.async_wait(kAsTuple);
      co_return FleetAnswer{ .source = "p",
                             .leads = plannerAnswers,
                             .sequence = 7 };
    });
  task.SetPlannerAddress(address);
  task.Start();
  harness.io.run_for(milliseconds(100));
  CHECK(askedSequences.back() == 7);
  plannerAnswers = false;
  harness.io.run_for(milliseconds(400));
  CHECK(askedSequences.back() == 0);
}

// Guards against all nodes listing the targets at once after an outage of the
// store, so that the planner's own listing fails for seconds.
TEST_CASE("FollowTask leaves the first listing after an outage to the planner")
{
  ServingHarness harness;
  UnreachableStore store;
  CatalogTask catalog(harness.context,
                      store,
                      CatalogTask::Options{ .retryInterval = milliseconds(20) },
                      [] {});
  FleetTask fleet(harness.context,
                  store,
                  FleetTask::Options{ .minRetryDelay = milliseconds(20),
                                      .maxRetryDelay = milliseconds(20) },
                  [] {});
  FollowTask task(harness.context,
                  catalog,
                  fleet,
                  FollowTask::Options{ .plannerTimeout = milliseconds(100),
                                       .plannerListTime = milliseconds(400) },
                  [] {});
  const std::string address = ServingHarness::FreeAddress(harness.io);
  Duration fleetAge = Duration::zero();
  bool plannerAnswers = true;
  const auto planner =
    *PeerServer::Make(harness.io.get_executor(),
                      PeerServer::Options{ .address = address },
                      [&](PeerMessage) -> Task<std::optional<PeerMessage>> {
                        asio::steady_timer timer(harness.io, milliseconds(20));
                        co_await timer.async_wait(kAsTuple);
                        co_return FleetAnswer{ .source = "p",
                                               .leads = plannerAnswers,
                                               .fleetAge = fleetAge };
                      });
  task.SetPlannerAddress(address);
  catalog.Start();
  fleet.Start();
  task.Start();
  harness.io.run_for(milliseconds(200));
  REQUIRE(task.FollowsPlanner());
  // The outage begins.
  fleetAge = seconds(5);
  harness.io.run_for(milliseconds(500));
  CHECK_FALSE(task.FollowsPlanner());
  store.listCalls = 0;
  store.isUp = true;
  harness.io.run_for(milliseconds(300));
  CHECK(store.listCalls == 0);

  SECTION("follows the planner once that has listed the targets")
  {
    fleetAge = Duration::zero();
    harness.io.run_for(milliseconds(600));
    CHECK(task.FollowsPlanner());
    CHECK(store.listCalls == 0);
  }
  SECTION("lists them itself if the planner does not")
  {
    harness.io.run_for(milliseconds(600));
    CHECK(store.listCalls > 0);
  }
  SECTION("lists them itself if the planner stops responding")
  {
    plannerAnswers = false;
    harness.io.run_for(milliseconds(1600));
    CHECK(store.listCalls > 0);
  }
}

// Guards against a planner that plans with a part of the targets, because the
// answer of the previous one replaced what it had read.
TEST_CASE("FollowTask keeps the targets that it has read over those of a "
          "planner with old reads")
{
  ServingHarness harness;
  UnreachableStore store;
  CatalogTask catalog(harness.context, store, CatalogTask::Options{}, [] {});
  FleetTask fleet(harness.context, store, FleetTask::Options{}, [] {});
  FollowTask task(harness.context,
                  catalog,
                  fleet,
                  FollowTask::Options{ .plannerTimeout = milliseconds(50) },
                  [] {});
  const std::string address = ServingHarness::FreeAddress(harness.io);
  Duration fleetAge = seconds(5);
  const auto planner =
    *PeerServer::Make(harness.io.get_executor(),
                      PeerServer::Options{ .address = address },
                      [&](PeerMessage) -> Task<std::optional<PeerMessage>> {
                        asio::steady_timer timer(harness.io, milliseconds(20));
                        co_await timer.async_wait(kAsTuple);
                        co_return FleetAnswer{ .source = "p",
                                               .leads = true,
                                               .sequence = 1,
                                               .fleetAge = fleetAge,
                                               .complete = true };
                      });
  task.Start();
  harness.io.run_for(milliseconds(200));
  harness.context.fleet.Put({ .id = "t", .service = "app" }, MonotonicNow());
  task.SetPlannerAddress(address);
  harness.io.run_for(milliseconds(300));
  CHECK(harness.context.fleet.Find("t") != nullptr);
  SECTION("until the planner's reads are recent")
  {
    fleetAge = Duration::zero();
    harness.io.run_for(milliseconds(300));
    CHECK(harness.context.fleet.Find("t") == nullptr);
  }
  SECTION("and when it becomes the planner itself")
  {
    fleetAge = Duration::zero();
    task.SetIsPlanner(true);
    harness.io.run_for(milliseconds(300));
    CHECK(harness.context.fleet.Find("t") != nullptr);
  }
}
