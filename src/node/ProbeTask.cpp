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
  this->requiredProbes.clear();
  for (const Vm& vm : aVms) {
    this->requiredProbes.emplace(vm.id, vm.address);
  }
  for (const auto& probe : this->requiredProbes) {
    if (!this->runningProbes.insert(probe).second) {
      continue;
    }
    asio::co_spawn(
      this->executor,
      [this, probe]() -> Task<void> {
        co_await this->ProbePeriodically(probe.first, probe.second);
        this->runningProbes.erase(probe);
      },
      asio::detached);
  }
}

Task<void>
ProbeTask::ProbePeriodically(std::string aVm, std::string aAddress)
{
  while (this->requiredProbes.contains({ aVm, aAddress })) {
    const Instant sentAt = MonotonicNow();
    HttpRequest request(boost::beast::http::verb::get, "/v1/status", 11);
    auto response = co_await Fetch(
      this->pool, aAddress, std::move(request), { .timeout = this->interval });
    if (response) {
      auto report = ParseMemberReport(response->body(), aAddress, sentAt);
      if (report) {
        this->sink(aVm, std::move(*report));
      }
    }
    asio::steady_timer timer(this->executor, sentAt + this->interval);
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace apricottrack
