#include "node/LeaseTask.h"

#include "http/HttpTypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <catch2/catch.hpp>
#include <set>

using namespace apricottrack;

namespace {

/// In-memory store with a single key, whose reads can be made to fail.
class OneKeyStore final : public KeyValueStore
{
public:
  Task<Result<KeyValue>> Get(std::string aKey) override
  {
    if (this->unreachable) {
      co_return Failure(ErrorCode::kUnreachable, "get", "store", "unreachable");
    }
    co_return KeyValue{ .key = std::move(aKey),
                        .value = this->value,
                        .revision = this->revision };
  }

  Task<Result<std::vector<KeyValue>>> List(std::string, Revision&) override
  {
    co_return std::vector<KeyValue>{};
  }

  Task<Result<Revision>> CompareAndSwap(Swap aSwap) override
  {
    if (aSwap.expected != this->revision) {
      co_return Failure(
        ErrorCode::kConflict, "swap", "store", "key was written");
    }
    this->value = std::move(aSwap.value);
    this->revision = ++this->writes;
    co_return this->revision;
  }

  Task<Result<LeaseId>> GrantLease(std::int64_t) override
  {
    this->leases.insert(++this->lastGrantedLease);
    co_return this->lastGrantedLease;
  }

  Task<Result<std::int64_t>> RenewLease(LeaseId) override
  {
    this->isRenewing = true;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    this->renewDelay);
    co_await timer.async_wait(kAsTuple);
    this->isRenewing = false;
    if (this->expiresLease) {
      this->expiresLease = false;
      this->revision = 0;
      this->value.clear();
      co_return Failure(ErrorCode::kRefused, "renew", "store", "no such lease");
    }
    co_return 1;
  }

  Task<Result<void>> RevokeLease(LeaseId aLease) override
  {
    this->leases.erase(aLease);
    this->revision = 0;
    co_return Result<void>{};
  }

  Task<Error> Watch(std::string, Revision, WatchCallback) override
  {
    co_return Error{};
  }

  bool unreachable = false;
  Duration renewDelay = Duration::zero();
  bool isRenewing = false;
  /// The next renewal finds that the lease has expired.
  bool expiresLease = false;
  std::string value;
  Revision revision = 0;
  Revision writes = 0;
  LeaseId lastGrantedLease = 0;
  std::set<LeaseId> leases;
};

} // namespace

// Without a revocation, the next holder would wait for the lease to expire.
TEST_CASE("LeaseTask::Release revokes the lease so that another can acquire")
{
  boost::asio::io_context context(1);
  OneKeyStore store;
  LeaseTask holder(context.get_executor(),
                   store,
                   { .key = "k", .value = "first", .ttlSeconds = 60 });
  holder.Start();
  context.run_for(milliseconds(50));
  REQUIRE(holder.HoldsKey(MonotonicNow()));
  CHECK(holder.AcquiredRevision() == 1);
  std::string reportedHolder;
  LeaseTask other(context.get_executor(),
                  store,
                  { .key = "k",
                    .value = "second",
                    .ttlSeconds = 60,
                    .renewInterval = milliseconds(10),
                    .onOtherHolder = [&](const std::string& aValue) {
                      reportedHolder = aValue;
                    } });
  other.Start();
  context.run_for(milliseconds(50));
  CHECK(reportedHolder == "first");
  CHECK_FALSE(other.HasLease());
  holder.Release();
  context.run_for(milliseconds(100));
  CHECK_FALSE(holder.HoldsKey(MonotonicNow()));
  CHECK(other.HoldsKey(MonotonicNow()));
  CHECK(other.AcquiredRevision() > holder.AcquiredRevision());
  CHECK(store.leases.size() == 1);
}

TEST_CASE("LeaseTask::Resign leaves the key to others and may acquire it later")
{
  boost::asio::io_context context(1);
  OneKeyStore store;
  bool mayAcquire = true;
  LeaseTask holder(context.get_executor(),
                   store,
                   { .key = "k",
                     .value = "first",
                     .ttlSeconds = 60,
                     .renewInterval = milliseconds(10),
                     .mayAcquire = [&] { return mayAcquire; } });
  holder.Start();
  context.run_for(milliseconds(50));
  REQUIRE(holder.HasLease());
  mayAcquire = false;
  holder.Resign();
  CHECK_FALSE(holder.HasLease());
  context.run_for(milliseconds(50));
  CHECK_FALSE(holder.HasLease());
  CHECK(store.revision == 0);
  mayAcquire = true;
  context.run_for(milliseconds(50));
  CHECK(holder.HasLease());
}

// Guards against a change of planners after each outage of the store.
TEST_CASE("LeaseTask replaces an expired lease before other nodes try")
{
  boost::asio::io_context context(1);
  OneKeyStore store;
  LeaseTask holder(context.get_executor(),
                   store,
                   { .key = "k",
                     .value = "v",
                     .ttlSeconds = 60,
                     .renewInterval = milliseconds(40),
                     .acquireInterval = seconds(60) });
  holder.Start();
  context.run_for(milliseconds(20));
  REQUIRE(holder.AcquiredRevision() == 1);
  store.expiresLease = true;
  context.run_for(milliseconds(120));
  CHECK(holder.HoldsKey(MonotonicNow()));
  CHECK(holder.AcquiredRevision() == 2);
}

TEST_CASE("LeaseTask writes nothing when it may not acquire the key")
{
  boost::asio::io_context context(1);
  OneKeyStore store;
  LeaseTask task(context.get_executor(),
                 store,
                 { .key = "k",
                   .value = "v",
                   .renewInterval = milliseconds(10),
                   .mayAcquire = [] { return false; } });
  task.Start();
  context.run_for(milliseconds(50));
  CHECK(store.writes == 0);
  CHECK(store.lastGrantedLease == 0);
}

// Another node may hold the planner's key while the store cannot be read, so a
// failed read must not count as a key without a holder.
TEST_CASE("LeaseTask reports failed reads and acquires once reads succeed")
{
  boost::asio::io_context context(1);
  OneKeyStore store;
  store.unreachable = true;
  int readFailures = 0;
  LeaseTask task(context.get_executor(),
                 store,
                 { .key = "k",
                   .value = "v",
                   .ttlSeconds = 60,
                   .renewInterval = milliseconds(10),
                   .onReadFailure = [&] { ++readFailures; } });
  task.Start();
  context.run_for(milliseconds(50));
  CHECK(readFailures > 0);
  CHECK_FALSE(task.HasLease());
  store.unreachable = false;
  readFailures = 0;
  context.run_for(milliseconds(50));
  CHECK(readFailures == 0);
  CHECK(task.HasLease());
}

// Guards against a holder that gave up its lease while a renewal was in flight
// and then regards it as its own again.
TEST_CASE("LeaseTask does not hold a released lease after a renewal in flight")
{
  boost::asio::io_context context(1);
  OneKeyStore store;
  store.renewDelay = milliseconds(60);
  LeaseTask holder(context.get_executor(),
                   store,
                   { .key = "k",
                     .value = "first",
                     .ttlSeconds = 60,
                     .renewInterval = milliseconds(10) });
  holder.Start();
  while (!store.isRenewing) {
    context.run_one_for(milliseconds(100));
  }
  REQUIRE(holder.HasLease());
  REQUIRE(holder.HoldsKey(MonotonicNow()));
  if (GENERATE(true, false)) {
    holder.Release();
  } else {
    holder.ClearLease();
  }
  while (store.isRenewing) {
    context.run_one_for(milliseconds(100));
  }
  context.poll_one();
  CHECK_FALSE(holder.HasLease());
  CHECK_FALSE(holder.HoldsKey(MonotonicNow()));
}
