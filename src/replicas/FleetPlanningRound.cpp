#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace apricottrack {

namespace {

/// Expected time to join with weights that the target already holds.
constexpr Duration kLoadedJoinDuration = milliseconds(200);
/// Duration of a load before traffic (`FleetPlannerView::beforeTraffic`), as a
/// fraction of its usual duration.
constexpr double kLoadTimeFactorBeforeTraffic = 0.1;

/// The newest list of members of a replica, as its targets report it.
struct ReportedReplica
{
  std::int64_t epoch = 0;
  /// Target ids by rank.
  std::map<int, std::string> idsByRank;
  /// Null if no target reports rank 0.
  const TargetRecord* head = nullptr;
};

/// Returns the newest epoch of each replica that targets report, by replica
/// name.
std::map<std::string, ReportedReplica>
ReportedReplicas(const PlannerMembers& aMembers)
{
  std::map<std::string, ReportedReplica> reported;
  for (const auto& [id, member] : aMembers) {
    const auto& membership = member.record.membership;
    if (!membership) {
      continue;
    }
    ReportedReplica& replica = reported[membership->replica];
    if (membership->epoch > replica.epoch) {
      replica = ReportedReplica{ .epoch = membership->epoch, .idsByRank = {} };
    }
    if (membership->epoch == replica.epoch) {
      replica.idsByRank[membership->rank] = id;
      if (membership->rank == 0) {
        replica.head = &member.record;
      }
    }
  }
  return reported;
}

} // namespace

FleetPlanningRound::FleetPlanningRound(FleetPlanner& aPlanner,
                                       const FleetPlannerView& aView,
                                       Instant aNow)
  : planner(aPlanner)
  , view(aView)
  , engine(*aView.service.engine)
  , now(aNow)
  , index(aView.members)
{
}

std::vector<ReplicaOrder>
FleetPlanningRound::Run()
{
  std::erase_if(this->planner.preparations, [&](const auto& aEntry) {
    return aEntry.second.until <= this->now;
  });
  std::erase_if(this->planner.brokenUntil,
                [&](const auto& aEntry) { return aEntry.second <= this->now; });
  this->planner.loads.Configure(
    { .loadsPerSecond = this->engine.loadsPerSecond,
      .concurrentLoads = this->engine.concurrentLoads });
  if (!this->view.entriesSettled && !this->view.beforeTraffic) {
    return {};
  }
  this->PruneStaleState();
  this->RecordHeldModels();
  this->AdoptUnknownReplicas();
  for (const auto& [name, replica] : this->planner.replicas) {
    this->index.AddPlanned(replica.members);
  }
  this->AdvanceReplicas();
  this->RepeatUnansweredJoins();
  this->ReleaseOrphanedTargets();
  this->FormReplicas();
  this->RebalanceReplicas();
  this->PrepareSpares();
  return std::move(this->orders);
}

void
FleetPlanningRound::AdoptUnknownReplicas()
{
  for (const auto& [name, reported] : ReportedReplicas(this->view.members)) {
    const TargetRecord& first =
      this->FindTarget(reported.idsByRank.begin()->second)->record;
    const ReplicaModel* const model =
      FindModel(this->view.service, first.model);
    if (model == nullptr || name.starts_with(kSparePrefix) ||
        this->planner.replicas.contains(name) ||
        this->planner.retiredMemberLists.contains(
          ReplicaKey({ .replica = name, .epoch = reported.epoch }))) {
      continue;
    }
    PlannedReplica replica{ .name = name,
                            .model = model->name,
                            .domain = first.fabricDomain,
                            .epoch = reported.epoch,
                            .members = {},
                            .phase = ReplicaPhase::kJoining,
                            .phaseSince = this->now };
    for (const auto& [rank, id] : reported.idsByRank) {
      replica.members.push_back(id);
    }
    const MemberState state = reported.head == nullptr
                                ? MemberState::kNone
                                : reported.head->membership->state;
    this->planner.openOrders.OnAdopted(KeyOf(replica));
    // A broken replica is adopted as serving, so that AdvanceServing repairs
    // it.
    if (state == MemberState::kOpen || state == MemberState::kBroken) {
      replica.phase = ReplicaPhase::kServing;
    } else if (state == MemberState::kClosing) {
      replica.phase = ReplicaPhase::kClosing;
    }
    this->planner.replicas.emplace(name, std::move(replica));
  }
}

const PlannerMember*
FleetPlanningRound::FindTarget(std::string_view aId) const
{
  const auto found = this->view.members.find(aId);
  return found == this->view.members.end() ? nullptr : &found->second;
}

bool
FleetPlanningRound::IsUsable(std::string_view aId) const
{
  const PlannerMember* const member = this->FindTarget(aId);
  return member != nullptr && member->IsUsable();
}

const ReplicaModel&
FleetPlanningRound::ModelOf(const PlannedReplica& aReplica) const
{
  const ReplicaModel* const model =
    FindModel(this->view.service, aReplica.model);
  return model == nullptr ? this->engine.models.front() : *model;
}

FleetPlanningRound::Warmth
FleetPlanningRound::WarmthOf(const TargetRecord& aRecord,
                             std::string_view aModel) const
{
  if (aRecord.model == aModel) {
    return Warmth::kLoaded;
  }
  const auto last = this->planner.lastModels.find(aRecord.id);
  if (last != this->planner.lastModels.end() &&
      last->second.startedAt == aRecord.startedAt &&
      last->second.model == aModel) {
    return Warmth::kLoaded;
  }
  const auto& staged = aRecord.stagedModels;
  return std::find(staged.begin(), staged.end(), aModel) == staged.end()
           ? Warmth::kCold
           : Warmth::kStaged;
}

Duration
FleetPlanningRound::ExpectedJoinDuration(const TargetRecord& aRecord,
                                         const ReplicaModel& aModel) const
{
  const Warmth warmth = this->WarmthOf(aRecord, aModel.name);
  if (warmth == Warmth::kLoaded) {
    return kLoadedJoinDuration;
  }
  const Duration time =
    warmth == Warmth::kStaged ? aModel.warmLoadTime : aModel.loadTime;
  return this->view.beforeTraffic
           ? FromSeconds(ToSeconds(time) * kLoadTimeFactorBeforeTraffic)
           : time;
}

const Membership*
FleetPlanningRound::CurrentMembership(const PlannedReplica& aReplica,
                                      std::string_view aMember) const
{
  const PlannerMember* const member = this->FindTarget(aMember);
  if (member == nullptr || !member->record.membership) {
    return nullptr;
  }
  const Membership& membership = *member->record.membership;
  // The report may come from another target that now has the address. If that
  // one is in the same replica, only the rank differs from the member's own.
  const auto& members = aReplica.members;
  const auto position = std::find(members.begin(), members.end(), aMember);
  return membership.replica == aReplica.name &&
             membership.epoch == aReplica.epoch &&
             membership.rank == position - members.begin()
           ? &membership
           : nullptr;
}

bool
FleetPlanningRound::AreAllMembersReady(const PlannedReplica& aReplica) const
{
  return std::all_of(
    aReplica.members.begin(), aReplica.members.end(), [&](const auto& aId) {
      const Membership* const membership =
        this->CurrentMembership(aReplica, aId);
      return membership != nullptr &&
             (membership->state == MemberState::kReady ||
              membership->state == MemberState::kOpen);
    });
}

bool
FleetPlanningRound::IsIntact(const PlannedReplica& aReplica) const
{
  const bool complete = aReplica.members.size() ==
                        static_cast<std::size_t>(this->ModelOf(aReplica).size);
  return complete &&
         std::all_of(aReplica.members.begin(),
                     aReplica.members.end(),
                     [&](const auto& aId) {
                       const PlannerMember* const member =
                         this->FindTarget(aId);
                       return member != nullptr && !member->unresponsive &&
                              this->CurrentMembership(aReplica, aId) != nullptr;
                     });
}

void
FleetPlanningRound::AdvanceReplicas()
{
  auto& replicas = this->planner.replicas;
  for (auto it = replicas.begin(); it != replicas.end();) {
    PlannedReplica& replica = it->second;
    bool ended = false;
    switch (replica.phase) {
      case ReplicaPhase::kJoining:
        this->AdvanceJoining(replica);
        break;
      case ReplicaPhase::kOpening:
        this->AdvanceOpening(replica);
        break;
      case ReplicaPhase::kServing:
        this->AdvanceServing(replica);
        break;
      case ReplicaPhase::kClosing:
        break;
    }
    if (replica.phase == ReplicaPhase::kClosing) {
      ended = this->AdvanceClosing(replica);
    }
    if (ended) {
      this->index.RemovePlanned(replica.members);
      it = replicas.erase(it);
    } else {
      ++it;
    }
  }
}

void
FleetPlanningRound::AdvanceJoining(PlannedReplica& aReplica)
{
  const bool usable =
    this->IsUsable(aReplica.members.front()) &&
    std::all_of(aReplica.members.begin(),
                aReplica.members.end(),
                [&](const auto& aId) { return this->CanBeMember(aId); });
  const bool complete = aReplica.members.size() ==
                        static_cast<std::size_t>(this->ModelOf(aReplica).size);
  if (!usable || !complete) {
    if (!this->Repair(aReplica)) {
      this->Dissolve(aReplica);
    }
    return;
  }
  if (this->AreAllMembersReady(aReplica)) {
    aReplica.phase = ReplicaPhase::kOpening;
    this->OrderOpen(aReplica);
    return;
  }
  Duration expected = Duration::zero();
  for (const std::string& id : aReplica.members) {
    expected = std::max(expected,
                        this->ExpectedJoinDuration(this->FindTarget(id)->record,
                                                   this->ModelOf(aReplica)));
  }
  if (this->now - aReplica.phaseSince >
      expected + this->planner.options.orderMargin) {
    aReplica.phaseSince = this->now;
    this->OrderJoins(aReplica, true);
  }
}

void
FleetPlanningRound::OrderOpen(PlannedReplica& aReplica)
{
  aReplica.phaseSince = this->now;
  this->planner.openOrders.OnSent(KeyOf(aReplica));
  this->IssueOrder(OrderKind::kOpen, aReplica, aReplica.members.front());
}

void
FleetPlanningRound::AdvanceOpening(PlannedReplica& aReplica)
{
  if (!this->IsIntact(aReplica)) {
    if (!this->MustFinishWork(aReplica) && !this->Repair(aReplica)) {
      this->Dissolve(aReplica);
    }
    return;
  }
  const Membership* const head =
    this->CurrentMembership(aReplica, aReplica.members.front());
  if (head->state == MemberState::kOpen) {
    this->planner.openOrders.OnObservedOpen(KeyOf(aReplica));
    aReplica.phase = ReplicaPhase::kServing;
    aReplica.phaseSince = this->now;
  } else if (this->now - aReplica.phaseSince >
             this->engine.openTime + this->planner.options.orderMargin) {
    this->OrderOpen(aReplica);
  }
}

void
FleetPlanningRound::AdvanceServing(PlannedReplica& aReplica)
{
  const Membership* const head =
    this->CurrentMembership(aReplica, aReplica.members.front());
  const bool serving = head != nullptr && head->state == MemberState::kOpen;
  if (!serving || !this->IsIntact(aReplica)) {
    this->MarkBroken(aReplica);
    if (this->MustFinishWork(aReplica)) {
      if (!serving) {
        aReplica.phase = ReplicaPhase::kClosing;
        aReplica.phaseSince = this->now;
      }
      return;
    }
    if (!this->Repair(aReplica) && !this->RepairFromDonors(aReplica)) {
      this->Dissolve(aReplica);
    }
    return;
  }
  this->ClearBroken(aReplica);
  if (this->CanReplaceSlowMembers(aReplica)) {
    if (this->MustFinishWork(aReplica)) {
      this->CloseGently(aReplica);
    } else {
      this->ReplaceSlowMembers(aReplica);
    }
    return;
  }
  if (this->MustReplaceLimitedHead(aReplica) ||
      (this->HasLeavingMember(aReplica) && !this->CanKeepServing(aReplica))) {
    // Running requests finish first; the replacement joins afterwards.
    this->CloseGently(aReplica);
  }
}

bool
FleetPlanningRound::AdvanceClosing(PlannedReplica& aReplica)
{
  if (!this->HasStopped(aReplica)) {
    this->HurryClosing(aReplica);
    return false;
  }
  if (this->IsAwaitedByRecipient(aReplica)) {
    this->OrderDonorToLeave(aReplica);
    return false;
  }
  if (this->IsAwaitingDonors(aReplica)) {
    return false;
  }
  if (!aReplica.recipient.empty()) {
    this->RetireMemberList(aReplica);
    return true;
  }
  if (this->FinishConversion(aReplica)) {
    return false;
  }
  if (this->CanReplaceSlowMembers(aReplica)) {
    this->ReplaceSlowMembers(aReplica);
    return false;
  }
  if (this->Repair(aReplica)) {
    return false;
  }
  this->RetireMemberList(aReplica);
  return true;
}

void
FleetPlanningRound::MarkBroken(const PlannedReplica& aReplica)
{
  this->planner.brokenUntil[KeyOf(aReplica)] =
    this->now + this->planner.options.brokenReportDuration;
}

void
FleetPlanningRound::ClearBroken(const PlannedReplica& aReplica)
{
  this->planner.brokenUntil.erase(KeyOf(aReplica));
}

void
FleetPlanningRound::BeginJoin(PlannedReplica& aReplica,
                              std::vector<std::string> aMembers)
{
  this->index.RemovePlanned(aReplica.members);
  this->PutLeastLimitedFirst(aMembers);
  aReplica.members = std::move(aMembers);
  this->index.AddPlanned(aReplica.members);
  aReplica.epoch = this->planner.nextEpoch();
  aReplica.phase = ReplicaPhase::kJoining;
  aReplica.phaseSince = this->now;
  this->OrderJoins(aReplica, false);
}

void
FleetPlanningRound::IssueOrder(OrderKind aKind,
                               const PlannedReplica& aReplica,
                               const std::string& aTarget)
{
  const PlannerMember* const member = this->FindTarget(aTarget);
  if (member == nullptr) {
    return;
  }
  this->orders.push_back({ .kind = aKind,
                           .target = aTarget,
                           .address = member->record.address,
                           .replica = aReplica.name,
                           .epoch = aReplica.epoch,
                           .model = aReplica.model,
                           .members = aReplica.members });
}

} // namespace apricottrack
