#include "http/SharedCall.h"
#include "ServingHarness.h"

#include <boost/asio/executor_work_guard.hpp>

using namespace apricottrack;

namespace {

/// A call that takes `duration`, and those that have joined it.
struct Joins
{
  explicit Joins(Duration aRetryDelay = milliseconds(50))
    : shared(this->io.get_executor(),
             { .retryDelay = aRetryDelay },
             [this]() -> Task<bool> {
               ++this->calls;
               asio::steady_timer timer(this->io, this->duration);
               co_await timer.async_wait(kAsTuple);
               co_return this->succeeds;
             })
  {
  }

  void Join(Duration aLimit = seconds(5))
  {
    asio::co_spawn(
      this->io,
      [this, aLimit]() -> Task<void> {
        this->results.push_back(
          co_await this->shared.Join(MonotonicNow() + aLimit));
      },
      asio::detached);
  }

  void RunFor(Duration aDuration)
  {
    this->io.restart();
    this->io.run_for(aDuration);
  }

  asio::io_context io{ 1 };
  /// Lets time pass also while nothing waits.
  asio::executor_work_guard<asio::io_context::executor_type> work{
    this->io.get_executor()
  };
  int calls = 0;
  Duration duration = milliseconds(20);
  bool succeeds = true;
  std::vector<bool> results;
  SharedCall shared;
};

} // namespace

TEST_CASE("SharedCall makes one call for all that wait at the same time")
{
  Joins joins;
  joins.succeeds = GENERATE(true, false);
  for (int i = 0; i < 5; ++i) {
    joins.Join();
  }
  joins.RunFor(milliseconds(200));
  CHECK(joins.calls == 1);
  CHECK(joins.results == std::vector<bool>(5, joins.succeeds));
}

TEST_CASE("SharedCall does not wait for a call longer than asked")
{
  Joins joins;
  joins.duration = milliseconds(300);
  joins.Join(milliseconds(20));
  joins.RunFor(milliseconds(100));
  CHECK(joins.results == std::vector<bool>{ false });
  joins.Join();
  joins.RunFor(milliseconds(400));
  CHECK(joins.results == std::vector<bool>{ false, true });
  CHECK(joins.calls == 1);
}

TEST_CASE("SharedCall makes no call for a time after a failed one")
{
  Joins joins(milliseconds(200));
  joins.succeeds = false;
  joins.Join();
  joins.RunFor(milliseconds(60));
  joins.Join();
  joins.RunFor(milliseconds(20));
  CHECK(joins.results == std::vector<bool>{ false, false });
  CHECK(joins.calls == 1);
  joins.RunFor(milliseconds(250));
  joins.succeeds = true;
  joins.Join();
  joins.RunFor(milliseconds(100));
  CHECK(joins.results.back());
  CHECK(joins.calls == 2);
}
