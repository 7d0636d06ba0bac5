#include "RestoredStoreHarness.h"

using namespace apricottrack;
using platform::PlatformStore;

TEST_CASE("PlatformStore ends a watch whose revision is from "
          "before a restore")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  harness.standin.Put("t/a", "lost");
  harness.standin.Put("t/b", "lost");
  Revision revision = 0;
  REQUIRE(harness.Await(harness.store.List("t/", revision)));
  const std::int64_t restores = harness.store.RestoreCount();
  const std::int64_t lastNumber = harness.standin.LastRevision();
  int batches = 0;
  int expectedBatches = 0;
  PlatformStore::WatchCallback callback = [&](const auto&) {
    return ++batches < 3;
  };

  SECTION("and the store has given out that revision again")
  {
    harness.standin.Restore();
    harness.standin.Put("t/a", "new");
    harness.AdvanceTo(lastNumber + 3);
  }
  SECTION("and the store has not reached that revision again")
  {
    harness.standin.Restore();
  }
  SECTION("and the restore comes between two polls")
  {
    callback = [&](const auto&) {
      ++batches;
      harness.standin.Restore();
      harness.standin.Put("t/a", "new");
      harness.AdvanceTo(lastNumber + 3);
      return batches < 3;
    };
    harness.standin.Put("t/c", "lost");
    expectedBatches = 1;
  }
  const Error error =
    harness.Await(harness.store.Watch("t/", revision + 1, callback));
  CHECK(error.step == "store.watch_restored");
  CHECK(batches == expectedBatches);
  CHECK(harness.store.RestoreCount() == restores + 1);
}

TEST_CASE("PlatformStore reads a value again whose revision is "
          "from before a restore")
{
  RestoredStoreHarness harness;
  harness.standin.Put("k", "first");
  harness.standin.TakeCopy();
  harness.standin.Put("k", "second");
  harness.AdvanceTo(8);
  const auto before = harness.Await(harness.store.GetIfChanged("k", 0));
  REQUIRE(before);
  std::string expected = "first";

  harness.standin.Restore();
  SECTION("which the copy holds in an older form") {}
  SECTION("which was written again in a new form at the same number")
  {
    harness.standin.Put("k", expected = "third");
  }
  SECTION("which was written again before later changes")
  {
    harness.standin.Put("k", expected = "third");
    harness.AdvanceTo(20);
  }
  const auto after =
    harness.Await(harness.store.GetIfChanged("k", before->checkedRevision));
  REQUIRE(after);
  REQUIRE(after->value);
  CHECK(after->value->value == expected);
  CHECK(after->value->revision > before->value->revision);
  CHECK(after->checkedRevision > before->checkedRevision);
}

TEST_CASE("PlatformStore swaps nothing on a revision that was "
          "given out again")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  REQUIRE(harness.Await(harness.store.Get("k")));
  const auto written =
    harness.Await(harness.store.CompareAndSwap({ .key = "k", .value = "own" }));
  REQUIRE(written);
  harness.RestoreAndTell(harness.store);
  auto other = harness.MakeStore();
  REQUIRE(harness.Await(other.Get("k")));
  REQUIRE(
    harness.Await(other.CompareAndSwap({ .key = "k", .value = "theirs" })));
  const auto swapped = harness.Await(harness.store.CompareAndSwap(
    { .key = "k", .expected = *written, .value = "again" }));
  REQUIRE_FALSE(swapped);
  CHECK(swapped.error().code == ErrorCode::kConflict);
  CHECK(harness.standin.ValueOf("k") == "theirs");
}

// The node learns of the restore from the response to the swap itself.
TEST_CASE("PlatformStore reports no success of a swap whose "
          "revision is from before a restore")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  REQUIRE(harness.Await(harness.store.Get("k")));
  const auto written =
    harness.Await(harness.store.CompareAndSwap({ .key = "k", .value = "own" }));
  REQUIRE(written);
  harness.standin.Restore();
  auto other = harness.MakeStore();
  REQUIRE(harness.Await(other.Get("k")));
  REQUIRE(
    harness.Await(other.CompareAndSwap({ .key = "k", .value = "theirs" })));
  const auto swapped = harness.Await(harness.store.CompareAndSwap(
    { .key = "k", .expected = *written, .value = "again" }));
  REQUIRE_FALSE(swapped);
  CHECK(swapped.error().code == ErrorCode::kNoReply);
}

TEST_CASE("PlatformStore renews no lease that was granted "
          "before a restore")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  const auto lost = harness.Await(harness.store.GrantLease(60));
  REQUIRE(lost);
  auto other = harness.MakeStore();
  const bool isKnown = GENERATE(true, false);
  if (isKnown) {
    harness.RestoreAndTell(harness.store);
  } else {
    harness.standin.Restore();
  }
  const auto theirs = harness.Await(other.GrantLease(60));
  REQUIRE(theirs);
  REQUIRE(harness.standin.LeaseCount() == 1);
  const auto renewed = harness.Await(harness.store.RenewLease(*lost));
  REQUIRE_FALSE(renewed);
  CHECK(renewed.error().code == ErrorCode::kRefused);
  CHECK(harness.Await(other.RenewLease(*theirs)));
}

TEST_CASE("PlatformStore ends and uses no lease that was "
          "granted before a restore")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  const auto lost = harness.Await(harness.store.GrantLease(60));
  REQUIRE(lost);
  harness.RestoreAndTell(harness.store);
  auto other = harness.MakeStore();
  REQUIRE(harness.Await(other.GrantLease(60)));
  const auto swapped = harness.Await(harness.store.CompareAndSwap(
    { .key = "k", .value = "own", .lease = *lost }));
  CHECK_FALSE(swapped);
  CHECK_FALSE(harness.standin.ValueOf("k"));
  CHECK(harness.Await(harness.store.RevokeLease(*lost)));
  CHECK(harness.standin.LeaseCount() == 1);
}

TEST_CASE("PlatformStore discards a response from before a "
          "restore that arrives late")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  harness.standin.Put("k", "lost");
  REQUIRE(harness.Await(harness.store.Get("k")));
  const std::int64_t restores = harness.store.RestoreCount();
  harness.standin.HoldNextResponse("/kv-key");
  std::optional<Result<KeyValue>> late;
  asio::co_spawn(harness.io,
                 harness.store.Get("k"),
                 [&](const std::exception_ptr&, Result<KeyValue> aResult) {
                   late = std::move(aResult);
                 });
  REQUIRE(
    harness.RunUntil([&] { return harness.standin.IsHoldingResponse(); }));
  harness.RestoreAndTell(harness.store);
  harness.standin.ReleaseResponse();
  REQUIRE(harness.RunUntil([&] { return late.has_value(); }));
  REQUIRE_FALSE(*late);
  CHECK(late->error().code == ErrorCode::kNoReply);
  CHECK(harness.store.RestoreCount() == restores + 1);
}

TEST_CASE("PlatformStore joins no pages from before and after a "
          "restore")
{
  RestoredStoreHarness harness(1);
  harness.standin.Put("t/a", "kept");
  harness.standin.TakeCopy();
  harness.standin.Put("t/b", "lost");
  harness.standin.SetBeforeCall([&](const std::string& aPath) {
    if (aPath == "/kv-range" && harness.standin.Calls(aPath) == 2) {
      harness.standin.Restore();
      harness.standin.Put("t/b", "new");
    }
  });
  Revision revision = 0;
  const auto listed = harness.Await(harness.store.List("t/", revision));
  REQUIRE_FALSE(listed);
  CHECK(listed.error().code == ErrorCode::kNoReply);
  const auto again = harness.Await(harness.store.List("t/", revision));
  REQUIRE(again);
  REQUIRE(again->size() == 2);
  CHECK(again->back().value == "new");
}

// The lease tasks of a node share a client; one of them may be granted the id
// that another one still holds from before.
TEST_CASE("PlatformStore tells a lease from one of the same number that it was "
          "granted before a restore")
{
  RestoredStoreHarness harness;
  harness.standin.TakeCopy();
  const auto lost = harness.Await(harness.store.GrantLease(60));
  REQUIRE(lost);
  harness.RestoreAndTell(harness.store);
  const auto granted = harness.Await(harness.store.GrantLease(60));
  REQUIRE(granted);
  const auto renewed = harness.Await(harness.store.RenewLease(*lost));
  REQUIRE_FALSE(renewed);
  CHECK(renewed.error().code == ErrorCode::kRefused);
  CHECK(harness.Await(harness.store.RenewLease(*granted)));
  CHECK(harness.Await(harness.store.RevokeLease(*lost)));
  CHECK(harness.standin.LeaseCount() == 1);
}

TEST_CASE("PlatformStore swaps in its first call to a store that was restored "
          "earlier")
{
  RestoredStoreHarness harness;
  const auto swapped =
    harness.Await(harness.store.CompareAndSwap({ .key = "k", .value = "own" }));
  CHECK(swapped);
  CHECK(harness.standin.ValueOf("k") == "own");
}
