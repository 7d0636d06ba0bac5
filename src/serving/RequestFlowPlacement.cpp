#include "serving/RequestFlow.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

// The part of RequestFlow that chooses targets, within the request limits that
// they state.
namespace apricottrack {

namespace {

/// A stream returns to a target only after this time: one that has just
/// rejected or lost it is not ready sooner.
constexpr Duration kReturnDelay = seconds(1);
} // namespace

RequestFlow::TargetChoice
RequestFlow::ChooseTarget(Instant aNow) const
{
  const Placement::Options options = this->admittedRequest.service->engine
                                       ? Placement::Options::ForBatches()
                                       : Placement::Options{};
  const Placement placement(options,
                            this->context.loads,
                            this->context.stalls,
                            this->context.settings.availabilityZone);
  const auto demand = this->context.fleetDemands.find(this->DemandKey());
  const std::vector<Candidate>& candidates = this->context.candidates.Find(
    *this->admittedRequest.service, this->caller.model);
  std::set<std::string> excluded = this->ExcludedTargets(candidates, aNow);
  const bool hasUnreachable =
    this->ExcludeUnreachableTargets(candidates, excluded);
  const std::optional<Instant> pauseEnd =
    this->ExcludePausedTargets(candidates, excluded, aNow);
  std::optional<Turn> nextTurn =
    this->ExcludeTargetsOutOfTurn(candidates, excluded, aNow);
  const auto choose = [&](const std::set<std::string>& aExcluded) {
    return placement.Choose(
      candidates,
      aExcluded,
      demand == this->context.fleetDemands.end() ? 0 : demand->second.requests,
      aNow,
      this->context.random);
  };
  PlacementChoice choice;
  if (this->context.limits.MayBeCold(aNow)) {
    choice = choose(this->ExcludeColdTargets(candidates, excluded, aNow));
    // A full target accepts requests sooner than a cold one has a turn.
    const bool isForCold =
      nextTurn && this->context.limits.IsCold(nextTurn->target, aNow);
    if (isForCold &&
        (choice.refusal == PlacementRefusal::kFull || hasUnreachable)) {
      nextTurn.reset();
    }
  }
  if (choice.refusal != PlacementRefusal::kNone ||
      !this->context.limits.MayBeCold(aNow)) {
    choice = choose(excluded);
  }
  return { .placement = std::move(choice),
           .nextTurn = nextTurn,
           .pauseEnd = pauseEnd,
           .hasUnreachable = hasUnreachable };
}

const std::string&
RequestFlow::DemandKey() const
{
  return this->caller.model.empty() ? this->admittedRequest.service->name
                                    : this->caller.model;
}

std::set<std::string>
RequestFlow::ExcludedTargets(const std::vector<Candidate>& aCandidates,
                             Instant aNow) const
{
  const bool mayReturn = this->MayReturn();
  std::set<std::string> excluded;
  for (const auto& [id, endedAt] : this->calledTargets) {
    if (!mayReturn || !endedAt || aNow - *endedAt < kReturnDelay) {
      excluded.insert(id);
    }
  }
  const int runCount = this->history.possibleRunCount;
  if (runCount > 0 && runCount >= this->MaxTargets()) {
    for (const Candidate& candidate : aCandidates) {
      if (!this->possibleRunners.contains(candidate.id)) {
        excluded.insert(candidate.id);
      }
    }
  }
  return excluded;
}

DemandSplit
RequestFlow::SplitDemand(Instant aNow) const
{
  const auto requestsIn = [this](const ModelDemands& aDemands) {
    const auto found = aDemands.find(this->DemandKey());
    return found == aDemands.end() ? 0.0 : found->second.requests;
  };
  const double own = requestsIn(this->context.demand.Demands(aNow));
  const double all = requestsIn(this->context.fleetDemands);
  return { .own = own,
           .other = std::max(0.0, all - own),
           .nodeCount = this->context.nodeCount };
}

std::set<std::string>
RequestFlow::ExcludeColdTargets(const std::vector<Candidate>& aCandidates,
                                const std::set<std::string>& aExcluded,
                                Instant aNow) const
{
  std::set<std::string> excluded = aExcluded;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.id != this->reservedTarget &&
        this->context.limits.IsCold(candidate.id, aNow)) {
      excluded.insert(candidate.id);
    }
  }
  return excluded;
}

std::optional<RequestFlow::Turn>
RequestFlow::ExcludeTargetsOutOfTurn(const std::vector<Candidate>& aCandidates,
                                     std::set<std::string>& aExcluded,
                                     Instant aNow) const
{
  std::optional<DemandSplit> demand;
  std::optional<Turn> next;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.id == this->reservedTarget ||
        aExcluded.contains(candidate.id) ||
        !this->context.limits.IsLimited(candidate.id, aNow)) {
      continue;
    }
    if (!demand) {
      demand = this->SplitDemand(aNow);
    }
    const Instant turn =
      this->context.limits.NextTurn(candidate.id, *demand, aNow);
    if (turn <= aNow) {
      continue;
    }
    aExcluded.insert(candidate.id);
    if (!next || turn < next->at) {
      next = Turn{ .target = candidate.id, .at = turn };
    }
  }
  return next;
}

Task<bool>
RequestFlow::WaitForTurn(const TargetChoice& aChoice)
{
  if (!aChoice.nextTurn || aChoice.nextTurn->at > this->LatestSend()) {
    co_return false;
  }
  const Instant now = MonotonicNow();
  const Turn& turn = *aChoice.nextTurn;
  this->reservedTarget = turn.target;
  this->context.limits.TakeTurn(turn.target, this->SplitDemand(now), now);
  this->context.counters.Add("target_limit_waits");
  boost::asio::steady_timer timer(
    this->context.executor,
    std::max(Duration::zero(), Duration(turn.at - now)));
  co_await timer.async_wait(kAsTuple);
  co_return true;
}

void
RequestFlow::RecordSend(const Candidate& aTarget, Instant aNow)
{
  const std::string& id = aTarget.id;
  this->calledTargets[id].reset();
  this->context.loads.OnSent(id);
  this->context.stalls.OnSent(id, aNow);
  if (IsNodeCandidate(id)) {
    this->grantedTargets[id] = this->TargetsLeft();
    return;
  }
  this->context.pauses.OnSend(id, aTarget.startedAt, aNow);
  const bool hasTurn = std::exchange(this->reservedTarget, std::string{}) == id;
  if (!hasTurn && this->context.limits.IsLimited(id, aNow)) {
    this->context.limits.TakeTurn(id, this->SplitDemand(aNow), aNow);
  }
}

Task<void>
RequestFlow::EndWithoutTarget(const TargetChoice& aChoice)
{
  const bool isLimited = aChoice.nextTurn.has_value();
  this->lastError.detail =
    isLimited                                              ? "target_limit"
    : aChoice.placement.refusal == PlacementRefusal::kFull ? "full"
    : aChoice.pauseEnd == Instant::max()                   ? "target_leaving"
                                                           : "no_target";
  if (this->history.possibleRunCount > 0 || this->streamStarted || !isLimited) {
    co_await this->Finish(
      this->history.possibleRunCount > 0 ? NextStep::kFail : NextStep::kRefuse);
    co_return;
  }
  const Instant now = MonotonicNow();
  co_await this->ReplyOwn(
    MakeSpreadRefusal("target_limit",
                      aChoice.nextTurn->at == Instant::max()
                        ? Duration::zero()
                        : Duration(aChoice.nextTurn->at - now),
                      this->context.random));
  this->LogEnd("target_limit", 503);
}

} // namespace apricottrack
