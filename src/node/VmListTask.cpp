#include "node/VmListTask.h"

#include "base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Time from the end of a read to the start of the next.
constexpr Duration kReadInterval = milliseconds(1000);
/// Timeout of a read; see Fetch for what it limits.
constexpr Duration kReadTimeout = milliseconds(1000);
/// Maximum size of the list, in bytes.
constexpr std::uint64_t kMaxListBytes = std::uint64_t{ 16 } * 1024 * 1024;

} // namespace

VmListTask::VmListTask(asio::any_io_executor aExecutor,
                       std::string aAddress,
                       std::function<void(VmList)> aSink)
  : executor(std::move(aExecutor))
  , address(std::move(aAddress))
  , sink(std::move(aSink))
  , pool(this->executor, HttpConnectionPool::Options{})
{
}

void
VmListTask::Start()
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

Task<void>
VmListTask::Run()
{
  for (;;) {
    HttpRequest request(boost::beast::http::verb::get, "/v1/vms", 11);
    auto response =
      co_await Fetch(this->pool,
                     this->address,
                     std::move(request),
                     { .timeout = kReadTimeout, .bodyBytes = kMaxListBytes });
    const auto vms = response
                       ? ParseVmList(response->body(), this->address)
                       : Result<VmList>(tl::unexpected(response.error()));
    if (vms) {
      this->sink(*vms);
    } else {
      LogLine("vm_list_failed").With(vms.error()).Warn();
    }
    asio::steady_timer timer(this->executor, kReadInterval);
    co_await timer.async_wait(kAsTuple);
  }
}

} // namespace apricottrack
