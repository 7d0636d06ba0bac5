#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <limits>

// The part of FleetPlanningRound that repairs replicas which lost a member, or
// dissolves them.
namespace apricottrack {

bool
FleetPlanningRound::HasLeavingMember(const PlannedReplica& aReplica) const
{
  return std::any_of(
    aReplica.members.begin(), aReplica.members.end(), [&](const auto& aId) {
      const PlannerMember* const member = this->FindTarget(aId);
      return member != nullptr && member->record.leaving;
    });
}

bool
FleetPlanningRound::CanKeepServing(const PlannedReplica& aReplica) const
{
  int possibleMembers = 0;
  for (const std::string& id : aReplica.members) {
    possibleMembers += this->CanBeMember(id) ? 1 : 0;
  }
  const int size = this->ModelOf(aReplica).size;
  const int spares = this->CountIdleTargetsIn(aReplica.domain, aReplica.model);
  return this->IsUsable(aReplica.members.front()) &&
         (possibleMembers == size || possibleMembers + spares < size);
}

bool
FleetPlanningRound::CanBeMember(std::string_view aId) const
{
  const PlannerMember* const member = this->FindTarget(aId);
  return member != nullptr && !member->unresponsive &&
         (!member->record.leaving || !member->listed);
}

bool
FleetPlanningRound::Repair(PlannedReplica& aReplica)
{
  const auto size = static_cast<std::size_t>(this->ModelOf(aReplica).size);
  std::vector<std::string> members;
  for (const std::string& id : aReplica.members) {
    if (this->IsUsable(id) && this->FindTarget(id)->reported &&
        members.size() < size) {
      members.push_back(id);
    }
  }
  if (members.empty()) {
    return false;
  }
  for (const std::string& id :
       this->IdleTargetsIn(aReplica.domain, aReplica.model)) {
    if (members.size() < size) {
      members.push_back(id);
    }
  }
  // Members without a store entry can serve, but nodes send them no requests,
  // so they come last and do not become the head.
  for (const std::string& id : aReplica.members) {
    if (members.size() < size && !this->IsUsable(id) && this->CanBeMember(id)) {
      members.push_back(id);
    }
  }
  if (members.size() < size) {
    return false;
  }
  this->BeginJoin(aReplica, std::move(members));
  return true;
}

std::vector<std::string>
FleetPlanningRound::FastMembersOf(const PlannedReplica& aReplica) const
{
  std::vector<std::string> members;
  for (const std::string& id : aReplica.members) {
    if (this->IsUsable(id) && !this->FindTarget(id)->slow) {
      members.push_back(id);
    }
  }
  return members;
}

bool
FleetPlanningRound::CanReplaceSlowMembers(const PlannedReplica& aReplica) const
{
  const bool hasSlowMember = std::any_of(
    aReplica.members.begin(), aReplica.members.end(), [&](const auto& aId) {
      return this->IsUsable(aId) && this->FindTarget(aId)->slow;
    });
  return hasSlowMember &&
         this->FastMembersOf(aReplica).size() +
             this->CountIdleTargetsIn(aReplica.domain, aReplica.model) >=
           aReplica.members.size();
}

void
FleetPlanningRound::ReplaceSlowMembers(PlannedReplica& aReplica)
{
  std::vector<std::string> members = this->FastMembersOf(aReplica);
  const auto size = aReplica.members.size();
  for (std::string& id : this->IdleTargetsIn(aReplica.domain, aReplica.model)) {
    if (members.size() < size) {
      members.push_back(std::move(id));
    }
  }
  this->MarkBroken(aReplica);
  this->BeginJoin(aReplica, std::move(members));
}

bool
FleetPlanningRound::CanReplaceLimitedHead(const PlannedReplica& aReplica) const
{
  const std::optional<double> limit =
    this->FindTarget(aReplica.members.front())->requestLimit;
  const auto demand = this->view.demands.find(aReplica.model);
  if (!limit || demand == this->view.demands.end()) {
    return false;
  }
  const auto serving =
    std::count_if(this->planner.replicas.begin(),
                  this->planner.replicas.end(),
                  [&](const auto& aEntry) {
                    return aEntry.second.model == aReplica.model &&
                           aEntry.second.phase == ReplicaPhase::kServing &&
                           !this->IsDomainEvacuated(aEntry.second.domain);
                  });
  if (serving < 2) {
    return false;
  }
  const double share = demand->second.requests / static_cast<double>(serving);
  return *limit < this->planner.options.minHeadShare * share &&
         serving == this->CountReplicasOf(aReplica.model) &&
         std::any_of(aReplica.members.begin(),
                     aReplica.members.end(),
                     [&](const auto& aId) {
                       return this->IsUsable(aId) &&
                              !this->FindTarget(aId)->requestLimit;
                     });
}

bool
FleetPlanningRound::MustReplaceLimitedHead(const PlannedReplica& aReplica)
{
  const auto replacedAt = this->planner.headReplacedAt.find(aReplica.name);
  if (replacedAt != this->planner.headReplacedAt.end() &&
      this->now - replacedAt->second <
        this->planner.options.headReplacementInterval) {
    return false;
  }
  const bool canReplace = this->CanReplaceLimitedHead(aReplica);
  if (canReplace) {
    this->planner.headReplacedAt.insert_or_assign(aReplica.name, this->now);
  }
  return canReplace;
}

void
FleetPlanningRound::PutLeastLimitedFirst(
  std::vector<std::string>& aMembers) const
{
  const auto acceptedRate = [&](const std::string& aId) {
    const PlannerMember* const member = this->FindTarget(aId);
    return member == nullptr || !member->IsUsable()
             ? -1.0
             : member->requestLimit.value_or(
                 std::numeric_limits<double>::infinity());
  };
  const auto head =
    std::max_element(aMembers.begin(),
                     aMembers.end(),
                     [&](const std::string& aLeft, const std::string& aRight) {
                       return acceptedRate(aLeft) < acceptedRate(aRight);
                     });
  if (head != aMembers.end()) {
    std::rotate(aMembers.begin(), head, head + 1);
  }
}

bool
FleetPlanningRound::RepairFromDonors(PlannedReplica& aReplica)
{
  const ReplicaModel& model = this->ModelOf(aReplica);
  std::vector<std::string> available = this->UsableMembersFor(aReplica, model);
  for (std::string& id : this->IdleTargetsIn(aReplica.domain, model.name)) {
    available.push_back(std::move(id));
  }
  std::optional<Conversion> conversion;
  for (const ReplicaModel& other : this->engine.models) {
    if (!conversion && other.name != model.name) {
      conversion = this->FindConversion(model,
                                        other,
                                        this->CountReplicasOf(model.name) - 1,
                                        aReplica.domain,
                                        available);
    }
  }
  if (!conversion) {
    return false;
  }
  // The donors stop without finishing those requests that are continued on
  // other replicas, because the remaining members idle until the repair.
  this->StopDonors(*conversion, aReplica.name, OrderKind::kCloseNow);
  this->Dissolve(aReplica);
  aReplica.nextModel = model.name;
  return true;
}

void
FleetPlanningRound::Dissolve(PlannedReplica& aReplica)
{
  aReplica.phase = ReplicaPhase::kClosing;
  aReplica.phaseSince = this->now;
  const PlannerMember* const head = this->FindTarget(aReplica.members.front());
  if (head != nullptr && !head->unresponsive) {
    this->IssueOrder(OrderKind::kCloseNow, aReplica, aReplica.members.front());
  }
}

void
FleetPlanningRound::RetireMemberList(const PlannedReplica& aReplica)
{
  this->planner.retiredMemberLists.insert_or_assign(KeyOf(aReplica), this->now);
  this->planner.headReplacedAt.erase(aReplica.name);
}

} // namespace apricottrack
