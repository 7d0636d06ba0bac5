#include "http/SharedCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace apricottrack {

namespace asio = boost::asio;

SharedCall::SharedCall(asio::any_io_executor aExecutor,
                       Options aOptions,
                       std::function<Task<bool>()> aCall)
  : executor(std::move(aExecutor))
  , options(aOptions)
  , call(std::move(aCall))
{
}

Task<bool>
SharedCall::Join(Instant aUntil)
{
  const Instant now = MonotonicNow();
  if (aUntil <= now || (!this->isRunning && now < this->nextCallAt)) {
    co_return false;
  }
  asio::steady_timer timer(this->executor, aUntil - now);
  this->waiting.insert(&timer);
  if (!this->isRunning) {
    this->isRunning = true;
    asio::co_spawn(
      this->executor,
      [this]() -> Task<void> { co_await this->Run(); },
      asio::detached);
  }
  co_await timer.async_wait(kAsTuple);
  // The end of the call removes the timers of all that wait for it.
  co_return this->waiting.erase(&timer) == 0 && this->hasSucceeded;
}

Task<void>
SharedCall::Run()
{
  this->hasSucceeded = co_await this->call();
  this->isRunning = false;
  if (!this->hasSucceeded) {
    this->nextCallAt = MonotonicNow() + this->options.retryDelay;
  }
  for (asio::steady_timer* const timer : std::exchange(this->waiting, {})) {
    timer->cancel();
  }
}

} // namespace apricottrack
