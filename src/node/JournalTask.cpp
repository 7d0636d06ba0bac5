#include "node/JournalTask.h"

#include "http/HttpTypes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace apricottrack {

namespace asio = boost::asio;

JournalTask::JournalTask(asio::any_io_executor aExecutor,
                         KeyValueStore& aStore,
                         JournalWriter::Options aOptions)
  : executor(std::move(aExecutor))
  , store(aStore)
  , writer(std::move(aOptions))
  , wakeTimer(this->executor)
{
}

void
JournalTask::Start()
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

Task<void>
JournalTask::Run()
{
  for (;;) {
    auto call = this->writer.NextCall(MonotonicNow());
    this->DeliverResults();
    if (call) {
      co_await this->MakeCall(std::move(*call));
      this->DeliverResults();
    } else {
      co_await this->WaitForWork();
    }
  }
}

Task<void>
JournalTask::MakeCall(JournalCall aCall)
{
  switch (aCall.kind) {
    case JournalCall::Kind::kLoad: {
      Revision revision = 0;
      auto segments = co_await this->store.List(aCall.key, revision);
      this->writer.OnLoaded(std::move(segments), MonotonicNow());
      break;
    }
    case JournalCall::Kind::kRead: {
      auto segment = co_await this->store.Get(aCall.key);
      this->writer.OnRead(std::move(segment), MonotonicNow());
      break;
    }
    case JournalCall::Kind::kSwap: {
      auto swapped = co_await this->store.CompareAndSwap(std::move(aCall.swap));
      this->writer.OnSwapped(std::move(swapped), MonotonicNow());
      break;
    }
  }
}

Task<void>
JournalTask::WaitForWork()
{
  const auto wakeAt = this->writer.NextCallAt();
  if (wakeAt) {
    this->wakeTimer.expires_after(*wakeAt - MonotonicNow());
  } else {
    this->wakeTimer.expires_at(asio::steady_timer::time_point::max());
  }
  co_await this->wakeTimer.async_wait(kAsTuple);
}

void
JournalTask::DeliverResults()
{
  for (JournalResolution& resolution : this->writer.TakeResolutions()) {
    const auto found = this->intentWaiters.find(resolution.nonce);
    if (found != this->intentWaiters.end()) {
      found->second->resolution = std::move(resolution);
      found->second->timer.cancel();
    }
  }
  for (const std::string& nonce : this->writer.TakeWrittenEnds()) {
    const auto found = this->endWaiters.find(nonce);
    if (found != this->endWaiters.end()) {
      found->second->endWritten = true;
      found->second->timer.cancel();
    }
  }
}

Task<JournalResolution>
JournalTask::AppendIntent(JournalIntent aIntent, Instant aDeadline)
{
  const std::string nonce = aIntent.nonce;
  Waiter waiter{ .timer = asio::steady_timer(this->executor, aDeadline),
                 .resolution = std::nullopt };
  this->intentWaiters[nonce] = &waiter;
  this->writer.AddIntent(std::move(aIntent), aDeadline);
  this->wakeTimer.cancel();
  co_await waiter.timer.async_wait(kAsTuple);
  if (!waiter.resolution) {
    // Not earlier than the deadline, so that Expire resolves this intent.
    this->writer.Expire(std::max(aDeadline, MonotonicNow()));
    this->DeliverResults();
    this->wakeTimer.cancel();
  }
  this->intentWaiters.erase(nonce);
  co_return std::move(*waiter.resolution);
}

Task<bool>
JournalTask::AppendEnd(JournalEnd aEnd, Duration aTimeout)
{
  const std::string nonce = aEnd.nonce;
  Waiter waiter{ .timer = asio::steady_timer(this->executor, aTimeout),
                 .resolution = std::nullopt };
  this->endWaiters[nonce] = &waiter;
  this->writer.AddEnd(std::move(aEnd));
  this->wakeTimer.cancel();
  co_await waiter.timer.async_wait(kAsTuple);
  this->endWaiters.erase(nonce);
  co_return waiter.endWritten;
}

} // namespace apricottrack
