#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

// The part of FleetPlanningRound that decides which replicas to form.
namespace apricottrack {

int
FleetPlanningRound::ReplicasOf(std::string_view aModel) const
{
  return static_cast<int>(std::count_if(
    this->planner.replicas.begin(),
    this->planner.replicas.end(),
    [&](const auto& aEntry) {
      const PlannedReplica& replica = aEntry.second;
      const std::string& model =
        replica.nextModel.empty() ? replica.model : replica.nextModel;
      return replica.givesTo.empty() && model == aModel;
    }));
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
FleetPlanningRound::Wanted() const
{
  const auto usable =
    std::count_if(this->view.members.begin(),
                  this->view.members.end(),
                  [](const auto& aE) { return aE.second.IsUsable(); });
  return ReplicaBudget(this->planner.options.budget, this->engine)
    .Allocate(static_cast<int>(usable), this->view.demands);
}

void
FleetPlanningRound::NoteModels()
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
FleetPlanningRound::IsSettling()
{
  if (!this->view.beforeTraffic) {
    return false;
  }
  if (this->view.members.size() > this->planner.knownTargets) {
    this->planner.knownTargets = this->view.members.size();
    this->planner.lastArrival = this->now;
  }
  return this->now - this->planner.lastArrival < this->planner.options.settle;
}

void
FleetPlanningRound::FormReplicas()
{
  if (this->IsSettling()) {
    return;
  }
  ReplicaCounts wanted = this->Wanted();
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    while (this->ReplicasOf(model->name) < wanted[model->name] &&
           this->FormOne(*model)) {
    }
  }
  this->FormSubstitutes();
}

void
FleetPlanningRound::FormSubstitutes()
{
  if (this->view.beforeTraffic) {
    return;
  }
  // While a model is not overloaded, spare targets are kept for repairs.
  const double most = this->planner.options.shortStrain;
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    while (this->StrainOf(*model, this->ReplicasOf(model->name)) > most &&
           this->FormOne(*model)) {
    }
  }
}

double
FleetPlanningRound::StrainOf(const ReplicaModel& aModel, int aReplicas) const
{
  const auto demand = this->view.demands.find(aModel.name);
  if (demand == this->view.demands.end()) {
    return 0;
  }
  if (aReplicas <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  return EngineCost(this->engine, aModel).Strain(demand->second, aReplicas);
}

bool
FleetPlanningRound::FormOne(const ReplicaModel& aModel)
{
  std::set<std::string_view> domains;
  for (const auto& [id, member] : this->view.members) {
    domains.insert(member.record.fabricDomain);
  }
  std::vector<std::string> best;
  std::string_view place;
  for (const std::string_view domain : domains) {
    std::vector<std::string> free = this->FreeIn(domain, aModel.name);
    if (free.size() > best.size()) {
      best = std::move(free);
      place = domain;
    }
  }
  const auto size = static_cast<std::size_t>(aModel.size);
  if (best.size() < size) {
    return false;
  }
  best.resize(size);
  const std::int64_t named = this->planner.epochs();
  PlannedReplica replica{ .name = fmt::format("r{}", named),
                          .model = aModel.name,
                          .domain = std::string(place),
                          .epoch = named,
                          .members = {} };
  auto& placed =
    this->planner.replicas.emplace(replica.name, replica).first->second;
  this->BeginJoin(placed, std::move(best));
  return true;
}

int
FleetPlanningRound::MissingFor(const ReplicaModel& aModel,
                               std::string_view aDomain) const
{
  return aModel.size - this->SparesFor(aModel, aDomain) % aModel.size;
}

int
FleetPlanningRound::SparesFor(const ReplicaModel& aModel,
                              std::string_view aDomain) const
{
  int have = static_cast<int>(this->FreeIn(aDomain, aModel.name).size());
  for (const auto& [id, preparation] : this->planner.preparing) {
    const PlannerMember* const member = this->Find(id);
    const bool here =
      member != nullptr && member->record.fabricDomain == aDomain;
    have += here && preparation.model == aModel.name && !this->IsFree(*member)
              ? 1
              : 0;
  }
  return have;
}

const ReplicaModel*
FleetPlanningRound::UnguardedModel(std::string_view aDomain) const
{
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    const auto replicas =
      std::count_if(this->planner.replicas.begin(),
                    this->planner.replicas.end(),
                    [&](const auto& aEntry) {
                      return aEntry.second.domain == aDomain &&
                             aEntry.second.model == model->name;
                    });
    if (this->SparesFor(*model, aDomain) < replicas) {
      return model;
    }
  }
  return nullptr;
}

const ReplicaModel&
FleetPlanningRound::SpareModelFor(const TargetRecord& aRecord) const
{
  const bool isShort =
    std::any_of(this->engine.models.begin(),
                this->engine.models.end(),
                [&](const ReplicaModel& aModel) {
                  return this->MissingFor(aModel, aRecord.fabricDomain) == 1 &&
                         this->StrainOf(aModel, this->ReplicasOf(aModel.name)) >
                           this->planner.options.shortStrain;
                });
  // A large replica that cannot be repaired leaves its remaining members idle
  // for the duration of a load.
  const ReplicaModel* const unguarded =
    isShort ? nullptr : this->UnguardedModel(aRecord.fabricDomain);
  if (unguarded != nullptr) {
    return *unguarded;
  }
  // Load time that a complete replica in this domain still takes, divided by
  // the model's saturation.
  const auto cost = [&](const ReplicaModel& aModel) {
    const double strain = this->StrainOf(aModel, this->ReplicasOf(aModel.name));
    return this->MissingFor(aModel, aRecord.fabricDomain) *
           ToSeconds(aModel.loadTime) / std::clamp(strain, 0.5, 2.0);
  };
  return *std::min_element(
    this->engine.models.begin(),
    this->engine.models.end(),
    [&](const ReplicaModel& aLeft, const ReplicaModel& aRight) {
      return cost(aLeft) < cost(aRight);
    });
}

} // namespace apricottrack
