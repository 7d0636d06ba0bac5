#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

// The part of FleetPlanningRound that decides which replicas to form.
namespace apricottrack {

int
FleetPlanningRound::CountReplicasOf(std::string_view aModel) const
{
  return static_cast<int>(std::count_if(
    this->planner.replicas.begin(),
    this->planner.replicas.end(),
    [&](const auto& aEntry) {
      const PlannedReplica& replica = aEntry.second;
      const std::string& model =
        replica.nextModel.empty() ? replica.model : replica.nextModel;
      return replica.recipient.empty() && model == aModel &&
             !this->IsDomainEvacuated(replica.domain);
    }));
}

bool
FleetPlanningRound::IsDomainEvacuated(std::string_view aDomain) const
{
  const auto& targets = this->index.TargetsIn(aDomain);
  return !targets.empty() && targets.front()->evacuated;
}

std::vector<const ReplicaModel*>
FleetPlanningRound::ModelsBySize() const
{
  std::vector<const ReplicaModel*> models;
  for (const ReplicaModel& model : this->engine.models) {
    models.push_back(&model);
  }
  std::stable_sort(models.begin(), models.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->size > aRight->size;
  });
  return models;
}

ReplicaCounts
FleetPlanningRound::DesiredReplicas() const
{
  const auto usable =
    std::count_if(this->view.members.begin(),
                  this->view.members.end(),
                  [](const auto& aEntry) {
                    return aEntry.second.IsUsable() && !aEntry.second.evacuated;
                  });
  return ReplicaBudget(this->planner.options.budget, this->engine)
    .Allocate(static_cast<int>(usable), this->view.demands);
}

void
FleetPlanningRound::RecordHeldModels()
{
  for (const auto& [id, member] : this->view.members) {
    const auto& membership = member.record.membership;
    if (!member.record.model.empty() && membership &&
        membership->state != MemberState::kJoining) {
      this->planner.lastModels[id] = { .startedAt = member.record.startedAt,
                                       .model = member.record.model };
    }
  }
}

bool
FleetPlanningRound::IsAwaitingArrivals()
{
  if (!this->view.beforeTraffic) {
    return false;
  }
  if (this->view.members.size() > this->planner.maxTargetCount) {
    this->planner.maxTargetCount = this->view.members.size();
    this->planner.lastArrivalAt = this->now;
  }
  return this->now - this->planner.lastArrivalAt <
         this->planner.options.arrivalQuietTime;
}

void
FleetPlanningRound::FormReplicas()
{
  if (this->IsAwaitingArrivals()) {
    return;
  }
  ReplicaCounts desired = this->DesiredReplicas();
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    while (this->CountReplicasOf(model->name) < desired[model->name] &&
           this->FormReplica(*model)) {
    }
  }
  this->FormExtraReplicas();
}

void
FleetPlanningRound::FormExtraReplicas()
{
  if (this->view.beforeTraffic) {
    return;
  }
  // While a model is not overloaded, spare targets are kept for repairs.
  const double saturationLimit = this->planner.options.overloadSaturation;
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    while (this->SaturationOf(*model, this->CountReplicasOf(model->name)) >
             saturationLimit &&
           this->FormReplica(*model)) {
    }
  }
}

double
FleetPlanningRound::SaturationOf(const ReplicaModel& aModel,
                                 int aReplicaCount) const
{
  const auto demand = this->view.demands.find(aModel.name);
  if (demand == this->view.demands.end()) {
    return 0;
  }
  if (aReplicaCount <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return EngineCost(this->engine, aModel)
    .Saturation(demand->second, aReplicaCount);
}

bool
FleetPlanningRound::FormReplica(const ReplicaModel& aModel)
{
  int mostTargets = 0;
  std::string_view bestDomain;
  for (const auto& [domain, targets] : this->index.Domains()) {
    if (this->IsDomainEvacuated(domain)) {
      continue;
    }
    const int idle = this->CountIdleTargetsIn(domain, aModel.name);
    if (idle > mostTargets) {
      mostTargets = idle;
      bestDomain = domain;
    }
  }
  if (mostTargets < aModel.size) {
    return false;
  }
  std::vector<std::string> bestTargets =
    this->IdleTargetsIn(bestDomain, aModel.name);
  bestTargets.resize(static_cast<std::size_t>(aModel.size));
  const std::int64_t firstEpoch = this->planner.nextEpoch();
  PlannedReplica replica{ .name = fmt::format("r{}", firstEpoch),
                          .model = aModel.name,
                          .domain = std::string(bestDomain),
                          .epoch = firstEpoch,
                          .members = {} };
  auto& added =
    this->planner.replicas.emplace(replica.name, replica).first->second;
  this->BeginJoin(added, std::move(bestTargets));
  return true;
}

int
FleetPlanningRound::MissingTargetsFor(const ReplicaModel& aModel,
                                      std::string_view aDomain) const
{
  return aModel.size - this->CountSparesFor(aModel, aDomain) % aModel.size;
}

int
FleetPlanningRound::CountSparesFor(const ReplicaModel& aModel,
                                   std::string_view aDomain) const
{
  const auto& targets = this->index.TargetsIn(aDomain);
  return static_cast<int>(std::count_if(
    targets.begin(), targets.end(), [&](const PlannerMember* aMember) {
      if (this->IsIdle(*aMember)) {
        return this->IsIdleFor(*aMember, aModel.name);
      }
      const auto found = this->planner.preparations.find(aMember->record.id);
      return found != this->planner.preparations.end() &&
             found->second.model == aModel.name;
    }));
}

const ReplicaModel*
FleetPlanningRound::ModelLackingSpares(std::string_view aDomain) const
{
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    const auto replicas =
      std::count_if(this->planner.replicas.begin(),
                    this->planner.replicas.end(),
                    [&](const auto& aEntry) {
                      return aEntry.second.domain == aDomain &&
                             aEntry.second.model == model->name;
                    });
    if (this->CountSparesFor(*model, aDomain) < replicas) {
      return model;
    }
  }
  return nullptr;
}

const ReplicaModel&
FleetPlanningRound::SpareModelFor(const TargetRecord& aRecord) const
{
  const bool completesOverloadedModel = std::any_of(
    this->engine.models.begin(),
    this->engine.models.end(),
    [&](const ReplicaModel& aModel) {
      return this->MissingTargetsFor(aModel, aRecord.fabricDomain) == 1 &&
             this->SaturationOf(aModel, this->CountReplicasOf(aModel.name)) >
               this->planner.options.overloadSaturation;
    });
  // A large replica that cannot be repaired leaves its remaining members idle
  // for the duration of a load.
  const ReplicaModel* const lackingSpares =
    completesOverloadedModel ? nullptr
                             : this->ModelLackingSpares(aRecord.fabricDomain);
  if (lackingSpares != nullptr) {
    return *lackingSpares;
  }
  // Load time, in seconds, that a complete replica in this domain still takes,
  // divided by the model's saturation. The saturation is clamped because it is
  // zero without demand and infinite without replicas.
  const auto weightedLoadSeconds = [&](const ReplicaModel& aModel) {
    const double saturation =
      this->SaturationOf(aModel, this->CountReplicasOf(aModel.name));
    return this->MissingTargetsFor(aModel, aRecord.fabricDomain) *
           ToSeconds(aModel.loadTime) / std::clamp(saturation, 0.5, 2.0);
  };
  return *std::min_element(
    this->engine.models.begin(),
    this->engine.models.end(),
    [&](const ReplicaModel& aLeft, const ReplicaModel& aRight) {
      return weightedLoadSeconds(aLeft) < weightedLoadSeconds(aRight);
    });
}

} // namespace apricottrack
