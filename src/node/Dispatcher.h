#ifndef APRICOTTRACK_NODE_DISPATCHER_H
#define APRICOTTRACK_NODE_DISPATCHER_H

#include "intake/Refusal.h"
#include "limits/AdmissionQueue.h"
#include "retry/RetryBudget.h"
#include "routing/Router.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>

namespace apricottrack {

/// One service at one node: its router, its queue and its retry budget, and
/// the requests that wait for a slot.
class Dispatcher
{
public:
  struct Options
  {
    std::string availabilityZone;
    int queueLimit = 256;
    /// How long a request waits where no target serves at all.
    Duration noTargetPatience = seconds(3);
  };

  Dispatcher(boost::asio::any_io_executor aExecutor, Options aOptions);

  /// Applies a changed configuration to requests that come from now on.
  void SetQueueLimit(int aLimit) { this->queue.SetLimit(aLimit); }

  void SetTargets(const std::vector<Target>& aTargets, Instant aNow);

  /// Waits for a slot. Done with nothing once the request may start, or with
  /// the refusal. Each admitted request calls Begin or Abandon next.
  Task<std::optional<Refusal>> Admit(Ticket aTicket);
  void Abandon();

  std::optional<Target> Choose(const RouteKey& aKey,
                               const std::set<std::string>& aTried,
                               Instant aNow);

  /// The first attempt of an admitted request starts.
  void Begin();
  void OnStart(const Target& aTarget, Instant aNow);
  void OnFirstByte(const Target& aTarget, Duration aElapsed);
  void OnEnd(const Target& aTarget,
             bool aFailed,
             Duration aServiceTime,
             Instant aNow);

  /// Drops late tickets and starts those that have room.
  void Pump(Instant aNow);

  RetryBudget& Budget() { return this->budget; }
  const Router& Routes() const { return this->router; }
  int Waiting() const { return this->queue.Size(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer timer;
    Instant since;
    bool admitted = false;
    std::optional<Refusal> refusal;
  };

  void RefuseWaiter(TicketId aId, Refusal aRefusal);
  void RefuseWithoutTargets(Instant aNow);
  Refusal LateRefusal() const;

  boost::asio::any_io_executor executor;
  Options options;
  Router router;
  AdmissionQueue queue;
  RetryBudget budget;
  Random random;
  std::map<TicketId, Waiter*> waiters;
  TicketId nextTicket = 1;
  /// Admitted requests that have not started their first attempt.
  int granted = 0;
};

} // namespace apricottrack

#endif
