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

/// One request that waits for a slot at a service's targets.
struct Ticket
{
  TicketId id = 0;
  std::string account;
  double weight = 1;
  Priority priority = Priority::kInteractive;
  Instant arrived;
  Instant deadline;
};

enum class AdmissionRefusal
{
  kNone,
  kQueueFull,
  /// The estimated wait ends after the request's deadline.
  kDeadlineUnreachable,
};

/// Requests of one service that wait at one node. Interactive work goes
/// before batch work, which keeps a small share; within a priority accounts
/// share by weight, so that a large account cannot starve a small one.
class AdmissionQueue
{
public:
  struct Options
  {
    int limit = 256;
    /// One dispatch in this many goes to waiting batch work first.
    int batchEvery = 10;
  };

  explicit AdmissionQueue(Options aOptions);

  /// Adds a ticket, or says why it is refused.
  AdmissionRefusal Add(Ticket aTicket, Instant aNow);

  /// Removes up to a number of tickets, in the order they may run.
  std::vector<TicketId> Dispatch(int aSlots, Instant aNow);

  /// Removes tickets that can no longer finish by their deadline.
  std::vector<TicketId> Expire(Instant aNow);

  void Remove(TicketId aId);

  /// Feeds the estimate of waiting time.
  void OnFinished(Duration aServiceTime);
  void SetConcurrency(int aSlots);
  void SetLimit(int aLimit) { this->options.limit = aLimit; }

  /// Time that a ticket with this many before it will wait for its slot.
  Duration EstimatedWait(int aAhead) const;

  int Size() const;

private:
  struct Lane
  {
    std::deque<Ticket> tickets;
    /// Virtual time at which the lane's next ticket starts.
    double start = 0;
  };

  struct Band
  {
    std::map<std::string, Lane> lanes;
    double virtualTime = 0;
    int size = 0;
  };

  int Ahead(const Ticket& aTicket) const;
  /// Latest start with which the ticket is expected to meet its deadline.
  Instant StartBy(const Ticket& aTicket) const;
  bool AccountIsFull(const Ticket& aTicket) const;
  Band& PickBand();
  static TicketId Pop(Band& aBand);
  Band& BandOf(Priority aPriority);
  const Band& BandOf(Priority aPriority) const;

  Options options;
  Band interactive;
  Band batch;
  int sinceBatch = 0;
  int concurrency = 1;
  double meanServiceSeconds = 0;
};

} // namespace apricottrack

#endif
