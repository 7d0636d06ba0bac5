#include "replicas/FleetPlanningRound.h"

#include <algorithm>

// The part of FleetPlanningRound that repairs replicas which lost a member, or
// dissolves them.
namespace apricottrack {

bool
FleetPlanningRound::AnyLeaving(const PlannedReplica& aReplica) const
{
  return std::any_of(
    aReplica.members.begin(), aReplica.members.end(), [&](const auto& aId) {
      const PlannerMember* const member = this->Find(aId);
      return member != nullptr && member->record.leaving;
    });
}

bool
FleetPlanningRound::MayServeOn(const PlannedReplica& aReplica) const
{
  int belonging = 0;
  for (const std::string& id : aReplica.members) {
    belonging += this->MayBelong(id) ? 1 : 0;
  }
  const int size = this->ModelOf(aReplica).size;
  const auto spares = this->FreeIn(aReplica.domain, aReplica.model).size();
  return this->IsUsable(aReplica.members.front()) &&
         (belonging == size || belonging + static_cast<int>(spares) < size);
}

bool
FleetPlanningRound::MayBelong(std::string_view aId) const
{
  const PlannerMember* const member = this->Find(aId);
  return member != nullptr && !member->silent &&
         (!member->record.leaving || !member->listed);
}

bool
FleetPlanningRound::Repair(PlannedReplica& aReplica)
{
  const auto size = static_cast<std::size_t>(this->ModelOf(aReplica).size);
  std::vector<std::string> members;
  for (const std::string& id : aReplica.members) {
    if (this->IsUsable(id) && members.size() < size) {
      members.push_back(id);
    }
  }
  if (members.empty()) {
    return false;
  }
  for (const std::string& id : this->FreeIn(aReplica.domain, aReplica.model)) {
    if (members.size() < size) {
      members.push_back(id);
    }
  }
  // Members without a store entry can serve, but nodes send them no requests,
  // so they come last and do not become the head.
  for (const std::string& id : aReplica.members) {
    if (members.size() < size && !this->IsUsable(id) && this->MayBelong(id)) {
      members.push_back(id);
    }
  }
  if (members.size() < size) {
    return false;
  }
  this->BeginJoin(aReplica, std::move(members));
  return true;
}

bool
FleetPlanningRound::RepairFromDonors(PlannedReplica& aReplica)
{
  const ReplicaModel& model = this->ModelOf(aReplica);
  std::vector<std::string> kept = this->UsableFor(aReplica, model);
  for (std::string& id : this->FreeIn(aReplica.domain, model.name)) {
    kept.push_back(std::move(id));
  }
  std::optional<Conversion> conversion;
  for (const ReplicaModel& other : this->engine.models) {
    if (!conversion && other.name != model.name) {
      conversion = this->FindConversion(
        model, other, this->ReplicasOf(model.name) - 1, aReplica.domain, kept);
    }
  }
  if (!conversion) {
    return false;
  }
  // The donors stop without finishing their requests, which are continued on
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
  aReplica.since = this->now;
  const PlannerMember* const head = this->Find(aReplica.members.front());
  if (head != nullptr && !head->silent) {
    this->Give(OrderKind::kCloseNow, aReplica, aReplica.members.front());
  }
}

void
FleetPlanningRound::Release(const PlannedReplica& aReplica)
{
  const std::string key =
    ReplicaKey({ .replica = aReplica.name, .epoch = aReplica.epoch });
  this->planner.retired.insert(key);
  if (aReplica.opening) {
    this->planner.mayOpen.insert(key);
  }
}

} // namespace apricottrack
