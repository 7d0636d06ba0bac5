#include "replicas/FleetPlanningRound.h"

#include <algorithm>

// The part of FleetPlanningRound that converts replicas from one model to
// another. Needed when demand shifts between models, and after the loss of a
// whole fabric domain: small replicas form first, because they need fewer
// targets, and would otherwise keep the targets that large ones need.
namespace apricottrack {

bool
FleetPlanningRound::HasStopped(const PlannedReplica& aReplica) const
{
  const std::string& headId = aReplica.members.front();
  const PlannerMember* const head = this->FindTarget(headId);
  const Membership* const membership =
    this->CurrentMembership(aReplica, headId);
  return head == nullptr || membership == nullptr ||
         (head->unresponsive && !this->MustFinishWork(aReplica)) ||
         (membership->state != MemberState::kOpen &&
          membership->state != MemberState::kClosing);
}

bool
FleetPlanningRound::IsAwaitingDonors(const PlannedReplica& aReplica) const
{
  return std::any_of(this->planner.replicas.begin(),
                     this->planner.replicas.end(),
                     [&](const auto& aEntry) {
                       return aEntry.second.recipient == aReplica.name &&
                              aEntry.second.phase == ReplicaPhase::kClosing &&
                              !aReplica.nextModel.empty() &&
                              (!this->HasStopped(aEntry.second) ||
                               this->MustBeLeft(aEntry.second));
                     });
}

bool
FleetPlanningRound::MustLeave(const PlannedReplica& aReplica,
                              const std::string& aId) const
{
  return this->IsUsable(aId) &&
         this->CurrentMembership(aReplica, aId) != nullptr &&
         this->planner.openOrders.MayTakeEffect(KeyOf(aReplica));
}

bool
FleetPlanningRound::MustBeLeft(const PlannedReplica& aReplica) const
{
  return std::any_of(
    aReplica.members.begin(), aReplica.members.end(), [&](const auto& aId) {
      return this->MustLeave(aReplica, aId);
    });
}

void
FleetPlanningRound::OrderDonorToLeave(const PlannedReplica& aReplica)
{
  for (const std::string& id : aReplica.members) {
    const auto preparation = this->planner.preparations.find(id);
    const bool isOrdered = preparation != this->planner.preparations.end() &&
                           preparation->second.leaves;
    if (this->MustLeave(aReplica, id) && !isOrdered) {
      this->OrderLeave(this->FindTarget(id)->record);
    }
  }
}

bool
FleetPlanningRound::IsAwaitedByRecipient(const PlannedReplica& aReplica) const
{
  const auto recipientEntry = this->planner.replicas.find(aReplica.recipient);
  return !aReplica.recipient.empty() &&
         recipientEntry != this->planner.replicas.end() &&
         !recipientEntry->second.nextModel.empty();
}

std::vector<std::string>
FleetPlanningRound::UsableMembersFor(const PlannedReplica& aReplica,
                                     const ReplicaModel& aModel) const
{
  std::vector<std::string> usable;
  for (const std::string& id : aReplica.members) {
    if (this->IsUsable(id) && this->WarmthOf(this->FindTarget(id)->record,
                                             aModel.name) != Warmth::kCold) {
      usable.push_back(id);
    }
  }
  return usable;
}

std::optional<FleetPlanningRound::Conversion>
FleetPlanningRound::FindConversion(
  const ReplicaModel& aModel,
  const ReplicaModel& aDonorModel,
  int aReplicaCount,
  const std::string& aDomain,
  const std::vector<std::string>& aAvailableTargets) const
{
  if (this->IsDomainEvacuated(aDomain)) {
    return std::nullopt;
  }
  int missingTargets = aModel.size - static_cast<int>(aAvailableTargets.size());
  std::vector<std::pair<int, std::string>> donors;
  for (const auto& [name, replica] : this->planner.replicas) {
    if (replica.model == aDonorModel.name && replica.domain == aDomain &&
        replica.phase == ReplicaPhase::kServing) {
      donors.emplace_back(this->UsableMembersFor(replica, aModel).size(), name);
    }
  }
  std::stable_sort(
    donors.begin(), donors.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  Conversion conversion;
  for (const auto& [members, name] : donors) {
    if (missingTargets <= 0) {
      break;
    }
    missingTargets -= members;
    conversion.donors.push_back(name);
  }
  if (missingTargets > 0 || conversion.donors.empty()) {
    return std::nullopt;
  }
  const int remainingReplicas = this->CountReplicasOf(aDonorModel.name) -
                                static_cast<int>(conversion.donors.size());
  const auto& options = this->planner.options;
  double saturationLimit =
    options.maxDonorSaturationRatio * this->SaturationOf(aModel, aReplicaCount);
  if (conversion.donors.size() > 1) {
    // Stopping several replicas for one is worth it only if the donating model
    // has capacity to spare.
    saturationLimit = std::min(saturationLimit, options.maxDonorSaturation);
  }
  return this->SaturationOf(aDonorModel, remainingReplicas) < saturationLimit
           ? std::optional(conversion)
           : std::nullopt;
}

void
FleetPlanningRound::StopDonors(const Conversion& aConversion,
                               const std::string& aReplica,
                               OrderKind aOrderKind)
{
  for (const std::string& name : aConversion.donors) {
    PlannedReplica& donor = this->planner.replicas.at(name);
    donor.recipient = name == aReplica ? std::string{} : aReplica;
    donor.phase = ReplicaPhase::kClosing;
    donor.phaseSince = this->now;
    this->IssueOrder(this->MustFinishWork(donor) ? OrderKind::kCloseGently
                                                 : aOrderKind,
                     donor,
                     donor.members.front());
  }
}

void
FleetPlanningRound::RebalanceReplicas()
{
  if (this->now - this->planner.lastConversionAt <
        this->planner.options.conversionInterval ||
      this->engine.models.size() < 2) {
    return;
  }
  const auto saturation = [&](const ReplicaModel& aModel) {
    return this->SaturationOf(aModel, this->CountReplicasOf(aModel.name));
  };
  const auto [leastSaturated, mostSaturated] = std::minmax_element(
    this->engine.models.begin(),
    this->engine.models.end(),
    [&](const ReplicaModel& aLeft, const ReplicaModel& aRight) {
      return saturation(aLeft) < saturation(aRight);
    });
  if (saturation(*mostSaturated) <= 1) {
    return;
  }
  std::optional<Conversion> bestConversion;
  for (const auto& [domainName, targets] : this->index.Domains()) {
    const std::string domain(domainName);
    const auto found =
      this->FindConversion(*mostSaturated,
                           *leastSaturated,
                           this->CountReplicasOf(mostSaturated->name),
                           domain,
                           this->IdleTargetsIn(domain, mostSaturated->name));
    if (found && (!bestConversion ||
                  found->donors.size() < bestConversion->donors.size())) {
      bestConversion = found;
    }
  }
  if (bestConversion) {
    this->planner.lastConversionAt = this->now;
    this->StopDonors(
      *bestConversion, bestConversion->donors.front(), OrderKind::kCloseGently);
    this->planner.replicas.at(bestConversion->donors.front()).nextModel =
      mostSaturated->name;
  }
}

bool
FleetPlanningRound::FinishConversion(PlannedReplica& aReplica)
{
  const ReplicaModel* const model =
    FindModel(this->view.service, aReplica.nextModel);
  aReplica.nextModel.clear();
  if (model == nullptr) {
    return false;
  }
  std::vector<std::string> members = this->UsableMembersFor(aReplica, *model);
  const auto addMembers = [&](const std::vector<std::string>& aMore) {
    members.insert(members.end(), aMore.begin(), aMore.end());
  };
  addMembers(this->IdleTargetsIn(aReplica.domain, model->name));
  for (const auto& [name, donor] : this->planner.replicas) {
    if (donor.recipient != aReplica.name) {
      continue;
    }
    std::vector<std::string> donated = this->UsableMembersFor(donor, *model);
    std::erase_if(donated, [&](const std::string& aId) {
      return !this->MayJoinAnotherReplica(this->FindTarget(aId)->record);
    });
    addMembers(donated);
  }
  const auto size = static_cast<std::size_t>(model->size);
  if (members.size() < size) {
    return false;
  }
  members.resize(size);
  std::erase_if(this->planner.replicas, [&](const auto& aEntry) {
    const bool isDonor = aEntry.second.recipient == aReplica.name;
    if (isDonor) {
      this->RetireMemberList(aEntry.second);
      this->index.RemovePlanned(aEntry.second.members);
    }
    return isDonor;
  });
  aReplica.model = model->name;
  this->BeginJoin(aReplica, std::move(members));
  return true;
}

} // namespace apricottrack
