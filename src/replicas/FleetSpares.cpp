#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <fmt/format.h>

// The part of FleetPlanningRound that manages targets outside replicas.
namespace apricottrack {

bool
FleetPlanningRound::HasReadyHead(const Membership& aMembership) const
{
  return aMembership.state != MemberState::kJoining &&
         !this->planner.openOrders.MayTakeEffect(ReplicaKey(aMembership)) &&
         this->index.HeadState(aMembership) == MemberState::kReady;
}

bool
FleetPlanningRound::MayJoinAnotherReplica(const TargetRecord& aRecord) const
{
  return !aRecord.membership || this->HasReadyHead(*aRecord.membership);
}

bool
FleetPlanningRound::IsIdle(const PlannerMember& aMember) const
{
  return aMember.IsUsable() && (aMember.reported || this->view.beforeTraffic) &&
         !this->index.IsPlanned(aMember.record.id) &&
         this->MayJoinAnotherReplica(aMember.record);
}

void
FleetPlanningRound::ReleaseOrphanedTargets()
{
  for (const auto& [id, member] : this->view.members) {
    const auto& membership = member.record.membership;
    if (!member.IsUsable() || !membership || this->index.IsPlanned(id) ||
        this->planner.preparations.contains(id)) {
      continue;
    }
    const bool replicaContinues =
      this->planner.replicas.contains(membership->replica);
    if ((this->HasReadyHead(*membership) && !replicaContinues) ||
        this->FinishesOrphanedWork(member)) {
      continue;
    }
    this->OrderLeave(member.record);
  }
}

void
FleetPlanningRound::OrderLeave(const TargetRecord& aRecord)
{
  const PlannedReplica left{ .name = aRecord.membership->replica,
                             .model = aRecord.model,
                             .domain = aRecord.fabricDomain,
                             .epoch = aRecord.membership->epoch,
                             .members = { aRecord.id } };
  this->planner.preparations[aRecord.id] = {
    .until = this->now + this->planner.options.orderMargin,
    .model = {},
    .leaves = true
  };
  this->IssueOrder(OrderKind::kLeave, left, aRecord.id);
}

bool
FleetPlanningRound::IsIdleFor(const PlannerMember& aMember,
                              std::string_view aModel) const
{
  return this->IsIdle(aMember) &&
         (this->view.beforeTraffic ||
          (!aMember.slow &&
           this->WarmthOf(aMember.record, aModel) != Warmth::kCold));
}

int
FleetPlanningRound::CountIdleTargetsIn(std::string_view aDomain,
                                       std::string_view aModel) const
{
  const auto& targets = this->index.TargetsIn(aDomain);
  return static_cast<int>(std::count_if(
    targets.begin(), targets.end(), [&](const PlannerMember* aMember) {
      return this->IsIdleFor(*aMember, aModel);
    }));
}

std::vector<std::string>
FleetPlanningRound::IdleTargetsIn(std::string_view aDomain,
                                  std::string_view aModel) const
{
  // Of equally warm targets, those that are warm for the fewest models come
  // first, so that the others remain available.
  struct RankedTarget
  {
    Warmth warmth;
    std::ptrdiff_t warmModels;
    const std::string* id;
  };
  std::vector<RankedTarget> ranked;
  for (const PlannerMember* const member : this->index.TargetsIn(aDomain)) {
    if (!this->IsIdleFor(*member, aModel)) {
      continue;
    }
    const TargetRecord& record = member->record;
    ranked.push_back({ .warmth = this->WarmthOf(record, aModel),
                       .warmModels = std::count_if(
                         this->engine.models.begin(),
                         this->engine.models.end(),
                         [&](const ReplicaModel& aOther) {
                           return this->WarmthOf(record, aOther.name) !=
                                  Warmth::kCold;
                         }),
                       .id = &record.id });
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const RankedTarget& aLeft, const RankedTarget& aRight) {
                     return std::pair(aLeft.warmth, aLeft.warmModels) <
                            std::pair(aRight.warmth, aRight.warmModels);
                   });
  std::vector<std::string> idle;
  idle.reserve(ranked.size());
  for (const RankedTarget& target : ranked) {
    idle.push_back(*target.id);
  }
  return idle;
}

bool
FleetPlanningRound::HoldsNoModel(const TargetRecord& aRecord) const
{
  return std::all_of(this->engine.models.begin(),
                     this->engine.models.end(),
                     [&](const ReplicaModel& aModel) {
                       return this->WarmthOf(aRecord, aModel.name) !=
                              Warmth::kLoaded;
                     });
}

void
FleetPlanningRound::PrepareSpares()
{
  // Targets that hold no weights cannot serve at all, so they load first.
  bool deferred = false;
  for (const auto& [id, member] : this->view.members) {
    if (!this->planner.preparations.contains(id) && this->IsIdle(member) &&
        this->HoldsNoModel(member.record)) {
      deferred = !this->WarmUp(member.record) || deferred;
    }
  }
  // Staging leaves `Options::reservedLoads` of the weight store's concurrent
  // loads to targets that arrive later without weights, but may always use one.
  const int maxRunningLoads = std::max(
    1, this->engine.concurrentLoads - this->planner.options.reservedLoads);
  if (deferred ||
      (!this->view.beforeTraffic &&
       this->planner.loads.RunningLoads(this->now) >= maxRunningLoads)) {
    return;
  }
  for (const auto& [id, member] : this->view.members) {
    if (!this->planner.preparations.contains(id) && member.IsUsable() &&
        !this->HoldsNoModel(member.record)) {
      this->StageMissingModel(member.record);
    }
  }
}

bool
FleetPlanningRound::TryBeginLoad(Duration aExpected)
{
  return this->view.beforeTraffic ||
         this->planner.loads.TryBegin(aExpected, this->now);
}

const ReplicaModel&
FleetPlanningRound::ModelToWarmUp(const TargetRecord& aRecord) const
{
  const auto staged =
    std::find_if(this->engine.models.begin(),
                 this->engine.models.end(),
                 [&](const ReplicaModel& aModel) {
                   return this->WarmthOf(aRecord, aModel.name) != Warmth::kCold;
                 });
  return staged == this->engine.models.end() ? this->SpareModelFor(aRecord)
                                             : *staged;
}

bool
FleetPlanningRound::WarmUp(const TargetRecord& aRecord)
{
  const ReplicaModel& model = this->ModelToWarmUp(aRecord);
  const Duration expected = this->ExpectedJoinDuration(aRecord, model);
  const bool loads = this->WarmthOf(aRecord, model.name) == Warmth::kCold;
  if (loads && !this->TryBeginLoad(expected)) {
    return false;
  }
  const PlannedReplica spare{
    .name = fmt::format("{}{}", kSparePrefix, aRecord.id),
    .model = model.name,
    .domain = aRecord.fabricDomain,
    .epoch = this->planner.nextEpoch(),
    .members = { aRecord.id },
  };
  this->planner.preparations[aRecord.id] = {
    .until = this->now + expected + this->planner.options.orderMargin,
    .model = model.name
  };
  this->IssueOrder(OrderKind::kJoin, spare, aRecord.id);
  return true;
}

void
FleetPlanningRound::StageMissingModel(const TargetRecord& aRecord)
{
  for (const ReplicaModel& model : this->engine.models) {
    if (this->WarmthOf(aRecord, model.name) != Warmth::kCold) {
      continue;
    }
    const auto& membership = aRecord.membership;
    const bool joining =
      membership && membership->state == MemberState::kJoining;
    const Duration expected = this->ExpectedJoinDuration(aRecord, model);
    if (joining || !this->TryBeginLoad(expected)) {
      return;
    }
    this->planner.preparations[aRecord.id] = {
      .until = this->now + expected + this->planner.options.orderMargin,
      .model = {}
    };
    const PlannedReplica staged{
      .name = {}, .model = model.name, .domain = {}, .members = { aRecord.id }
    };
    this->IssueOrder(OrderKind::kStage, staged, aRecord.id);
    return;
  }
}

} // namespace apricottrack
