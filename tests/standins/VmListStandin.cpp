#include "standins/VmListStandin.h"

namespace apricottrack::standins {

VmListStandin::VmListStandin(std::string aInitial, Duration aLag)
  : lag(aLag)
{
  this->versions.push_back(
    Version{ .visibleFrom = Instant{}, .text = std::move(aInitial) });
}

Task<void>
VmListStandin::Handle(HttpExchange& aExchange)
{
  const Instant now = MonotonicNow();
  if (aExchange.Request().target() == "/control") {
    this->versions.push_back(Version{ .visibleFrom = now + this->lag,
                                      .text = aExchange.Request().body() });
  }
  while (this->versions.size() > 1 && this->versions[1].visibleFrom <= now) {
    this->versions.pop_front();
  }
  co_await aExchange.Reply(JsonResponse(200, this->versions.front().text));
}

} // namespace apricottrack::standins
