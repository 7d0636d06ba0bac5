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

AdmissionQueue::Band&
AdmissionQueue::BandOf(Priority aPriority)
{
  return aPriority == Priority::kBatch ? this->batch : this->interactive;
}

const AdmissionQueue::Band&
AdmissionQueue::BandOf(Priority aPriority) const
{
  return aPriority == Priority::kBatch ? this->batch : this->interactive;
}

int
AdmissionQueue::Ahead(const Ticket& aTicket) const
{
  const Band& band = this->BandOf(aTicket.priority);
  const auto own = band.lanes.find(aTicket.account);
  const int ownWaiting =
    own == band.lanes.end() ? 0 : static_cast<int>(own->second.tickets.size());
  // Fair queueing dispatches one ticket of every other account for each ticket
  // of this one. Weights are ignored in this estimate.
  int ahead = ownWaiting;
  for (const auto& [account, lane] : band.lanes) {
    if (account != aTicket.account) {
      ahead += std::min(static_cast<int>(lane.tickets.size()), ownWaiting + 1);
    }
  }
  if (aTicket.priority == Priority::kBatch) {
    ahead += this->interactive.size;
  }
  return ahead;
}

bool
AdmissionQueue::AccountIsFull(const Ticket& aTicket) const
{
  // One account may fill at most half of the queue, which leaves room for
  // others.
  const Band& band = this->BandOf(aTicket.priority);
  const auto own = band.lanes.find(aTicket.account);
  return own != band.lanes.end() &&
         static_cast<int>(own->second.tickets.size()) >=
           std::max(1, this->options.limit / 2);
}

Instant
AdmissionQueue::StartBy(const Ticket& aTicket) const
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
  if (this->Size() >= this->options.limit || this->AccountIsFull(aTicket)) {
    return AdmissionRefusal::kQueueFull;
  }
  const int ahead = this->Ahead(aTicket);
  const Duration wait =
    ahead == 0 ? Duration::zero() : this->EstimatedWait(ahead);
  if (aNow + wait > this->StartBy(aTicket)) {
    return AdmissionRefusal::kDeadlineUnreachable;
  }
  Band& band = this->BandOf(aTicket.priority);
  Lane& lane = band.lanes[aTicket.account];
  if (lane.tickets.empty()) {
    lane.start = std::max(lane.start, band.virtualTime);
  }
  lane.tickets.push_back(std::move(aTicket));
  ++band.size;
  return AdmissionRefusal::kNone;
}

AdmissionQueue::Band&
AdmissionQueue::PickBand()
{
  const bool batchTurn = this->sinceBatch + 1 >= this->options.batchEvery;
  if (this->batch.size > 0 && (this->interactive.size == 0 || batchTurn)) {
    this->sinceBatch = 0;
    return this->batch;
  }
  ++this->sinceBatch;
  return this->interactive;
}

TicketId
AdmissionQueue::Pop(Band& aBand)
{
  auto next = aBand.lanes.end();
  for (auto lane = aBand.lanes.begin(); lane != aBand.lanes.end(); ++lane) {
    if (!lane->second.tickets.empty() &&
        (next == aBand.lanes.end() ||
         lane->second.start < next->second.start)) {
      next = lane;
    }
  }
  assert(next != aBand.lanes.end());
  Lane& lane = next->second;
  const Ticket ticket = std::move(lane.tickets.front());
  lane.tickets.pop_front();
  --aBand.size;
  aBand.virtualTime = lane.start;
  lane.start += 1 / ticket.weight;
  return ticket.id;
}

std::vector<TicketId>
AdmissionQueue::Dispatch(int aSlots, Instant /*aNow*/)
{
  std::vector<TicketId> ready;
  while (static_cast<int>(ready.size()) < aSlots && this->Size() > 0) {
    ready.push_back(Pop(this->PickBand()));
  }
  return ready;
}

std::vector<TicketId>
AdmissionQueue::Expire(Instant aNow)
{
  std::vector<TicketId> expired;
  for (Band* const band : { &this->interactive, &this->batch }) {
    for (auto& [account, lane] : band->lanes) {
      const auto late = [&](const Ticket& aTicket) {
        return aNow > this->StartBy(aTicket);
      };
      for (const Ticket& ticket : lane.tickets) {
        if (late(ticket)) {
          expired.push_back(ticket.id);
        }
      }
      band->size -= static_cast<int>(std::erase_if(lane.tickets, late));
    }
  }
  return expired;
}

void
AdmissionQueue::Remove(TicketId aId)
{
  for (Band* const band : { &this->interactive, &this->batch }) {
    for (auto& [account, lane] : band->lanes) {
      band->size -= static_cast<int>(
        std::erase_if(lane.tickets, [aId](const Ticket& aTicket) {
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
