#include "kv/StoreHistory.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kStart{ seconds(1000) };
constexpr std::int64_t kHistory = 4;
constexpr Duration kRewriteTime = StoreHistory::Options{}.rewriteTime;
constexpr Duration kWitnessTime = StoreHistory::Options{}.witnessTime;

/// Of a process that has just started and read the store once.
StoreHistory
MakeStarted()
{
  StoreHistory history(StoreHistory::Options{});
  history.OnHistory(kHistory, false, false, kStart);
  return history;
}

/// Of a process that had a verified catalog when the store was restored.
StoreHistory
MakeWitness()
{
  StoreHistory history(StoreHistory::Options{ .isFirstStart = true });
  history.OnHistory(kHistory - 1, false, false, kStart - seconds(60));
  history.OnHistory(kHistory, true, true, kStart);
  return history;
}

} // namespace

// Guards against a node that takes the older copy, which it reads first, for
// the present state.
TEST_CASE("StoreHistory of a started process settles by a record of the "
          "present history")
{
  StoreHistory history = MakeStarted();
  CHECK_FALSE(history.IsSettled(kStart));
  CHECK_FALSE(history.IsWitness());
  SECTION("that has settled")
  {
    history.OnRecord(HistoryRecord{ .history = kHistory,
                                    .catalogVersion = 11,
                                    .isSettled = true },
                     kStart);
    CHECK(history.IsSettled(kStart));
    CHECK(history.MinCatalogVersion() == 11);
  }
  SECTION("but not by an unsettled one")
  {
    history.OnRecord(HistoryRecord{ .history = kHistory, .catalogVersion = 11 },
                     kStart);
    CHECK_FALSE(history.IsSettled(kStart));
    CHECK(history.MinCatalogVersion() == 11);
  }
  SECTION("but not by one of an earlier history")
  {
    history.OnRecord(
      HistoryRecord{ .history = kHistory - 1, .isSettled = true }, kStart);
    CHECK_FALSE(history.IsSettled(kStart));
    CHECK(history.MinCatalogVersion() == 0);
  }
  SECTION("but not without one")
  {
    history.OnRecord(std::nullopt, kStart);
    CHECK_FALSE(history.IsSettled(kStart));
  }
}

TEST_CASE("StoreHistory of a started process settles without a record once no "
          "witness can be expected")
{
  StoreHistory history = MakeStarted();
  const Instant last = kStart + kWitnessTime;
  history.OnRecord(std::nullopt, last - milliseconds(1));
  CHECK_FALSE(history.IsSettled(last));
  history.OnRecord(std::nullopt, last);
  CHECK(history.IsSettled(last));
  CHECK(history.MinCatalogVersion() == 0);
  CHECK_FALSE(StoreHistory({}).IsSettled(last));
}

// Guards against a process that relies on the time alone, and misses what was
// recorded just before that is over.
TEST_CASE("StoreHistory of a started process heeds a record that it finds last")
{
  StoreHistory history = MakeStarted();
  const Instant late = kStart + 2 * kWitnessTime;
  CHECK_FALSE(history.IsSettled(late));
  history.OnRecord(HistoryRecord{ .history = kHistory, .catalogVersion = 11 },
                   late);
  CHECK(history.IsSettled(late));
  CHECK(history.MinCatalogVersion() == 11);
}

TEST_CASE("StoreHistory is settled at the first start of a deployment, until "
          "a restore")
{
  StoreHistory history(StoreHistory::Options{ .isFirstStart = true });
  CHECK(history.IsSettled(kStart));
  history.OnHistory(kHistory, false, false, kStart);
  CHECK(history.IsSettled(kStart));
  history.OnHistory(kHistory + 1, true, false, kStart + seconds(9));
  CHECK_FALSE(history.IsSettled(kStart + seconds(9)));
}

TEST_CASE("StoreHistory is settled if the store reports none")
{
  StoreHistory history(StoreHistory::Options{});
  history.OnHistory(std::nullopt, false, false, kStart);
  CHECK(history.IsSettled(kStart));
  CHECK_FALSE(history.RecordToWrite({ .catalogVersion = 1, .isProven = true }));
}

TEST_CASE("StoreHistory of a witness gives the operator time to write again")
{
  StoreHistory history = MakeWitness();
  CHECK(history.IsWitness());
  CHECK_FALSE(history.IsSettled(kStart + kRewriteTime - milliseconds(1)));
  CHECK(history.IsSettled(kStart + kRewriteTime));
  history.OnHistory(kHistory + 1, true, true, kStart + seconds(9));
  CHECK_FALSE(history.IsSettled(kStart + seconds(9)));
}

TEST_CASE("StoreHistory takes a process for a witness whose catalog another "
          "node has verified")
{
  StoreHistory history = MakeStarted();
  history.OnCatalogVerified();
  CHECK(history.IsSettled(kStart + kRewriteTime));
}

TEST_CASE("StoreHistory records what a witness knows, then that it has settled")
{
  StoreHistory history = MakeWitness();
  history.OnRecord(HistoryRecord{ .history = kHistory - 1, .isSettled = true },
                   kStart);
  const HistoryRecord first{ .history = kHistory, .catalogVersion = 11 };
  CHECK(history.RecordToWrite({ .catalogVersion = 11, .isOutdated = true }) ==
        first);
  history.OnRecord(first, kStart);
  CHECK_FALSE(
    history.RecordToWrite({ .catalogVersion = 11, .isOutdated = true }));
  const HistoryRecord second{ .history = kHistory,
                              .catalogVersion = 11,
                              .isSettled = true };
  CHECK(history.RecordToWrite({ .catalogVersion = 11, .isProven = true }) ==
        second);
  history.OnRecord(second, kStart);
  CHECK_FALSE(
    history.RecordToWrite({ .catalogVersion = 12, .isProven = true }));
  CHECK_FALSE(history.RecordToWrite({ .catalogVersion = 12 }));
}

// A node that was cut off may know a newer catalog than those who settled it.
TEST_CASE("StoreHistory reopens a settled record for a catalog that it lacks")
{
  StoreHistory history = MakeWitness();
  history.OnRecord(HistoryRecord{ .history = kHistory,
                                  .catalogVersion = 9,
                                  .isSettled = true },
                   kStart);
  CHECK(history.RecordToWrite({ .catalogVersion = 11, .isOutdated = true }) ==
        HistoryRecord{ .history = kHistory, .catalogVersion = 11 });
  CHECK_FALSE(
    history.RecordToWrite({ .catalogVersion = 9, .isOutdated = true }));
}

TEST_CASE("StoreHistory writes no record that it cannot know")
{
  StoreHistory history = MakeStarted();
  history.OnRecord(std::nullopt, kStart);
  CHECK_FALSE(history.RecordToWrite({ .catalogVersion = 0 }));
  CHECK(history.RecordToWrite({ .catalogVersion = 7, .isProven = true }));
  history.OnRecord(HistoryRecord{ .history = kHistory + 1 }, kStart);
  CHECK_FALSE(history.RecordToWrite({ .catalogVersion = 7, .isProven = true }));
}

TEST_CASE("HistoryRecord reads what it has written")
{
  const HistoryRecord record{ .history = 5,
                              .catalogVersion = 12,
                              .isSettled = true };
  CHECK(HistoryRecord::Decode(record.Encode()) == record);
  CHECK_FALSE(HistoryRecord::Decode(""));
  CHECK_FALSE(HistoryRecord::Decode("["));
}
