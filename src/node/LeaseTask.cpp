#include "node/LeaseTask.h"

#include "base/Log.h"
#include "http/HttpTypes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

LeaseTask::LeaseTask(asio::any_io_executor aExecutor,
                     KeyValueStore& aStore,
                     Options aOptions)
  : executor(std::move(aExecutor))
  , store(aStore)
  , options(std::move(aOptions))
  , random(std::random_device{}())
{
}

void
LeaseTask::Start()
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

Task<void>
LeaseTask::Run()
{
  std::uniform_real_distribution<double> jitterFactor(0.5, 1.5);
  asio::steady_timer startTimer(this->executor, this->options.firstDelay);
  co_await startTimer.async_wait(kAsTuple);
  while (!this->released) {
    // The time to live is counted from before the call, so that by this node's
    // clock the lease never expires later than at the service.
    const Instant callStart = MonotonicNow();
    bool held = false;
    bool mayAcquire = this->lease == 0;
    if (this->lease != 0) {
      const auto renewed = co_await this->store.RenewLease(this->lease);
      held = renewed.has_value();
      // An expired lease is replaced without delay; one that was given up
      // during the call is not.
      mayAcquire = this->lease != 0 && !renewed &&
                   renewed.error().code == ErrorCode::kRefused;
      if (mayAcquire) {
        this->ClearLease();
      }
    }
    if (mayAcquire && this->MayQuery()) {
      held = co_await this->Acquire();
    }
    // The lease may have been given up during the call.
    if (held && this->lease != 0) {
      this->leaseExpiresAt = callStart + seconds(this->options.ttlSeconds);
    }
    // The random factor keeps nodes from querying an expired key all at the
    // same time.
    const bool acquires = this->lease == 0 && this->MayQuery() &&
                          this->options.acquireInterval > Duration::zero();
    const Duration interval =
      acquires ? this->options.acquireInterval : this->options.renewInterval;
    asio::steady_timer timer(
      this->executor,
      FromSeconds(ToSeconds(interval) * jitterFactor(this->random)));
    co_await timer.async_wait(kAsTuple);
  }
}

bool
LeaseTask::MayQuery() const
{
  return !this->options.mayQuery || this->options.mayQuery();
}

Task<bool>
LeaseTask::Acquire()
{
  auto current = co_await this->store.Get(this->options.key);
  if (!current) {
    if (this->options.onReadFailure) {
      this->options.onReadFailure();
    }
    co_return false;
  }
  const bool isOwn = current->value == this->options.value;
  if (current->revision != 0 && !isOwn) {
    if (this->options.onOtherHolder) {
      this->options.onOtherHolder(current->value);
    }
    co_return false;
  }
  if (this->options.mayAcquire && !this->options.mayAcquire()) {
    co_return false;
  }
  const auto granted =
    co_await this->store.GrantLease(this->options.ttlSeconds);
  if (!granted) {
    co_return false;
  }
  Swap swap{ .key = this->options.key,
             .expected = current->revision,
             .value = this->options.value,
             .lease = *granted };
  const auto swapped = co_await this->store.CompareAndSwap(std::move(swap));
  if (swapped && this->released) {
    co_await this->Revoke(*granted);
    co_return false;
  }
  if (swapped) {
    this->lease = *granted;
    this->acquiredRevision = *swapped;
  }
  co_return swapped.has_value();
}

void
LeaseTask::Release()
{
  this->released = true;
  this->Resign();
}

void
LeaseTask::Resign()
{
  this->leaseExpiresAt = Instant{};
  const LeaseId held = std::exchange(this->lease, 0);
  if (held != 0) {
    asio::co_spawn(
      this->executor,
      [this, held]() -> Task<void> { co_await this->Revoke(held); },
      asio::detached);
  }
}

Task<void>
LeaseTask::Revoke(LeaseId aLease)
{
  const auto revoked = co_await this->store.RevokeLease(aLease);
  if (!revoked) {
    // Not retried: the lease expires after its time to live.
    LogLine("lease_not_ended").With(revoked.error()).Info();
  }
}

void
LeaseTask::ClearLease()
{
  this->lease = 0;
  this->leaseExpiresAt = Instant{};
}

} // namespace apricottrack
