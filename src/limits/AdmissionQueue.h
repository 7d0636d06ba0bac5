#ifndef APRICOTTRACK_LIMITS_ADMISSIONQUEUE_H
#define APRICOTTRACK_LIMITS_ADMISSIONQUEUE_H

#include "apricottrack/Configuration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace apricottrack {

using TicketId = std::uint64_t;

/// A queued request that waits for a slot at a service's targets.
struct Ticket
{
  TicketId id = 0;
  std::string account;
  /// Keys under which the request may be quarantined.
  std::vector<std::string> crashKeys;
  /// Share of dispatches relative to other accounts of the same priority.
  double weight = 1;
  Priority priority = Priority::kInteractive;
  /// Time at which the request arrived at this node.
  Instant arrived;
  /// Time by which the response must be complete.
  Instant deadline;
};

/// Why a ticket was not queued.
enum class AdmissionRefusal
{
  kNone,
  /// The queue is full, or tickets of the same account and priority fill half
  /// of it.
  kQueueFull,
  /// By the estimated wait the request cannot finish before its deadline.
  kDeadlineUnreachable,
};

/// The requests of one service that wait at one node for a slot. Interactive
/// requests precede batch requests, except for a small share of the dispatches.
/// Within a priority, accounts are served by weighted fair queueing, so that a
/// large account cannot starve a small one.
class AdmissionQueue
{
public:
  struct Options
  {
    /// Maximum number of queued requests.
    int limit = 256;
    /// One dispatch in this many prefers a waiting batch request.
    int dispatchesPerBatch = 10;
  };

  explicit AdmissionQueue(Options aOptions);

  /// Queues a ticket, or returns why it is refused.
  AdmissionRefusal Add(Ticket aTicket, Instant aNow);

  /// Removes up to `aSlots` tickets and returns them in the order to run.
  std::vector<TicketId> Dispatch(int aSlots, Instant aNow);

  /// Removes and returns the tickets that, by the mean service time, can no
  /// longer finish by their deadline.
  std::vector<TicketId> Expire(Instant aNow);

  /// Removes a ticket whose request no longer waits; ignores unknown ids.
  void Remove(TicketId aId);

  /// Updates the mean service time, on which the estimated wait is based, with
  /// that of a finished request.
  void OnFinished(Duration aServiceTime);
  /// Sets the number of requests that the targets run concurrently.
  void SetConcurrency(int aSlots);
  /// Sets the maximum number of queued requests; queued ones stay.
  void SetLimit(int aLimit) { this->options.limit = aLimit; }

  /// Estimated time until a ticket behind `aAhead` others gets a slot.
  Duration EstimatedWait(int aAhead) const;

  /// Number of queued tickets.
  int Size() const;

private:
  /// The tickets of one account.
  struct AccountQueue
  {
    std::deque<Ticket> tickets;
    /// Virtual start time of the next ticket, in the sense of weighted fair
    /// queueing; the ticket with the lowest is dispatched first.
    double virtualStart = 0;
  };

  /// The tickets of one priority.
  struct PriorityClass
  {
    /// By account.
    std::map<std::string, AccountQueue> accountQueues;
    /// Virtual start time of the ticket that was dispatched last.
    double virtualTime = 0;
    /// Number of tickets.
    int size = 0;
  };

  /// Number of queued tickets that are expected to be dispatched before this
  /// one.
  int TicketsAhead(const Ticket& aTicket) const;
  /// Latest start at which the ticket is expected to meet its deadline.
  Instant LatestStart(const Ticket& aTicket) const;
  /// True if tickets of the same account and priority fill half of the queue.
  bool IsAccountAtLimit(const Ticket& aTicket) const;
  /// Returns the priority to dispatch from next, and counts the dispatch.
  PriorityClass& PickClass();
  /// Removes the ticket with the lowest virtual start time and returns its id.
  /// The class must not be empty.
  static TicketId Pop(PriorityClass& aClass);
  PriorityClass& ClassOf(Priority aPriority);
  const PriorityClass& ClassOf(Priority aPriority) const;

  Options options;
  PriorityClass interactive;
  PriorityClass batch;
  /// Interactive dispatches since the last batch dispatch.
  int interactiveDispatchesSinceBatch = 0;
  /// Number of requests that the targets run concurrently.
  int concurrency = 1;
  /// Moving mean of service times; zero until the first request has finished.
  double meanServiceSeconds = 0;
};

} // namespace apricottrack

#endif
