#include "node/PlatformTask.h"

#include "base/Log.h"
#include "http/HttpTypes.h"
#include "kv/PlatformKeys.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

PlatformTask::PlatformTask(asio::any_io_executor aExecutor,
                           KeyValueStore& aStore,
                           Options aOptions,
                           ChangeSink aSink)
  : executor(std::move(aExecutor))
  , store(aStore)
  , options(aOptions)
  , sink(std::move(aSink))
  , confirmation(
      this->executor,
      {},
      [this]() -> Task<bool> { co_return co_await this->ReadConfiguration(); })
  , random(std::random_device{}())
{
}

void
PlatformTask::Start()
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->FollowWatch(); },
    asio::detached);
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->ListPeriodically(); },
    asio::detached);
}

Task<Revision>
PlatformTask::ListAll()
{
  Revision revision = 0;
  const Instant sentAt = MonotonicNow();
  auto values =
    co_await this->store.List(std::string(keys::kStatePrefix), revision);
  if (!values) {
    LogLine("platform_list_failed").With(values.error()).Warn();
    co_return 0;
  }
  this->lastContactAt = MonotonicNow();
  this->sink(*values, true);
  this->configurationVerifiedAt =
    std::max(this->configurationVerifiedAt, sentAt);
  co_return revision;
}

Task<bool>
PlatformTask::ReadConfiguration()
{
  const Instant sentAt = MonotonicNow();
  const auto value =
    co_await this->store.Get(std::string(keys::kConfigurationKey));
  if (!value) {
    LogLine("configuration_unreachable").With(value.error()).Warn();
    co_return false;
  }
  if (value->revision != 0) {
    this->sink({ *value }, false);
  }
  this->configurationVerifiedAt =
    std::max(this->configurationVerifiedAt, sentAt);
  co_return true;
}

Task<void>
PlatformTask::WaitWithJitter(Duration aMean)
{
  // Random, so that nodes do not call the service all at the same time after
  // it fails.
  std::uniform_real_distribution<double> jitterFactor(0.5, 1.5);
  asio::steady_timer timer(
    this->executor, FromSeconds(ToSeconds(aMean) * jitterFactor(this->random)));
  co_await timer.async_wait(kAsTuple);
}

Task<void>
PlatformTask::FollowWatch()
{
  Duration delay = this->options.minRetryDelay;
  for (;;) {
    const Revision revision = co_await this->ListAll();
    if (revision > 0) {
      delay = this->options.minRetryDelay;
      const Error watchError = co_await this->store.Watch(
        std::string(keys::kStatePrefix),
        revision + 1,
        [this](const std::vector<KeyValue>& aChanges) {
          this->lastContactAt = MonotonicNow();
          this->sink(aChanges, false);
          return true;
        });
      LogLine("platform_watch_ended").With(watchError).Warn();
    }
    co_await this->WaitWithJitter(delay);
    delay = std::min(delay * 2, this->options.maxRetryDelay);
  }
}

Task<void>
PlatformTask::ListPeriodically()
{
  for (;;) {
    co_await this->WaitWithJitter(this->options.listInterval);
    co_await this->ListAll();
  }
}

} // namespace apricottrack
