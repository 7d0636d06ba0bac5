#include "replicas/FleetPlanningRound.h"

#include <algorithm>

// The part of FleetPlanningRound that decides whether an order may end running
// requests. Most requests continue at another target, but some have used up the
// targets that may run them, so a short silence interrupts none. Requests that
// never continue elsewhere are interrupted only once a member is lost.
namespace apricottrack {

bool
FleetPlanningRound::IsLostTo(const PlannedReplica& aReplica,
                             const std::string& aId) const
{
  const PlannerMember* const member = this->FindTarget(aId);
  return member == nullptr || member->lost ||
         this->CurrentMembership(aReplica, aId) == nullptr;
}

bool
FleetPlanningRound::MustFinishWork(const PlannedReplica& aReplica) const
{
  if (aReplica.members.size() <
      static_cast<std::size_t>(this->ModelOf(aReplica).size)) {
    return false;
  }
  // Without one of its members, the head stands still until it aborts.
  const bool isAnyLost =
    std::any_of(aReplica.members.begin(),
                aReplica.members.end(),
                [&](const auto& aId) { return this->IsLostTo(aReplica, aId); });
  if (isAnyLost) {
    return false;
  }
  const MemberState state =
    this->CurrentMembership(aReplica, aReplica.members.front())->state;
  if (state != MemberState::kOpen && state != MemberState::kClosing) {
    return false;
  }
  return this->view.longestUnrepeatableWork > Duration::zero() ||
         this->IsBrieflySilent(aReplica);
}

bool
FleetPlanningRound::IsBrieflySilent(const PlannedReplica& aReplica) const
{
  bool isAnySilent = false;
  for (const std::string& id : aReplica.members) {
    const PlannerMember& member = *this->FindTarget(id);
    if (member.unresponsive && !member.brieflySilent) {
      return false;
    }
    isAnySilent = isAnySilent || member.brieflySilent;
  }
  return isAnySilent;
}

void
FleetPlanningRound::CloseGently(PlannedReplica& aReplica)
{
  aReplica.phase = ReplicaPhase::kClosing;
  aReplica.phaseSince = this->now;
  this->IssueOrder(OrderKind::kCloseGently, aReplica, aReplica.members.front());
}

void
FleetPlanningRound::HurryClosing(PlannedReplica& aReplica)
{
  const Duration waited = this->now - aReplica.phaseSince;
  const Duration graceful = this->planner.options.gracefulCloseTimeout;
  if (waited < graceful) {
    return;
  }
  if (this->MustFinishWork(aReplica)) {
    const Membership* const head =
      this->CurrentMembership(aReplica, aReplica.members.front());
    if (head->state == MemberState::kOpen) {
      // The order had no effect, so the head has accepted requests since.
      this->CloseGently(aReplica);
      return;
    }
    if (waited < this->view.longestUnrepeatableWork) {
      return;
    }
  }
  aReplica.phaseSince = this->now;
  this->IssueOrder(OrderKind::kCloseNow, aReplica, aReplica.members.front());
}

bool
FleetPlanningRound::FinishesOrphanedWork(const PlannerMember& aMember)
{
  if (this->view.longestUnrepeatableWork == Duration::zero()) {
    return false;
  }
  const Membership& membership = *aMember.record.membership;
  const MemberState state = this->index.HeadState(membership);
  if (state != MemberState::kOpen && state != MemberState::kClosing) {
    return false;
  }
  const std::string& id = aMember.record.id;
  if (membership.rank == 0 && membership.state == MemberState::kOpen) {
    const PlannedReplica orphaned{ .name = membership.replica,
                                   .model = aMember.record.model,
                                   .domain = aMember.record.fabricDomain,
                                   .epoch = membership.epoch,
                                   .members = { id } };
    this->planner.preparations[id] = {
      .until = this->now + this->planner.options.orderMargin, .model = {}
    };
    this->IssueOrder(OrderKind::kCloseGently, orphaned, id);
  }
  return true;
}

} // namespace apricottrack
