#include "serving/RequestFlow.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

// The part of RequestFlow that keeps requests away from targets that have asked
// for a pause or announced that they leave.
namespace apricottrack {

std::optional<Instant>
RequestFlow::ExcludePausedTargets(const std::vector<Candidate>& aCandidates,
                                  std::set<std::string>& aExcluded,
                                  Instant aNow) const
{
  std::optional<Instant> first;
  for (const Candidate& candidate : aCandidates) {
    const Instant end = this->context.pauses.EarliestSend(
      candidate.id, candidate.startedAt, aNow);
    if (end > aNow && aExcluded.insert(candidate.id).second) {
      first = std::min(first.value_or(end), end);
    }
  }
  return first;
}

std::optional<Instant>
RequestFlow::AllPausedUntil(Instant aNow) const
{
  if (this->admittedRequest.service == nullptr) {
    return std::nullopt;
  }
  std::optional<Instant> first;
  for (const Candidate& candidate : this->context.candidates.Find(
         *this->admittedRequest.service, this->caller.model)) {
    const Instant end = this->context.pauses.EarliestSend(
      candidate.id, candidate.startedAt, aNow);
    if (end <= aNow) {
      return std::nullopt;
    }
    first = std::min(first.value_or(end), end);
  }
  return first;
}

Instant
RequestFlow::LatestSend() const
{
  return std::min(this->arrivedAt +
                    this->admittedRequest.route->latencyObjective,
                  this->Deadline() - kMinCallTime);
}

Task<bool>
RequestFlow::WaitForPauseEnd(const TargetChoice& aChoice)
{
  // Another target may accept the request sooner.
  if (!aChoice.pauseEnd || *aChoice.pauseEnd > this->LatestSend() ||
      this->streamStarted ||
      aChoice.placement.refusal == PlacementRefusal::kFull ||
      (aChoice.nextTurn && aChoice.nextTurn->at <= *aChoice.pauseEnd)) {
    co_return false;
  }
  // Turns that fall into the pause must not be taken together at its end.
  this->reservedTarget.clear();
  this->context.counters.Add("target_pause_waits");
  boost::asio::steady_timer timer(
    this->context.executor,
    std::max(Duration::zero(), Duration(*aChoice.pauseEnd - MonotonicNow())));
  co_await timer.async_wait(kAsTuple);
  co_return true;
}

} // namespace apricottrack
