#include "serving/HedgeCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace apricottrack {

namespace asio = boost::asio;

HedgeCall::HedgeCall(ServingContext& aContext, Options aOptions)
  : context(aContext)
  , options(std::move(aOptions))
  , call(aContext.targetPool, aContext.protocol, this->options.call)
  , headTimer(aContext.executor, asio::steady_timer::time_point::max())
{
}

void
HedgeCall::Start(std::function<void()> aOnHead)
{
  this->onHead = std::move(aOnHead);
  asio::co_spawn(
    this->context.executor,
    [self = this->shared_from_this()]() -> Task<void> { co_await self->Run(); },
    asio::detached);
}

Task<void>
HedgeCall::Run()
{
  this->head = co_await this->call.Start();
  this->headTimer.cancel();
  if (const auto notify = std::exchange(this->onHead, nullptr)) {
    notify();
  }
}

void
HedgeCall::Cancel()
{
  this->onHead = nullptr;
  this->call.Cancel();
}

Task<void>
HedgeCall::WaitForHead()
{
  while (this->IsPending()) {
    co_await this->headTimer.async_wait(kAsTuple);
  }
}

bool
HedgeCall::IsUsable(bool aIsStream) const
{
  if (this->IsPending() || !this->Head()) {
    return false;
  }
  const HttpResponse& response = *this->Head();
  const TargetHead targetHead = this->context.protocol.ReadHead(response);
  namespace http = boost::beast::http;
  // Other statuses of success, such as 204, have no events.
  const bool isSuccess = aIsStream ? response.result() == http::status::ok
                                   : to_status_class(response.result()) ==
                                       http::status_class::successful;
  return isSuccess && !targetHead.notRun && targetHead.isSigned &&
         !targetHead.isEncoded && targetHead.isEventStream == aIsStream;
}

} // namespace apricottrack
