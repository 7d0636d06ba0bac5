#include "RestoredStoreHarness.h"
#include "node/LeaseTask.h"
#include "serving/CatalogTask.h"

using namespace apricottrack;

namespace {

constexpr std::string_view kConfig = "op/config";

std::string
Document(int aVersion)
{
  return fmt::format(R"({{"version":{}}})", aVersion);
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
