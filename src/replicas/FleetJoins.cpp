#include "replicas/FleetPlanningRound.h"

#include <utility>

// The part of FleetPlanningRound that orders targets to join, and remembers
// which earlier orders a target may still carry out.
namespace apricottrack {

void
FleetPlanningRound::PruneStaleState()
{
  std::set<std::string> referencedKeys;
  for (const auto& [id, member] : this->view.members) {
    if (member.record.membership) {
      referencedKeys.insert(ReplicaKey(*member.record.membership));
    }
  }
  for (auto& [key, referencedAt] : this->planner.retiredMemberLists) {
    if (referencedKeys.contains(key)) {
      referencedAt = this->now;
    }
  }
  std::erase_if(this->planner.retiredMemberLists, [&](const auto& aEntry) {
    return this->now - aEntry.second > this->planner.options.lateOrderTime;
  });
  for (const auto& [name, replica] : this->planner.replicas) {
    referencedKeys.insert(KeyOf(replica));
  }
  this->planner.openOrders.Prune(referencedKeys, this->now);
  std::erase_if(this->planner.servingLists, [&](const std::string& aKey) {
    return !referencedKeys.contains(aKey);
  });
  std::erase_if(this->planner.lastModels, [&](const auto& aEntry) {
    return !this->view.members.contains(aEntry.first);
  });
}

void
FleetPlanningRound::RepeatUnansweredJoins()
{
  std::vector<ReplicaOrder> joins =
    std::exchange(this->planner.unansweredJoins, {});
  const auto postponed = std::exchange(this->planner.postponedJoins, {});
  joins.insert(joins.end(), postponed.begin(), postponed.end());
  for (const ReplicaOrder& order : joins) {
    const auto found = this->planner.replicas.find(order.replica);
    if (found != this->planner.replicas.end() &&
        found->second.phase == ReplicaPhase::kJoining &&
        found->second.epoch == order.epoch && this->IsUsable(order.target) &&
        this->CurrentMembership(found->second, order.target) == nullptr) {
      this->OrderJoin(found->second, order.target);
    }
  }
}

void
FleetPlanningRound::OrderJoins(const PlannedReplica& aReplica,
                               bool aOnlyMissing)
{
  for (const std::string& id : aReplica.members) {
    if (!aOnlyMissing || this->CurrentMembership(aReplica, id) == nullptr) {
      this->OrderJoin(aReplica, id);
    }
  }
}

bool
FleetPlanningRound::IsBoundElsewhere(const PlannedReplica& aReplica,
                                     const PlannerMember& aMember) const
{
  const auto& membership = aMember.record.membership;
  if (!membership || membership->replica == aReplica.name) {
    return false;
  }
  const MemberState head = this->index.HeadState(*membership);
  return head == MemberState::kOpen || head == MemberState::kClosing ||
         this->planner.openOrders.MayTakeEffect(ReplicaKey(*membership));
}

void
FleetPlanningRound::OrderJoin(const PlannedReplica& aReplica,
                              const std::string& aId)
{
  const PlannerMember* const member = this->FindTarget(aId);
  if (member == nullptr || !this->IsBoundElsewhere(aReplica, *member)) {
    this->IssueOrder(OrderKind::kJoin, aReplica, aId);
    return;
  }
  this->planner.postponedJoins.push_back({ .kind = OrderKind::kJoin,
                                           .target = aId,
                                           .replica = aReplica.name,
                                           .epoch = aReplica.epoch });
  if (!this->IsListPlanned(*member) &&
      !this->planner.preparations.contains(aId) &&
      !this->FinishesOrphanedWork(*member)) {
    this->OrderLeave(member->record);
  }
}

bool
FleetPlanningRound::IsListPlanned(const PlannerMember& aMember) const
{
  const Membership& membership = *aMember.record.membership;
  const auto found = this->planner.replicas.find(membership.replica);
  return found != this->planner.replicas.end() &&
         found->second.epoch == membership.epoch;
}

} // namespace apricottrack
