#include "serving/StartGate.h"

#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace {

/// Between two checks whether the gate has opened.
constexpr Duration kPollInterval = milliseconds(10);

} // namespace

Task<void>
StartGate::Wait(Instant aUntil)
{
  boost::asio::steady_timer timer(this->executor);
  while (!this->isOpen && MonotonicNow() < aUntil) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace apricottrack
