#include "replicas/FleetPlanner.h"

#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

namespace {

/// Returns, as NAME/EPOCH, the list of members that the order names.
std::string
ListOf(const ReplicaOrder& aOrder)
{
  return ReplicaKey({ .replica = aOrder.replica, .epoch = aOrder.epoch });
}

} // namespace

FleetPlanner::FleetPlanner(Options aOptions, EpochSource aNextEpoch)
  : options(aOptions)
  , nextEpoch(std::move(aNextEpoch))
  , openOrders(
      OpenOrders::Options{ .lateOrderTime = this->options.lateOrderTime })
{
}

std::vector<ReplicaOrder>
FleetPlanner::PlanRound(const FleetPlannerView& aView, Instant aNow)
{
  return FleetPlanningRound(*this, aView, aNow).Run();
}

void
FleetPlanner::OnReply(const ReplicaOrder& aOrder, OrderReply aReply)
{
  const std::string list = ListOf(aOrder);
  if (aOrder.kind == OrderKind::kOpen) {
    this->openOrders.OnReply(list);
  }
  if (aOrder.kind == OrderKind::kOpen) {
    this->servingLists.insert(list);
  } else if (aOrder.kind != OrderKind::kStage &&
             aReply == OrderReply::kAccepted) {
    this->servingLists.erase(list);
  }
  const bool isForHead = aOrder.kind == OrderKind::kOpen ||
                         aOrder.kind == OrderKind::kCloseNow ||
                         aOrder.kind == OrderKind::kCloseGently;
  if (isForHead &&
      (aReply == OrderReply::kAccepted || aReply == OrderReply::kUnfit)) {
    this->openOrders.OnFenced(list);
  }
}

bool
FleetPlanner::MayHaveStopped(const std::string& aList) const
{
  return !this->servingLists.contains(aList);
}

void
FleetPlanner::OnNotSent(const ReplicaOrder& aOrder)
{
  if (aOrder.kind == OrderKind::kOpen) {
    this->openOrders.OnReply(ListOf(aOrder));
  }
}

void
FleetPlanner::OnSentAgain(const ReplicaOrder& aOrder)
{
  if (aOrder.kind == OrderKind::kOpen) {
    this->openOrders.OnSent(ListOf(aOrder));
  }
}

void
FleetPlanner::OnNoReply(ReplicaOrder aOrder)
{
  if (aOrder.kind == OrderKind::kJoin) {
    this->unansweredJoins.push_back(std::move(aOrder));
  }
}

std::set<std::string>
FleetPlanner::BrokenReplicas(Instant aNow) const
{
  std::set<std::string> keys;
  for (const auto& [key, until] : this->brokenUntil) {
    if (aNow < until) {
      keys.insert(key);
    }
  }
  return keys;
}

std::set<std::string>
FleetPlanner::ConfirmedReplicas(const PlannerMembers& aMembers) const
{
  std::set<std::string> confirmed;
  for (const auto& [name, replica] : this->replicas) {
    bool servingAndResponding = replica.phase == ReplicaPhase::kServing;
    bool listed = true;
    for (const std::string& id : replica.members) {
      const auto found = aMembers.find(id);
      servingAndResponding = servingAndResponding && found != aMembers.end() &&
                             !found->second.unresponsive;
      listed = listed && found != aMembers.end() && found->second.listed;
    }
    if (servingAndResponding && !listed) {
      confirmed.insert(
        ReplicaKey({ .replica = replica.name, .epoch = replica.epoch }));
    }
  }
  return confirmed;
}

std::string
FleetPlanner::DescribeIdleTargets(const PlannerMembers& aMembers) const
{
  std::set<std::string_view> replicaMembers;
  for (const auto& [name, replica] : this->replicas) {
    replicaMembers.insert(replica.members.begin(), replica.members.end());
  }
  std::map<std::string_view, std::pair<int, int>> idle;
  for (const auto& [id, member] : aMembers) {
    auto& [warm, cold] = idle[member.record.fabricDomain];
    if (member.IsUsable() && !replicaMembers.contains(id)) {
      ++(member.record.model.empty() ? cold : warm);
    }
  }
  std::string text;
  for (const auto& [domain, counts] : idle) {
    text += fmt::format(
      "{}{}+{}", text.empty() ? "" : ",", counts.first, counts.second);
  }
  return text;
}

int
FleetPlanner::CountReplicas(std::string_view aModel, ReplicaPhase aPhase) const
{
  return static_cast<int>(std::count_if(
    this->replicas.begin(), this->replicas.end(), [&](const auto& aEntry) {
      return aEntry.second.model == aModel && aEntry.second.phase == aPhase;
    }));
}

int
FleetPlanner::CountLimitedReplicas(std::string_view aModel,
                                   const PlannerMembers& aMembers) const
{
  return static_cast<int>(std::count_if(
    this->replicas.begin(), this->replicas.end(), [&](const auto& aEntry) {
      const PlannedReplica& replica = aEntry.second;
      const auto head = aMembers.find(replica.members.front());
      return replica.model == aModel &&
             replica.phase == ReplicaPhase::kServing &&
             head != aMembers.end() && head->second.requestLimit;
    }));
}

std::set<std::string>
FleetPlanner::TargetsChangingState() const
{
  std::set<std::string> targets;
  for (const auto& [name, replica] : this->replicas) {
    if (replica.phase == ReplicaPhase::kJoining) {
      targets.insert(replica.members.begin(), replica.members.end());
    } else if (replica.phase != ReplicaPhase::kServing) {
      targets.insert(replica.members.front());
    }
  }
  return targets;
}

} // namespace apricottrack
