#include "node/Dispatcher.h"

#include <algorithm>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Longest wait that a refusal states because targets limit their requests.
constexpr double kMaxLimitWaitSeconds = 60;

/// Range over which callers come back after the end of a pause.
constexpr double kPauseSpreadSeconds = 2;

} // namespace

Dispatcher::Dispatcher(asio::any_io_executor aExecutor, Options aOptions)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , router(Router::Options{ .availabilityZone = this->options.availabilityZone,
                            .limits = this->options.limits,
                            .pauses = this->options.pauses },
           MakeAffinityStrategy())
  , queue(AdmissionQueue::Options{ .limit = this->options.queueLimit })
  , budget(RetryBudget::Options{})
  , random(std::random_device{}())
{
}

void
Dispatcher::SetTargets(const std::vector<Target>& aTargets, Instant aNow)
{
  this->router.SetTargets(aTargets);
  this->queue.SetConcurrency(this->router.TotalSlots());
  this->DispatchWaiting(aNow);
}

Refusal
Dispatcher::DeadlineRefusal() const
{
  return MakeNotRunRefusal(503,
                           "deadline_unreachable",
                           "the request cannot complete before its deadline",
                           this->queue.EstimatedWait(this->queue.Size()));
}

std::optional<Duration>
Dispatcher::WaitForLimits(Instant aNow) const
{
  const auto rate = this->router.LimitedRate(aNow);
  if (!rate) {
    return std::nullopt;
  }
  const double ahead = this->queue.Size();
  return FromSeconds(*rate > 0 ? std::min(kMaxLimitWaitSeconds, ahead / *rate)
                               : kMaxLimitWaitSeconds);
}

std::optional<Refusal>
Dispatcher::PauseRefusal(Instant aNow)
{
  const std::optional<Instant> end = this->router.PauseEnd(aNow);
  if (!end) {
    return std::nullopt;
  }
  std::uniform_real_distribution<double> spread(0, kPauseSpreadSeconds);
  return MakeNotRunRefusal(503,
                           "target_paused",
                           "the targets of this service have asked for a pause",
                           *end - aNow + FromSeconds(spread(this->random)));
}

Task<std::optional<Refusal>>
Dispatcher::Admit(Ticket aTicket)
{
  const Instant now = MonotonicNow();
  if (const auto end = this->router.PauseEnd(now);
      end && *end >= aTicket.deadline) {
    co_return this->PauseRefusal(now);
  }
  if (const auto wait = this->WaitForLimits(now);
      wait && now + *wait >= aTicket.deadline) {
    co_return MakeNotRunRefusal(
      503,
      "target_limit",
      "the targets of this service limit their requests",
      wait);
  }
  const TicketId id = this->nextTicket++;
  const Instant deadline = aTicket.deadline;
  std::vector<std::string> crashKeys = aTicket.crashKeys;
  aTicket.id = id;
  aTicket.arrived = now;
  const AdmissionRefusal admission = this->queue.Add(std::move(aTicket), now);
  if (admission == AdmissionRefusal::kQueueFull) {
    co_return MakeNotRunRefusal(
      503,
      "queue_full",
      "too many requests are waiting for this service",
      this->queue.EstimatedWait(this->queue.Size()));
  }
  if (admission == AdmissionRefusal::kDeadlineUnreachable) {
    co_return this->DeadlineRefusal();
  }
  Waiter waiter{ .timer = asio::steady_timer(this->executor, deadline),
                 .waitingSince = now,
                 .crashKeys = std::move(crashKeys),
                 .refusal = std::nullopt };
  this->waiters[id] = &waiter;
  this->DispatchWaiting(now);
  if (!waiter.admitted && !waiter.refusal) {
    co_await waiter.timer.async_wait(kAsTuple);
  }
  this->waiters.erase(id);
  if (!waiter.admitted) {
    this->queue.Remove(id);
    co_return waiter.refusal.value_or(this->DeadlineRefusal());
  }
  co_return std::nullopt;
}

void
Dispatcher::CancelAdmission()
{
  this->admittedNotStarted = std::max(0, this->admittedNotStarted - 1);
  this->DispatchWaiting(MonotonicNow());
}

void
Dispatcher::StartRequest()
{
  this->admittedNotStarted = std::max(0, this->admittedNotStarted - 1);
  this->budget.OnFirstAttempt();
}

std::optional<Target>
Dispatcher::Choose(const RouteKey& aKey,
                   const std::set<std::string>& aTried,
                   Instant aNow)
{
  return this->router.Choose(aKey, aTried, aNow, this->random);
}

void
Dispatcher::OnStart(const Target& aTarget, Instant aNow)
{
  this->router.OnStart(aTarget.id, aNow);
}

void
Dispatcher::OnFirstByte(const Target& aTarget, Duration aElapsed)
{
  this->router.OnFirstByte(aTarget.id, aElapsed);
}

void
Dispatcher::OnEnd(const Target& aTarget,
                  bool aFailed,
                  Duration aServiceTime,
                  Instant aNow)
{
  this->router.OnEnd(aTarget.id, aFailed, aNow);
  if (!aFailed) {
    this->queue.OnFinished(aServiceTime);
  }
  this->DispatchWaiting(aNow);
}

void
Dispatcher::RefuseWaiter(TicketId aId, Refusal aRefusal)
{
  const auto found = this->waiters.find(aId);
  if (found != this->waiters.end()) {
    found->second->refusal = std::move(aRefusal);
    found->second->timer.cancel();
  }
}

void
Dispatcher::RefuseWithoutTargets(Instant aNow)
{
  for (const auto& [id, waiter] : this->waiters) {
    if (!waiter->admitted &&
        aNow - waiter->waitingSince >= this->options.maxWaitWithoutTargets) {
      this->queue.Remove(id);
      this->RefuseWaiter(
        id,
        MakeNotRunRefusal(
          503, "no_target", "the service has no target", seconds(2)));
    }
  }
}

void
Dispatcher::RefuseQuarantined(const PromptQuarantine& aQuarantine, Instant aNow)
{
  for (const auto& [id, waiter] : this->waiters) {
    if (waiter->admitted || waiter->refusal) {
      continue;
    }
    if (const auto remaining =
          aQuarantine.RemainingFor(waiter->crashKeys, aNow)) {
      this->queue.Remove(id);
      this->RefuseWaiter(id, MakeQuarantineRefusal(*remaining));
    }
  }
}

void
Dispatcher::DispatchWaiting(Instant aNow)
{
  if (this->waiters.empty()) {
    return;
  }
  for (const TicketId id : this->queue.Expire(aNow)) {
    this->RefuseWaiter(id, this->DeadlineRefusal());
  }
  if (this->router.TargetCount() == 0) {
    this->RefuseWithoutTargets(aNow);
    return;
  }
  const int freeSlots = this->router.FreeSlots(aNow) - this->admittedNotStarted;
  for (const TicketId id : this->queue.Dispatch(freeSlots, aNow)) {
    const auto found = this->waiters.find(id);
    if (found != this->waiters.end()) {
      ++this->admittedNotStarted;
      found->second->admitted = true;
      found->second->timer.cancel();
    }
  }
}

} // namespace apricottrack
