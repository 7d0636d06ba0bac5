#ifndef APRICOTTRACK_NODE_DISPATCHER_H
#define APRICOTTRACK_NODE_DISPATCHER_H

#include "intake/Refusal.h"
#include "limits/AdmissionQueue.h"
#include "quarantine/PromptQuarantine.h"
#include "retry/RetryBudget.h"
#include "routing/Router.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>

namespace apricottrack {

/// Dispatches the requests of one service at one node. Owns the service's
/// router, admission queue and retry budget, and tracks the requests that
/// wait for a slot.
class Dispatcher
{
public:
  struct Options
  {
    std::string availabilityZone;
    /// Maximum number of waiting requests.
    int queueLimit = 256;
    /// While the service has no target, a request is refused once this long
    /// has passed since it began to wait.
    Duration maxWaitWithoutTargets = seconds(3);
    /// The request limits of targets; outlives the dispatcher.
    TargetLimits* limits = nullptr;
    /// The pauses that targets ask for; outlives the dispatcher.
    TargetPauses* pauses = nullptr;
  };

  Dispatcher(boost::asio::any_io_executor aExecutor, Options aOptions);

  /// Changes the queue limit; applies to requests that arrive afterwards.
  void SetQueueLimit(int aLimit) { this->queue.SetLimit(aLimit); }

  /// Sets the number of nodes that share the targets' request limits.
  void SetNodeCount(int aCount) { this->router.SetNodeCount(aCount); }

  /// Replaces the set of targets and dispatches waiting requests to them.
  void SetTargets(const std::vector<Target>& aTargets, Instant aNow);

  /// Waits for a slot. Returns nothing once the request may start, otherwise
  /// the refusal. Each admitted request must then call either StartRequest or
  /// CancelAdmission.
  Task<std::optional<Refusal>> Admit(Ticket aTicket);

  /// Returns the slot of an admitted request that ends before StartRequest.
  void CancelAdmission();

  /// Chooses a target with a free slot, or nothing if there is none. Targets
  /// in `aTried` are chosen only if no other may serve.
  std::optional<Target> Choose(const RouteKey& aKey,
                               const std::set<std::string>& aTried,
                               Instant aNow);

  /// Records that an admitted request starts, before its first attempt.
  void StartRequest();

  /// Records that an attempt at a target starts.
  void OnStart(const Target& aTarget, Instant aNow);

  /// Records the time from the start of an attempt to its first byte.
  void OnFirstByte(const Target& aTarget, Duration aElapsed);

  /// Records the end of an attempt and dispatches waiting requests.
  /// `aServiceTime` is the attempt's duration.
  void OnEnd(const Target& aTarget,
             bool aFailed,
             Duration aServiceTime,
             Instant aNow);

  /// Refuses waiting requests that can no longer meet their deadline or, while
  /// the service has no target, have waited for `maxWaitWithoutTargets`. Admits
  /// as many of the others as there are free slots. Called periodically and on
  /// each change that can free a slot.
  void DispatchWaiting(Instant aNow);

  /// Refuses the waiting requests that the quarantine holds.
  void RefuseQuarantined(const PromptQuarantine& aQuarantine, Instant aNow);

  /// Returns the refusal of a request for which no target may be chosen because
  /// all have asked for a pause; none otherwise. Its Retry-After is spread, so
  /// that callers do not come back in one wave.
  std::optional<Refusal> PauseRefusal(Instant aNow);

  RetryBudget& Budget() { return this->budget; }
  const Router& TargetRouter() const { return this->router; }
  int WaitingRequests() const { return this->queue.Size(); }

private:
  /// A request that waits in Admit.
  struct Waiter
  {
    /// Expires at the request's deadline; cancelled once the request is
    /// admitted or refused.
    boost::asio::steady_timer timer;
    Instant waitingSince;
    std::vector<std::string> crashKeys;
    bool admitted = false;
    std::optional<Refusal> refusal;
  };

  void RefuseWaiter(TicketId aId, Refusal aRefusal);
  void RefuseWithoutTargets(Instant aNow);
  Refusal DeadlineRefusal() const;
  /// Returns when a request that arrives now gets a turn at a target; none
  /// unless all targets are limited.
  std::optional<Duration> WaitForLimits(Instant aNow) const;

  boost::asio::any_io_executor executor;
  Options options;
  Router router;
  AdmissionQueue queue;
  RetryBudget budget;
  Random random;
  /// Keyed by ticket; each waiter is a local variable of the coroutine that
  /// waits in Admit.
  std::map<TicketId, Waiter*> waiters;
  TicketId nextTicket = 1;
  /// Number of admitted requests that have called neither StartRequest nor
  /// CancelAdmission.
  int admittedNotStarted = 0;
};

} // namespace apricottrack

#endif
