#include "RestoredStoreHarness.h"
#include "kv/PlatformKeys.h"
#include "node/LeaseTask.h"
#include "serving/CatalogTask.h"
#include "serving/FleetTask.h"
#include "serving/QuarantineTask.h"

using namespace apricottrack;

namespace {

constexpr std::string_view kConfig = "op/config";

std::string
Document(int aVersion)
{
  return fmt::format(R"({{"version":{}}})", aVersion);
}

std::string
Entry(std::string_view aState, int aBorn = 1)
{
  return fmt::format(
    R"({{"service":"s","address":"10.0.0.1:80","zone":"a","batch_slots":2,)"
    R"("state":"{}","sequence":1,"born":{}}})",
    aState,
    aBorn);
}

/// A node that reads the catalog.
struct CatalogNode : RestoredStoreHarness
{
  void Read() { REQUIRE(this->Await(this->task.ReadOnce())); }
  std::int64_t Version() const
  {
    return this->context.catalog.Current()->Contents().version;
  }
  void Put(int aVersion)
  {
    this->standin.Put(std::string(kConfig), Document(aVersion));
  }
  /// When the catalog was last verified to be the newest.
  Instant VerifiedAt() const
  {
    return Instant{} - this->context.catalog.VerificationAge(Instant{});
  }

  CatalogTask task{ this->context,
                    this->store,
                    CatalogTask::Options{ .restoreSettleTime =
                                            milliseconds(50) },
                    [] {} };
};

/// A node that is the planner and has a quarantine.
struct QuarantineNode : RestoredStoreHarness
{
  void Add(std::string aPart)
  {
    this->context.quarantine.Add(
      { { .parts = { std::move(aPart) }, .remaining = seconds(100) } },
      MonotonicNow());
  }
  bool HasStored(std::string_view aPart) const
  {
    return this->standin.ValueOf(std::string(keys::kQuarantineKey))
             .value_or("")
             .find(aPart) != std::string::npos;
  }

  QuarantineTask task{
    this->context,
    this->store,
    QuarantineTask::Options{ .interval = milliseconds(5),
                             .retryDelay = milliseconds(20) },
    QuarantineTask::Hooks{ .isPlanner = [] { return true; },
                           .readsStore = [] { return false; },
                           .onChange = [] {} }
  };
};

/// A node that lists and watches the targets.
struct FleetNode : RestoredStoreHarness
{
  /// Writes the targets' entries, takes a copy, and lists them.
  explicit FleetNode(const std::map<std::string, std::string>& aEntries)
  {
    for (const auto& [id, entry] : aEntries) {
      this->standin.Put("servers/" + id, entry);
    }
    this->standin.TakeCopy();
    this->task.Start();
    this->task.SetIsPlanner(true);
    this->task.SetActive(true, true);
    REQUIRE(
      this->RunUntil([&] { return this->task.ListedSince().has_value(); }));
  }

  /// Runs until the fleet has been listed once more.
  void RunUntilListed()
  {
    const int before = this->listings;
    REQUIRE(this->RunUntil([&] { return this->listings > before; }));
  }

  void Restore()
  {
    this->standin.Restore();
    this->RunUntilListed();
  }

  /// Cuts the watch, so that the fleet is listed again.
  void CutWatch()
  {
    this->standin.SetUp(false);
    const int before = this->standin.Calls("/kv-range");
    REQUIRE(this->RunUntil(
      [&] { return this->standin.Calls("/kv-range") > before; }));
    this->standin.SetUp(true);
    this->RunUntilListed();
  }

  bool Has(const std::string& aId) const
  {
    return this->context.fleet.Find(aId) != nullptr;
  }
  bool IsLeaving(const std::string& aId) const
  {
    return this->Has(aId) && this->context.fleet.Find(aId)->leaving;
  }

  std::function<void()> onChange;
  int listings = 0;
  FleetTask task{ this->context,
                  this->store,
                  FleetTask::Options{ .minRetryDelay = milliseconds(20),
                                      .maxRetryDelay = milliseconds(20) },
                  [this] {
                    this->listings += 1;
                    if (this->onChange) {
                      this->onChange();
                    }
                  } };
};

} // namespace

TEST_CASE("CatalogTask keeps a catalog that a restored store has lost and does "
          "not verify it")
{
  CatalogNode node;
  const bool hasOlder = GENERATE(true, false);
  if (hasOlder) {
    node.Put(1);
  }
  node.standin.TakeCopy();
  node.Put(2);
  node.Read();
  const Instant verifiedAt = node.VerifiedAt();
  node.standin.Restore();
  node.Read();
  node.RunFor(milliseconds(60));
  node.Read();
  CHECK(node.Version() == 2);
  CHECK(node.VerifiedAt() == verifiedAt);

  node.Put(2);
  node.Read();
  CHECK(node.VerifiedAt() > verifiedAt);
}

// Guards against a configuration that a node never applies.
TEST_CASE("CatalogTask follows changes after a restore that reuse revisions")
{
  CatalogNode node;
  node.Put(1);
  node.standin.TakeCopy();
  node.Put(2);
  node.AdvanceTo(9);
  node.Read();
  REQUIRE(node.Version() == 2);
  if (GENERATE(true, false)) {
    node.RestoreAndTell(node.store);
  } else {
    node.standin.Restore();
  }
  node.Put(3);
  SECTION("below the last one that was checked") {}
  SECTION("up to the last one that was checked")
  {
    node.AdvanceTo(9);
  }
  SECTION("beyond the last one that was checked")
  {
    node.AdvanceTo(20);
  }
  node.Read();
  CHECK(node.Version() == 3);
  node.Put(4);
  node.Read();
  CHECK(node.Version() == 4);
}

TEST_CASE("CatalogTask counts for how long a change can have been waiting")
{
  CatalogNode node;
  node.Put(1);
  node.Read();
  CHECK(node.context.counters.Text().find("catalog_delay_seconds") ==
        std::string::npos);
  node.RunFor(milliseconds(60));
  node.Put(2);
  node.Read();
  REQUIRE(node.Version() == 2);
  const std::string text = node.context.counters.Text();
  CHECK(text.find(R"(catalog_delay_seconds_count{source="store"} 1)") !=
        std::string::npos);
}

// A revocation of a key may be among what the operator has to write again.
TEST_CASE("CatalogTask verifies an unchanged catalog only some time after a "
          "restore")
{
  CatalogNode node;
  node.Put(1);
  node.standin.TakeCopy();
  node.Read();
  const Instant verifiedAt = node.VerifiedAt();
  node.standin.Restore();
  node.Read();
  CHECK(node.VerifiedAt() == verifiedAt);
  node.RunFor(milliseconds(60));
  node.Read();
  CHECK(node.VerifiedAt() > verifiedAt);
}

// Another task of the node may have seen both the first era and the restore.
TEST_CASE("CatalogTask verifies its first read some time after a restore that "
          "is known")
{
  CatalogNode node;
  node.Put(1);
  node.standin.TakeCopy();
  REQUIRE(node.Await(node.store.Get("other")));
  node.RestoreAndTell(node.store);
  node.Read();
  CHECK(node.VerifiedAt() == Instant{});
  node.RunFor(milliseconds(60));
  node.Read();
  CHECK(node.VerifiedAt() > Instant{});
}

TEST_CASE("FleetTask does not bring back a target that had left before the "
          "restore")
{
  FleetNode node({ { "a", Entry("ready") }, { "b", Entry("ready") } });
  REQUIRE(node.Has("b"));
  node.standin.Remove("servers/b");
  REQUIRE(node.RunUntil([&] { return !node.Has("b"); }));
  bool wasBack = false;
  node.onChange = [&] { wasBack = wasBack || node.Has("b"); };
  node.Restore();
  CHECK_FALSE(wasBack);
  CHECK(node.Has("a"));

  SECTION("even if the store is listed once more")
  {
    node.CutWatch();
    CHECK_FALSE(wasBack);
  }
  SECTION("until it registers again")
  {
    node.standin.Put("servers/b", Entry("ready"));
    CHECK(node.RunUntil([&] { return node.Has("b"); }));
  }
  SECTION("when its entry expires")
  {
    node.standin.Remove("servers/b");
    node.RunUntilListed();
    CHECK_FALSE(wasBack);
  }
}

TEST_CASE("FleetTask keeps a target leaving whose restored entry says ready")
{
  FleetNode node({ { "a", Entry("ready") } });
  node.standin.Put("servers/a", Entry("draining"));
  REQUIRE(node.RunUntil([&] { return node.IsLeaving("a"); }));
  bool wasReady = false;
  node.onChange = [&] { wasReady = wasReady || !node.IsLeaving("a"); };
  node.Restore();
  CHECK_FALSE(wasReady);

  SECTION("until it restarts")
  {
    node.standin.Put("servers/a", Entry("ready", 2));
    CHECK(node.RunUntil([&] { return !node.IsLeaving("a"); }));
  }
  SECTION("and reports it again")
  {
    node.standin.Put("servers/a", Entry("draining"));
    node.RunUntilListed();
    CHECK_FALSE(wasReady);
  }
}

TEST_CASE("FleetTask keeps live targets that the restored copy lacks for the "
          "grace period")
{
  FleetNode node({ { "a", Entry("ready") } });
  node.standin.Put("servers/b", Entry("ready"));
  REQUIRE(node.RunUntil([&] { return node.Has("b"); }));
  const Instant restoredAt = MonotonicNow();
  node.Restore();
  CHECK(node.Has("b"));

  SECTION("and longer if they register again")
  {
    node.standin.Put("servers/b", Entry("ready"));
    node.RunFor(milliseconds(900));
    CHECK(node.Has("b"));
  }
  SECTION("and no longer if they do not")
  {
    CHECK(node.RunUntil([&] { return !node.Has("b"); }));
    CHECK(MonotonicNow() - restoredAt >= milliseconds(500));
  }
}

TEST_CASE("QuarantineTask writes again what a restored store has lost")
{
  QuarantineNode node;
  node.task.Start();
  if (GENERATE(true, false)) {
    node.Add("first");
    REQUIRE(node.RunUntil([&] { return node.HasStored("first"); }));
  }
  node.standin.TakeCopy();
  node.Add("second");
  REQUIRE(node.RunUntil([&] { return node.HasStored("second"); }));
  node.RunFor(milliseconds(30));
  node.RestoreAndTell(node.store);
  CHECK(node.RunUntil([&] { return node.HasStored("second"); }));
}

TEST_CASE("LeaseTask acquires anew after a restore with a larger fencing token")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  harness.AdvanceTo(50);
  LeaseTask task(harness.io.get_executor(),
                 harness.store,
                 { .key = "k",
                   .value = "own",
                   .ttlSeconds = 60,
                   .renewInterval = milliseconds(20) });
  task.Start();
  REQUIRE(harness.RunUntil([&] { return task.HasLease(); }));
  const Revision before = task.AcquiredRevision();
  harness.standin.Restore();
  REQUIRE(harness.RunUntil([&] { return task.AcquiredRevision() != before; }));
  CHECK(task.AcquiredRevision() > before);
  CHECK(task.HoldsKey(MonotonicNow()));
  CHECK(harness.standin.LastRevision() < 50);
  CHECK(harness.standin.ValueOf("k") == "own");
}

TEST_CASE("LeaseTask gives up a key that another node acquired after a restore "
          "under the same lease")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  LeaseTask task(harness.io.get_executor(),
                 harness.store,
                 { .key = "k",
                   .value = "own",
                   .ttlSeconds = 60,
                   .renewInterval = milliseconds(600) });
  task.Start();
  REQUIRE(harness.RunUntil([&] { return task.HasLease(); }));
  harness.standin.Restore();
  auto other = harness.MakeStore();
  const auto granted = harness.Await(other.GrantLease(60));
  REQUIRE(granted);
  REQUIRE(harness.Await(other.CompareAndSwap(
    { .key = "k", .value = "theirs", .lease = *granted })));
  REQUIRE(harness.standin.LeaseCount() == 1);
  CHECK(harness.RunUntil([&] { return !task.HasLease(); }));
  CHECK_FALSE(task.HoldsKey(MonotonicNow()));
  CHECK(harness.standin.ValueOf("k") == "theirs");
}

// The node learns of the restore from the catalog's read, while its watch is
// between two polls.
TEST_CASE("FleetTask lists the targets anew if another call showed the restore")
{
  FleetNode node({ { "a", Entry("ready") }, { "b", Entry("ready") } });
  node.standin.Remove("servers/b");
  REQUIRE(node.RunUntil([&] { return !node.Has("b"); }));
  bool wasBack = false;
  node.onChange = [&] { wasBack = wasBack || node.Has("b"); };
  const auto since = node.task.ListedSince();
  node.RestoreAndTell(node.store);
  CHECK(node.RunUntil([&] { return node.task.ListedSince() != since; }));
  CHECK_FALSE(wasBack);
}

// Both tasks share a client; the second one is granted the first one's id.
TEST_CASE("LeaseTask writes its key again after a restore that gave its lease "
          "to another task")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  LeaseTask first(harness.io.get_executor(),
                  harness.store,
                  { .key = "first",
                    .value = "own",
                    .ttlSeconds = 60,
                    .renewInterval = milliseconds(600) });
  first.Start();
  REQUIRE(harness.RunUntil([&] { return first.HasLease(); }));
  LeaseTask second(harness.io.get_executor(),
                   harness.store,
                   { .key = "second",
                     .value = "own",
                     .ttlSeconds = 60,
                     .renewInterval = milliseconds(20) });
  second.Start();
  REQUIRE(harness.RunUntil([&] { return second.HasLease(); }));
  harness.standin.Restore();
  CHECK(harness.RunUntil(
    [&] { return harness.standin.ValueOf("second") == "own"; }, seconds(5)));
  CHECK(harness.RunUntil(
    [&] { return harness.standin.ValueOf("first") == "own"; }, seconds(5)));
}

TEST_CASE("FleetTask does not bring back an earlier start of a target that had "
          "left before the restore")
{
  FleetNode node({ { "a", Entry("ready") }, { "b", Entry("ready") } });
  node.standin.Put("servers/b", Entry("ready", 2));
  REQUIRE(node.RunUntil(
    [&] { return node.context.fleet.Find("b")->startedAt == 2; }));
  node.standin.Remove("servers/b");
  REQUIRE(node.RunUntil([&] { return !node.Has("b"); }));
  bool wasBack = false;
  node.onChange = [&] { wasBack = wasBack || node.Has("b"); };
  node.Restore();
  CHECK_FALSE(wasBack);
}

TEST_CASE("FleetTask keeps a target leaving when a restored store is listed "
          "once more")
{
  FleetNode node({ { "a", Entry("ready") } });
  node.standin.Put("servers/a", Entry("draining"));
  REQUIRE(node.RunUntil([&] { return node.IsLeaving("a"); }));
  node.Restore();
  REQUIRE(node.IsLeaving("a"));
  node.CutWatch();
  CHECK(node.IsLeaving("a"));
}

// The planner's node was followed before this node's first store call.
TEST_CASE("FleetTask takes a restore from before its first store call for none")
{
  RestoredStoreHarness harness;
  harness.context.fleet.Put({ .id = "t", .service = "s" }, MonotonicNow());
  FleetTask task(harness.context, harness.store, FleetTask::Options{}, [] {});
  task.OnPlannerFollowed();
  task.Start();
  task.SetActive(true, true);
  REQUIRE(harness.RunUntil([&] { return task.ListedSince().has_value(); }));
  CHECK(harness.context.fleet.Find("t") == nullptr);
}

// Guards against a planner that plans with the part of the targets that the
// previous one had sent.
TEST_CASE(
  "FleetTask lists the targets again after the planner's fleet replaced "
  "them")
{
  FleetNode node({ { "a", Entry("ready") }, { "b", Entry("ready") } });
  node.context.fleet.RemoveNow("b");
  node.task.OnFleetReplaced();
  CHECK(node.RunUntil([&] { return node.Has("b"); }));
}

TEST_CASE("FleetTask lists the targets again after it was inactive between two "
          "polls of its watch")
{
  FleetNode node({ { "a", Entry("ready") }, { "b", Entry("ready") } });
  node.task.SetActive(false, true);
  node.context.fleet.RemoveNow("b");
  node.task.SetActive(true, true);
  CHECK(node.RunUntil([&] { return node.Has("b"); }));
}
