#include "limits/AdmissionQueue.h"

#include <algorithm>
#include <cassert>

namespace apricottrack {

namespace {

/// Weight of the latest service time in the moving mean.
constexpr double kServiceTimeGain = 0.05;

} // namespace

AdmissionQueue::AdmissionQueue(Options aOptions)
  : options(aOptions)
{
}

AdmissionQueue::PriorityClass&
AdmissionQueue::ClassOf(Priority aPriority)
{
  return aPriority == Priority::kBatch ? this->batch : this->interactive;
}

const AdmissionQueue::PriorityClass&
AdmissionQueue::ClassOf(Priority aPriority) const
{
  return aPriority == Priority::kBatch ? this->batch : this->interactive;
}

int
AdmissionQueue::TicketsAhead(const Ticket& aTicket) const
{
  const PriorityClass& priorityClass = this->ClassOf(aTicket.priority);
  const auto own = priorityClass.accountQueues.find(aTicket.account);
  const int ownWaiting = own == priorityClass.accountQueues.end()
                           ? 0
                           : static_cast<int>(own->second.tickets.size());
  // Fair queueing dispatches one ticket of every other account for each ticket
  // of this one. Weights are ignored in this estimate.
  int ahead = ownWaiting;
  for (const auto& [account, accountQueue] : priorityClass.accountQueues) {
    if (account != aTicket.account) {
      ahead +=
        std::min(static_cast<int>(accountQueue.tickets.size()), ownWaiting + 1);
    }
  }
  if (aTicket.priority == Priority::kBatch) {
    ahead += this->interactive.size;
  }
  return ahead;
}

bool
AdmissionQueue::IsAccountAtLimit(const Ticket& aTicket) const
{
  // The other half of the queue remains for other accounts.
  const PriorityClass& priorityClass = this->ClassOf(aTicket.priority);
  const auto own = priorityClass.accountQueues.find(aTicket.account);
  return own != priorityClass.accountQueues.end() &&
         static_cast<int>(own->second.tickets.size()) >=
           std::max(1, this->options.limit / 2);
}

Instant
AdmissionQueue::LatestStart(const Ticket& aTicket) const
{
  // At most half of the allowed time is reserved for the service itself. After
  // a period of slow requests, a larger reserve would refuse every request, and
  // without finished requests the mean would never recover.
  const Duration allowed = aTicket.deadline - aTicket.arrived;
  return aTicket.deadline -
         std::min(FromSeconds(this->meanServiceSeconds), allowed / 2);
}

AdmissionRefusal
AdmissionQueue::Add(Ticket aTicket, Instant aNow)
{
  if (this->Size() >= this->options.limit || this->IsAccountAtLimit(aTicket)) {
    return AdmissionRefusal::kQueueFull;
  }
  const int ahead = this->TicketsAhead(aTicket);
  const Duration wait =
    ahead == 0 ? Duration::zero() : this->EstimatedWait(ahead);
  if (aNow + wait > this->LatestStart(aTicket)) {
    return AdmissionRefusal::kDeadlineUnreachable;
  }
  PriorityClass& priorityClass = this->ClassOf(aTicket.priority);
  AccountQueue& accountQueue = priorityClass.accountQueues[aTicket.account];
  if (accountQueue.tickets.empty()) {
    accountQueue.virtualStart =
      std::max(accountQueue.virtualStart, priorityClass.virtualTime);
  }
  accountQueue.tickets.push_back(std::move(aTicket));
  ++priorityClass.size;
  return AdmissionRefusal::kNone;
}

AdmissionQueue::PriorityClass&
AdmissionQueue::PickClass()
{
  const bool isBatchTurn = this->interactiveDispatchesSinceBatch + 1 >=
                           this->options.dispatchesPerBatch;
  if (this->batch.size > 0 && (this->interactive.size == 0 || isBatchTurn)) {
    this->interactiveDispatchesSinceBatch = 0;
    return this->batch;
  }
  ++this->interactiveDispatchesSinceBatch;
  return this->interactive;
}

TicketId
AdmissionQueue::Pop(PriorityClass& aClass)
{
  auto next = aClass.accountQueues.end();
  for (auto accountQueue = aClass.accountQueues.begin();
       accountQueue != aClass.accountQueues.end();
       ++accountQueue) {
    if (!accountQueue->second.tickets.empty() &&
        (next == aClass.accountQueues.end() ||
         accountQueue->second.virtualStart < next->second.virtualStart)) {
      next = accountQueue;
    }
  }
  assert(next != aClass.accountQueues.end());
  AccountQueue& accountQueue = next->second;
  const Ticket ticket = std::move(accountQueue.tickets.front());
  accountQueue.tickets.pop_front();
  --aClass.size;
  aClass.virtualTime = accountQueue.virtualStart;
  accountQueue.virtualStart += 1 / ticket.weight;
  return ticket.id;
}

std::vector<TicketId>
AdmissionQueue::Dispatch(int aSlots, Instant /*aNow*/)
{
  std::vector<TicketId> dispatchedIds;
  while (static_cast<int>(dispatchedIds.size()) < aSlots && this->Size() > 0) {
    dispatchedIds.push_back(Pop(this->PickClass()));
  }
  return dispatchedIds;
}

std::vector<TicketId>
AdmissionQueue::Expire(Instant aNow)
{
  std::vector<TicketId> expiredIds;
  for (PriorityClass* const priorityClass :
       { &this->interactive, &this->batch }) {
    for (auto& [account, accountQueue] : priorityClass->accountQueues) {
      const auto isPastLatestStart = [&](const Ticket& aTicket) {
        return aNow > this->LatestStart(aTicket);
      };
      for (const Ticket& ticket : accountQueue.tickets) {
        if (isPastLatestStart(ticket)) {
          expiredIds.push_back(ticket.id);
        }
      }
      priorityClass->size -= static_cast<int>(
        std::erase_if(accountQueue.tickets, isPastLatestStart));
    }
  }
  return expiredIds;
}

void
AdmissionQueue::Remove(TicketId aId)
{
  for (PriorityClass* const priorityClass :
       { &this->interactive, &this->batch }) {
    for (auto& [account, accountQueue] : priorityClass->accountQueues) {
      priorityClass->size -= static_cast<int>(
        std::erase_if(accountQueue.tickets, [aId](const Ticket& aTicket) {
          return aTicket.id == aId;
        }));
    }
  }
}

void
AdmissionQueue::OnFinished(Duration aServiceTime)
{
  const double seconds = ToSeconds(aServiceTime);
  this->meanServiceSeconds =
    this->meanServiceSeconds == 0
      ? seconds
      : this->meanServiceSeconds +
          kServiceTimeGain * (seconds - this->meanServiceSeconds);
}

void
AdmissionQueue::SetConcurrency(int aSlots)
{
  this->concurrency = std::max(1, aSlots);
}

Duration
AdmissionQueue::EstimatedWait(int aAhead) const
{
  return FromSeconds(this->meanServiceSeconds * (aAhead + 1) /
                     this->concurrency);
}

int
AdmissionQueue::Size() const
{
  return this->interactive.size + this->batch.size;
}

} // namespace apricottrack
