#include "node/ProbeTask.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

ProbeTask::ProbeTask(asio::any_io_executor aExecutor,
                     Duration aInterval,
                     ReportSink aSink)
  : executor(std::move(aExecutor))
  , interval(aInterval)
  , sink(std::move(aSink))
  , pool(this->executor,
         HttpConnectionPool::Options{ .idlePerAddress = 1,
                                      .connectTimeout = aInterval })
{
}

void
ProbeTask::SetVms(const VmList& aVms)
{
  this->wanted.clear();
  for (const Vm& vm : aVms) {
    this->wanted.emplace(vm.id, vm.address);
  }
  for (const auto& probe : this->wanted) {
    if (!this->running.insert(probe).second) {
      continue;
    }
    asio::co_spawn(
      this->executor,
      [this, probe]() -> Task<void> {
        co_await this->Follow(probe.first, probe.second);
        this->running.erase(probe);
      },
      asio::detached);
  }
}

Task<void>
ProbeTask::Follow(std::string aVm, std::string aAddress)
{
  while (this->wanted.contains({ aVm, aAddress })) {
    const Instant sentAt = MonotonicNow();
    HttpRequest request(boost::beast::http::verb::get, "/v1/status", 11);
    auto answer =
      co_await Fetch(this->pool, aAddress, std::move(request), this->interval);
    if (answer) {
      auto report = ParseMemberReport(answer->body(), aAddress, sentAt);
      if (report) {
        this->sink(aVm, std::move(*report));
      }
    }
    asio::steady_timer timer(this->executor, sentAt + this->interval);
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace apricottrack
