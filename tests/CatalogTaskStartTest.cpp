#include "RestoredStoreHarness.h"
#include "kv/PlatformKeys.h"
#include "serving/CatalogTask.h"
#include "serving/Intake.h"

using namespace apricottrack;

namespace {

constexpr Duration kWitnessTime = milliseconds(400);

/// Nodes that read the same store.
struct StartHarness : RestoredStoreHarness
{
  void Put(int aVersion)
  {
    this->standin.Put("op/config",
                      fmt::format(R"({{"version":{}}})", aVersion));
  }

  std::optional<HistoryRecord> Record() const
  {
    return HistoryRecord::Decode(
      this->standin.ValueOf(std::string(keys::kHistoryKey)).value_or(""));
  }
};

/// One of them.
struct CatalogReader
{
  CatalogReader(StartHarness& aHarness, bool aIsFirstStart)
    : harness(aHarness)
    , settings(MakeSettings(aIsFirstStart))
    , store(aHarness.MakeStore())
    , context{ .settings = this->settings,
               .protocol = aHarness.protocol,
               .executor = aHarness.io.get_executor(),
               .counters = {},
               .catalog = CatalogHolder(CatalogHolder::Options{}),
               .fleet = Fleet(Fleet::Options{}),
               .candidates = {},
               .loads = LoadTracker(LoadTracker::Options{}),
               .stalls = StallDetector(StallDetector::Options{}),
               .limits = TargetLimits(TargetLimits::Options{}, 1),
               .pauses = TargetPauses(TargetPauses::Options{}),
               .demand = DemandMeter(DemandMeter::Options{}),
               .fleetDemands = {},
               .targetPool = HttpConnectionPool(aHarness.io.get_executor(), {}),
               .startGate = StartGate(aHarness.io.get_executor()),
               .retryBudgets = {},
               .running = {},
               .random = std::mt19937_64(1) }
    , task(this->context,
           this->store,
           CatalogTask::Options{ .restoreSettleTime = milliseconds(50),
                                 .witnessTime = kWitnessTime },
           [this] { ++this->changes; })
  {
  }

  static Settings MakeSettings(bool aIsFirstStart)
  {
    Settings settings;
    settings.serving.emplace();
    settings.serving->firstStart = aIsFirstStart;
    return settings;
  }

  void Read() { REQUIRE(this->harness.Await(this->task.ReadOnce())); }
  bool IsVerified() const { return this->context.catalog.WasVerified(); }
  bool Admits()
  {
    const IntakeResult result = Admit(this->context.catalog,
                                      CallerHead{},
                                      "h",
                                      "/",
                                      MonotonicNow(),
                                      this->context.random);
    return result.refusal != IntakeRefusal::kNoCatalog;
  }

  StartHarness& harness;
  Settings settings;
  platform::PlatformStore store;
  ServingContext context;
  int changes = 0;
  CatalogTask task;
};

} // namespace

// Guards against review/14: a key that was taken away runs at a node that
// starts as the store returns from an older copy.
TEST_CASE("CatalogTask of a started process accepts no keys by the first read "
          "of a restored store")
{
  RestoredStoreHarness harness;
  harness.settings.serving->firstStart = false;
  harness.standin.Put("op/config", R"({"version":7})");
  harness.standin.TakeCopy();
  harness.standin.Put("op/config", R"({"version":11})");
  harness.standin.Restore();
  CatalogTask task(
    harness.context, harness.store, CatalogTask::Options{}, [] {});
  REQUIRE(harness.Await(task.ReadOnce()));
  CHECK_FALSE(harness.context.catalog.MayAcceptKeys(MonotonicNow()));
}

TEST_CASE("CatalogTask of a started process does not verify an older copy that "
          "another node knows to be outdated")
{
  StartHarness harness;
  harness.Put(7);
  harness.standin.TakeCopy();
  CatalogReader witness(harness, true);
  harness.Put(11);
  witness.Read();
  REQUIRE(witness.IsVerified());
  harness.standin.Restore();

  CatalogReader started(harness, false);
  started.Read();
  CHECK_FALSE(started.IsVerified());
  CHECK_FALSE(started.Admits());
  CHECK_FALSE(started.task.TrustsStore(MonotonicNow()));
  witness.Read();
  CHECK(harness.Record() ==
        HistoryRecord{ .history = 4, .catalogVersion = 11 });
  // However long the operator takes.
  harness.RunFor(2 * kWitnessTime);
  started.Read();
  CHECK_FALSE(started.IsVerified());

  harness.Put(11);
  started.Read();
  CHECK(started.IsVerified());
  CHECK(started.Admits());
  CHECK(started.context.catalog.Current()->Contents().version == 11);
}

TEST_CASE("CatalogTask of a started process verifies its first read of a store "
          "that has settled")
{
  StartHarness harness;
  harness.Put(7);
  CatalogReader planner(harness, true);
  planner.task.SetIsPlanner(true);
  planner.Read();
  REQUIRE(harness.Record() == HistoryRecord{ .history = 3,
                                             .catalogVersion = 7,
                                             .isSettled = true });
  CatalogReader started(harness, false);
  SECTION("whatever the operator has written since")
  {
    harness.Put(8);
    harness.Put(9);
  }
  started.Read();
  CHECK(started.IsVerified());
  CHECK(started.task.TrustsStore(MonotonicNow()));
  CHECK(started.changes == 1);
}

TEST_CASE(
  "CatalogTask of a started process verifies a read after the witnesses "
  "have recorded that the store has settled")
{
  StartHarness harness;
  harness.Put(7);
  harness.standin.TakeCopy();
  CatalogReader planner(harness, true);
  planner.task.SetIsPlanner(true);
  harness.Put(11);
  planner.Read();
  harness.standin.Restore();
  CatalogReader started(harness, false);
  started.Read();
  planner.Read();
  harness.Put(11);
  started.Read();
  CHECK_FALSE(started.IsVerified());
  harness.RunFor(milliseconds(60));
  planner.Read();
  planner.Read();
  REQUIRE(harness.Record() == HistoryRecord{ .history = 4,
                                             .catalogVersion = 11,
                                             .isSettled = true });
  started.Read();
  CHECK(started.IsVerified());
}

// If all nodes start at once, nothing but the copy is left.
TEST_CASE("CatalogTask of a started process verifies an older copy only once "
          "no witness can be expected")
{
  StartHarness harness;
  harness.Put(7);
  harness.standin.TakeCopy();
  harness.Put(11);
  harness.standin.Restore();
  CatalogReader started(harness, false);
  started.task.SetIsPlanner(true);
  started.Read();
  CHECK_FALSE(started.IsVerified());
  CHECK_FALSE(harness.Record());
  harness.RunFor(kWitnessTime);
  started.Read();
  CHECK(started.IsVerified());
  CHECK(started.changes == 2);
  CHECK(harness.Record() ==
        HistoryRecord{ .history = 4, .catalogVersion = 7, .isSettled = true });
}

TEST_CASE("CatalogTask of a started process serves by a catalog that another "
          "node has verified")
{
  StartHarness harness;
  harness.Put(7);
  CatalogReader started(harness, false);
  started.Read();
  CHECK_FALSE(started.Admits());
  started.task.ConfirmRelayed(CatalogHolder::kUnproven);
  CHECK_FALSE(started.Admits());
  started.task.ConfirmRelayed(MonotonicNow());
  CHECK(started.Admits());
  CHECK(started.changes == 2);
}

TEST_CASE("CatalogTask makes no calls for the record in a settled store")
{
  StartHarness harness;
  harness.Put(7);
  CatalogReader planner(harness, true);
  planner.task.SetIsPlanner(true);
  planner.Read();
  const int before = harness.standin.Calls("/kv-key");
  planner.Read();
  CatalogReader other(harness, true);
  other.Read();
  other.Read();
  CHECK(harness.standin.Calls("/kv-key") == before + 1);
}
