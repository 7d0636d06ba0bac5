#include "serving/FleetTask.h"

#include "base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Between two checks whether the task has become active.
constexpr Duration kActivationCheckInterval = milliseconds(50);

/// Between two calls of a watch at the planner's node, so that events arrive in
/// batches.
constexpr milliseconds kPlannerWatchInterval(15);
/// The same at other nodes, which watch only while there is no planner.
constexpr milliseconds kNoPlannerWatchInterval(700);

/// Between two checks for entries whose grace period has ended.
constexpr Duration kExpiryCheckInterval = milliseconds(200);

} // namespace

FleetTask::FleetTask(ServingContext& aContext,
                     KeyValueStore& aStore,
                     Options aOptions,
                     std::function<void()> aOnChange)
  : context(aContext)
  , store(aStore)
  , options(aOptions)
  , onChange(std::move(aOnChange))
{
}

void
FleetTask::Start()
{
  this->SetIsPlanner(false);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> {
      co_await this->PruneExpiredEntriesPeriodically();
    },
    asio::detached);
}

void
FleetTask::SetActive(bool aActive, bool aStoreWasAvailable)
{
  if (aActive && !this->active) {
    this->listedSince.reset();
    ++this->activations;
    this->isStoreReachable = this->isStoreReachable || aStoreWasAvailable;
  }
  this->active = aActive;
}

void
FleetTask::OnPlannerFollowed()
{
  this->restoreCount = this->store.RestoreCount();
}

void
FleetTask::OnFleetReplaced()
{
  if (this->active) {
    this->listedSince.reset();
    ++this->activations;
  }
}

void
FleetTask::SetIsPlanner(bool aIsPlanner)
{
  this->isPlanner = aIsPlanner;
  this->store.SetWatchInterval(aIsPlanner ? kPlannerWatchInterval
                                          : kNoPlannerWatchInterval);
}

Task<void>
FleetTask::Run()
{
  Duration delay = this->options.minRetryDelay;
  for (;;) {
    if (!this->active) {
      asio::steady_timer timer(this->context.executor,
                               kActivationCheckInterval);
      co_await timer.async_wait(kAsTuple);
      continue;
    }
    const std::int64_t activation = this->activations;
    const Revision revision = co_await this->ListAll();
    if (revision > 0) {
      delay = this->options.minRetryDelay;
      const Error watchError = co_await this->store.Watch(
        this->context.protocol.TargetPrefix(),
        revision + 1,
        [this, activation](const std::vector<KeyValue>& aChanges) {
          const Instant now = MonotonicNow();
          if (!this->active || this->activations != activation) {
            return false;
          }
          this->lastContactAt = now;
          for (const KeyValue& change : aChanges) {
            this->ApplyChange(change, now);
          }
          if (!aChanges.empty()) {
            this->onChange();
          }
          return this->active;
        });
      if (!this->active || this->activations != activation) {
        continue;
      }
      LogLine("fleet_watch_ended").With(watchError).Warn();
    }
    asio::steady_timer timer(this->context.executor, delay);
    co_await timer.async_wait(kAsTuple);
    delay = std::min(delay * 2, this->options.maxRetryDelay);
  }
}

Task<Revision>
FleetTask::ListAll()
{
  const std::int64_t activation = this->activations;
  Revision revision = 0;
  const auto items =
    co_await this->store.List(this->context.protocol.TargetPrefix(), revision);
  const Instant now = MonotonicNow();
  if (!this->active || this->activations != activation) {
    // The planner's node was followed; what it sent may be newer.
    co_return 0;
  }
  if (!items) {
    if (this->isStoreReachable) {
      LogLine("fleet_unreachable").With(items.error()).Warn();
    }
    this->isStoreReachable = false;
    co_return 0;
  }
  const std::int64_t restores = this->store.RestoreCount();
  const bool wasRestored =
    this->restoreCount && *this->restoreCount != restores;
  this->restoreCount = restores;
  if (!this->isStoreReachable && !this->context.fleet.All().empty()) {
    // Entries of live targets, known from an earlier listing or from the
    // planner, may have expired while the store was unreachable.
    this->context.fleet.OnStoreRecovered(now);
  }
  this->lastContactAt = now;
  if (!this->isStoreReachable || !this->listedSince || wasRestored) {
    this->listedSince = now;
  }
  this->isStoreReachable = true;
  std::vector<TargetRecord> records;
  for (const KeyValue& item : *items) {
    auto record = this->context.protocol.ReadTarget(item);
    if (record) {
      records.push_back(std::move(*record));
    } else {
      LogLine("target_unreadable").With(record.error()).Warn();
    }
  }
  LogLine("fleet_listed")
    .With("targets", static_cast<std::int64_t>(records.size()))
    .With("revision", revision)
    .With("restored", std::int64_t{ wasRestored })
    .Info();
  if (wasRestored) {
    this->context.fleet.ReplaceAllRestored(std::move(records), now);
  } else {
    this->context.fleet.ReplaceAll(
      std::move(records), Fleet::Removal::kWithGrace, now);
  }
  this->onChange();
  co_return revision;
}

void
FleetTask::ApplyChange(const KeyValue& aItem, Instant aNow)
{
  const std::string id = this->context.protocol.TargetIdOf(aItem.key);
  if (aItem.revision == 0) {
    LogLine("target_gone").With("target", id).Info();
    this->context.fleet.Remove(id, aNow);
    return;
  }
  auto record = this->context.protocol.ReadTarget(aItem);
  if (!record) {
    LogLine("target_unreadable").With(record.error()).Warn();
    this->context.fleet.Remove(id, aNow);
    return;
  }
  const TargetRecord* const previous = this->context.fleet.Find(id);
  const bool newlyLeaving =
    record->leaving && (previous == nullptr || !previous->leaving);
  // Only the planner's node reads every change over the whole day; the lines of
  // all nodes together would grow with the square of the deployment.
  if (newlyLeaving ||
      (this->isPlanner &&
       (previous == nullptr || previous->membership != record->membership))) {
    LogLine line("target_changed");
    line.With("target", id)
      .With("revision", aItem.revision)
      .With("leaving", std::int64_t{ record->leaving })
      .With("model", record->model);
    if (record->membership) {
      line.With("replica", record->membership->replica)
        .With("epoch", record->membership->epoch)
        .With("rank", std::int64_t{ record->membership->rank })
        .With("state", MemberStateName(record->membership->state));
    }
    line.Info();
  }
  this->context.fleet.Put(std::move(*record), aNow);
}

Task<void>
FleetTask::PruneExpiredEntriesPeriodically()
{
  for (;;) {
    asio::steady_timer timer(this->context.executor, kExpiryCheckInterval);
    co_await timer.async_wait(kAsTuple);
    if (this->context.fleet.RemoveExpired(MonotonicNow())) {
      LogLine("lapsed_targets_dropped").Info();
      this->onChange();
    }
  }
}

} // namespace apricottrack
