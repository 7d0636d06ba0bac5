#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace apricottrack {

namespace {

/// Joining with weights that the target holds.
constexpr Duration kHeldJoinTime = milliseconds(200);
/// Before the first request loads take this share of their time.
constexpr double kEarlyLoadFactor = 0.1;
constexpr std::string_view kSparePrefix = "spare-";

struct Seen
{
  std::int64_t epoch = 0;
  std::map<int, std::string> byRank;
  const TargetRecord* head = nullptr;
};

/// The newest epoch of each replica that the targets name.
std::map<std::string, Seen>
SeenReplicas(const PlannerMembers& aMembers)
{
  std::map<std::string, Seen> seen;
  for (const auto& [id, member] : aMembers) {
    const auto& membership = member.record.membership;
    if (!membership) {
      continue;
    }
    Seen& replica = seen[membership->replica];
    if (membership->epoch > replica.epoch) {
      replica = Seen{ .epoch = membership->epoch, .byRank = {} };
    }
    if (membership->epoch == replica.epoch) {
      replica.byRank[membership->rank] = id;
      if (membership->rank == 0) {
        replica.head = &member.record;
      }
    }
  }
  return seen;
}

} // namespace

FleetPlanningRound::FleetPlanningRound(FleetPlanner& aPlanner,
                                       const FleetPlannerView& aView,
                                       Instant aNow)
  : planner(aPlanner)
  , view(aView)
  , engine(*aView.service.engine)
  , now(aNow)
{
}

std::vector<ReplicaOrder>
FleetPlanningRound::Run()
{
  std::erase_if(this->planner.preparing, [&](const auto& aEntry) {
    return aEntry.second.until <= this->now;
  });
  std::erase_if(this->planner.broken,
                [&](const auto& aEntry) { return aEntry.second <= this->now; });
  this->planner.loads.Configure(
    { .loadsPerSecond = this->engine.loadsPerSecond,
      .concurrentLoads = this->engine.concurrentLoads });
  if (!this->view.entriesSettled && !this->view.beforeTraffic) {
    return {};
  }
  this->NoteModels();
  this->AdoptUnknown();
  this->Advance();
  this->FreeStrays();
  this->FormReplicas();
  this->Rebalance();
  this->PrepareSpares();
  return std::move(this->orders);
}

void
FleetPlanningRound::AdoptUnknown()
{
  for (const auto& [name, seen] : SeenReplicas(this->view.members)) {
    const TargetRecord& first = this->Find(seen.byRank.begin()->second)->record;
    const ReplicaModel* const model =
      FindModel(this->view.service, first.model);
    if (model == nullptr || name.starts_with(kSparePrefix) ||
        this->planner.replicas.contains(name) ||
        this->planner.retired.contains(
          ReplicaKey({ .replica = name, .epoch = seen.epoch }))) {
      continue;
    }
    PlannedReplica replica{ .name = name,
                            .model = model->name,
                            .domain = first.fabricDomain,
                            .epoch = seen.epoch,
                            .members = {},
                            .phase = ReplicaPhase::kJoining,
                            .since = this->now };
    for (const auto& [rank, id] : seen.byRank) {
      replica.members.push_back(id);
    }
    const MemberState state =
      seen.head == nullptr ? MemberState::kNone : seen.head->membership->state;
    if (state == MemberState::kOpen || state == MemberState::kBroken) {
      replica.phase = ReplicaPhase::kServing;
    } else if (state == MemberState::kClosing) {
      replica.phase = ReplicaPhase::kClosing;
    }
    this->planner.replicas.emplace(name, std::move(replica));
  }
}

const PlannerMember*
FleetPlanningRound::Find(std::string_view aId) const
{
  const auto found = this->view.members.find(aId);
  return found == this->view.members.end() ? nullptr : &found->second;
}

bool
FleetPlanningRound::IsUsable(std::string_view aId) const
{
  const PlannerMember* const member = this->Find(aId);
  return member != nullptr && member->IsUsable();
}

const ReplicaModel&
FleetPlanningRound::ModelOf(const PlannedReplica& aReplica) const
{
  const ReplicaModel* const model =
    FindModel(this->view.service, aReplica.model);
  // A model that the catalog dropped keeps its replicas' present size.
  return model == nullptr ? this->engine.models.front() : *model;
}

FleetPlanningRound::Warmth
FleetPlanningRound::WarmthOf(const TargetRecord& aRecord,
                             std::string_view aModel) const
{
  if (aRecord.model == aModel) {
    return Warmth::kHeld;
  }
  const auto last = this->planner.lastModels.find(aRecord.id);
  if (last != this->planner.lastModels.end() &&
      last->second.startedAt == aRecord.startedAt &&
      last->second.model == aModel) {
    return Warmth::kHeld;
  }
  const auto& staged = aRecord.stagedModels;
  return std::find(staged.begin(), staged.end(), aModel) == staged.end()
           ? Warmth::kCold
           : Warmth::kStaged;
}

Duration
FleetPlanningRound::JoinTime(const TargetRecord& aRecord,
                             const ReplicaModel& aModel) const
{
  const Warmth warmth = this->WarmthOf(aRecord, aModel.name);
  if (warmth == Warmth::kHeld) {
    return kHeldJoinTime;
  }
  const Duration time =
    warmth == Warmth::kStaged ? aModel.warmTime : aModel.loadTime;
  return this->view.beforeTraffic
           ? FromSeconds(ToSeconds(time) * kEarlyLoadFactor)
           : time;
}

const Membership*
FleetPlanningRound::CurrentMembership(const PlannedReplica& aReplica,
                                      std::string_view aMember) const
{
  const PlannerMember* const member = this->Find(aMember);
  if (member == nullptr || !member->record.membership) {
    return nullptr;
  }
  const Membership& membership = *member->record.membership;
  return membership.replica == aReplica.name &&
             membership.epoch == aReplica.epoch
           ? &membership
           : nullptr;
}

bool
FleetPlanningRound::AllReady(const PlannedReplica& aReplica) const
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
  const bool whole = aReplica.members.size() ==
                     static_cast<std::size_t>(this->ModelOf(aReplica).size);
  return whole &&
         std::all_of(aReplica.members.begin(),
                     aReplica.members.end(),
                     [&](const auto& aId) {
                       const PlannerMember* const member = this->Find(aId);
                       return member != nullptr && !member->silent &&
                              this->CurrentMembership(aReplica, aId) != nullptr;
                     });
}

bool
FleetPlanningRound::AnyLeaving(const PlannedReplica& aReplica) const
{
  return std::any_of(
    aReplica.members.begin(), aReplica.members.end(), [&](const auto& aId) {
      const PlannerMember* const member = this->Find(aId);
      return member != nullptr && member->record.leaving;
    });
}

void
FleetPlanningRound::Advance()
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
    it = ended ? replicas.erase(it) : std::next(it);
  }
}

void
FleetPlanningRound::AdvanceJoining(PlannedReplica& aReplica)
{
  const bool usable =
    std::all_of(aReplica.members.begin(),
                aReplica.members.end(),
                [&](const auto& aId) { return this->IsUsable(aId); });
  const bool whole = aReplica.members.size() ==
                     static_cast<std::size_t>(this->ModelOf(aReplica).size);
  if (!usable || !whole) {
    if (!this->Repair(aReplica)) {
      this->Dissolve(aReplica);
    }
    return;
  }
  if (this->AllReady(aReplica)) {
    aReplica.phase = ReplicaPhase::kOpening;
    aReplica.since = this->now;
    this->Give(OrderKind::kOpen, aReplica, aReplica.members.front());
    return;
  }
  Duration expected = Duration::zero();
  for (const std::string& id : aReplica.members) {
    expected =
      std::max(expected,
               this->JoinTime(this->Find(id)->record, this->ModelOf(aReplica)));
  }
  if (this->now - aReplica.since >
      expected + this->planner.options.orderSlack) {
    aReplica.since = this->now;
    this->OrderJoins(aReplica, true);
  }
}

void
FleetPlanningRound::AdvanceOpening(PlannedReplica& aReplica)
{
  if (!this->IsIntact(aReplica)) {
    if (!this->Repair(aReplica)) {
      this->Dissolve(aReplica);
    }
    return;
  }
  const Membership* const head =
    this->CurrentMembership(aReplica, aReplica.members.front());
  if (head->state == MemberState::kOpen) {
    aReplica.phase = ReplicaPhase::kServing;
    aReplica.since = this->now;
  } else if (this->now - aReplica.since >
             this->engine.openTime + this->planner.options.orderSlack) {
    aReplica.since = this->now;
    this->Give(OrderKind::kOpen, aReplica, aReplica.members.front());
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
    if (!this->Repair(aReplica)) {
      this->Dissolve(aReplica);
    }
    return;
  }
  if (this->AnyLeaving(aReplica) && !this->MayServeOn(aReplica)) {
    // What runs is finished first; the replacement joins afterwards.
    aReplica.phase = ReplicaPhase::kClosing;
    aReplica.since = this->now;
    this->Give(OrderKind::kCloseGently, aReplica, aReplica.members.front());
  }
}

bool
FleetPlanningRound::MayServeOn(const PlannedReplica& aReplica) const
{
  int usable = 0;
  for (const std::string& id : aReplica.members) {
    const PlannerMember* const member = this->Find(id);
    if (member == nullptr || !member->listed) {
      return false;
    }
    usable += member->IsUsable() ? 1 : 0;
  }
  const auto spares = this->FreeIn(aReplica.domain, aReplica.model).size();
  return this->IsUsable(aReplica.members.front()) &&
         usable + static_cast<int>(spares) < this->ModelOf(aReplica).size;
}

bool
FleetPlanningRound::AdvanceClosing(PlannedReplica& aReplica)
{
  const std::string& headId = aReplica.members.front();
  const PlannerMember* const head = this->Find(headId);
  const Membership* const membership =
    this->CurrentMembership(aReplica, headId);
  const bool running = head != nullptr && !head->silent &&
                       membership != nullptr &&
                       (membership->state == MemberState::kOpen ||
                        membership->state == MemberState::kClosing);
  if (running &&
      this->now - aReplica.since < this->planner.options.gentleClose) {
    return false;
  }
  if (running) {
    aReplica.since = this->now;
    this->Give(OrderKind::kCloseNow, aReplica, headId);
    return false;
  }
  if (this->FinishConversion(aReplica) || this->Repair(aReplica)) {
    return false;
  }
  this->Release(aReplica);
  return true;
}

void
FleetPlanningRound::MarkBroken(const PlannedReplica& aReplica)
{
  const Membership list{ .replica = aReplica.name, .epoch = aReplica.epoch };
  this->planner.broken[ReplicaKey(list)] =
    this->now + this->planner.options.tellBroken;
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
  if (members.size() < size) {
    return false;
  }
  this->BeginJoin(aReplica, std::move(members));
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
  this->planner.retired.insert(
    ReplicaKey({ .replica = aReplica.name, .epoch = aReplica.epoch }));
}

bool
FleetPlanningRound::IsPlaced(std::string_view aId) const
{
  return std::any_of(this->planner.replicas.begin(),
                     this->planner.replicas.end(),
                     [&](const auto& aEntry) {
                       const auto& members = aEntry.second.members;
                       return std::find(members.begin(), members.end(), aId) !=
                              members.end();
                     });
}

bool
FleetPlanningRound::IsLoose(const Membership& aMembership) const
{
  if (aMembership.state == MemberState::kJoining) {
    return false;
  }
  for (const auto& [id, member] : this->view.members) {
    const auto& other = member.record.membership;
    if (other && other->rank == 0 && other->replica == aMembership.replica &&
        other->epoch == aMembership.epoch) {
      return other->state == MemberState::kReady;
    }
  }
  return false;
}

bool
FleetPlanningRound::IsFree(const PlannerMember& aMember) const
{
  const auto& membership = aMember.record.membership;
  return aMember.IsUsable() && !this->IsPlaced(aMember.record.id) &&
         (!membership || this->IsLoose(*membership));
}

void
FleetPlanningRound::FreeStrays()
{
  for (const auto& [id, member] : this->view.members) {
    const auto& membership = member.record.membership;
    if (!member.IsUsable() || !membership || this->IsPlaced(id) ||
        this->planner.preparing.contains(id)) {
      continue;
    }
    const bool outlived = this->planner.replicas.contains(membership->replica);
    if (this->IsLoose(*membership) && !outlived) {
      continue;
    }
    const PlannedReplica left{ .name = membership->replica,
                               .model = member.record.model,
                               .domain = member.record.fabricDomain,
                               .epoch = membership->epoch,
                               .members = { id } };
    this->planner.preparing[id] = {
      .until = this->now + this->planner.options.orderSlack, .model = {}
    };
    this->Give(OrderKind::kLeave, left, id);
  }
}

std::vector<std::string>
FleetPlanningRound::FreeIn(std::string_view aDomain,
                           std::string_view aModel) const
{
  std::vector<std::string> free;
  for (const auto& [id, member] : this->view.members) {
    if (member.record.fabricDomain != aDomain || !this->IsFree(member)) {
      continue;
    }
    if (this->view.beforeTraffic ||
        this->WarmthOf(member.record, aModel) != Warmth::kCold) {
      free.push_back(id);
    }
  }
  // Of equally warm targets, those that could do nothing else come first.
  const auto rank = [&](const std::string& aId) {
    const TargetRecord& record = this->Find(aId)->record;
    const auto uses = std::count_if(
      this->engine.models.begin(),
      this->engine.models.end(),
      [&](const ReplicaModel& aOther) {
        return this->WarmthOf(record, aOther.name) != Warmth::kCold;
      });
    return std::pair(this->WarmthOf(record, aModel), uses);
  };
  std::stable_sort(
    free.begin(), free.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  return free;
}

int
FleetPlanningRound::ReplicasOf(std::string_view aModel) const
{
  return static_cast<int>(std::count_if(
    this->planner.replicas.begin(),
    this->planner.replicas.end(),
    [&](const auto& aEntry) { return aEntry.second.model == aModel; }));
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
  const bool isShort =
    std::any_of(this->engine.models.begin(),
                this->engine.models.end(),
                [&](const ReplicaModel& aModel) {
                  return this->StrainOf(aModel, this->ReplicasOf(aModel.name)) >
                         this->planner.options.shortStrain;
                });
  if (!isShort || this->view.beforeTraffic) {
    return;
  }
  for (const ReplicaModel* const model : this->ModelsBySize()) {
    while (this->FormOne(*model)) {
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

std::vector<std::string>
FleetPlanningRound::ConversionMembers(const PlannedReplica& aReplica,
                                      const ReplicaModel& aModel) const
{
  std::vector<std::string> members;
  for (const std::string& id : aReplica.members) {
    if (this->IsUsable(id) &&
        this->WarmthOf(this->Find(id)->record, aModel.name) != Warmth::kCold) {
      members.push_back(id);
    }
  }
  for (const std::string& id : this->FreeIn(aReplica.domain, aModel.name)) {
    members.push_back(id);
  }
  const auto size = static_cast<std::size_t>(aModel.size);
  if (members.size() < size) {
    return {};
  }
  members.resize(size);
  return members;
}

bool
FleetPlanningRound::CanConvert(const PlannedReplica& aReplica,
                               const ReplicaModel& aModel) const
{
  return aReplica.phase == ReplicaPhase::kServing &&
         !this->ConversionMembers(aReplica, aModel).empty();
}

void
FleetPlanningRound::Rebalance()
{
  if (this->now - this->planner.convertedAt <
        this->planner.options.convertEvery ||
      this->engine.models.size() < 2) {
    return;
  }
  const auto strain = [&](const ReplicaModel& aModel, int aMore) {
    return this->StrainOf(aModel, this->ReplicasOf(aModel.name) + aMore);
  };
  const auto worse = [&](const ReplicaModel& aL, const ReplicaModel& aR) {
    return strain(aL, 0) < strain(aR, 0);
  };
  const auto [best, worst] = std::minmax_element(
    this->engine.models.begin(), this->engine.models.end(), worse);
  const double present = strain(*worst, 0);
  if (present <= 1 ||
      strain(*best, -1) >= present * this->planner.options.convertMargin) {
    return;
  }
  for (auto& [name, replica] : this->planner.replicas) {
    if (replica.model == best->name && this->CanConvert(replica, *worst)) {
      this->planner.convertedAt = this->now;
      replica.nextModel = worst->name;
      replica.phase = ReplicaPhase::kClosing;
      replica.since = this->now;
      this->Give(OrderKind::kCloseGently, replica, replica.members.front());
      return;
    }
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
  std::vector<std::string> members = this->ConversionMembers(aReplica, *model);
  if (members.empty()) {
    return false;
  }
  aReplica.model = model->name;
  this->BeginJoin(aReplica, std::move(members));
  return true;
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
  int have = static_cast<int>(this->FreeIn(aDomain, aModel.name).size());
  for (const auto& [id, preparation] : this->planner.preparing) {
    const PlannerMember* const member = this->Find(id);
    const bool here =
      member != nullptr && member->record.fabricDomain == aDomain;
    have += here && preparation.model == aModel.name && !this->IsFree(*member)
              ? 1
              : 0;
  }
  return aModel.size - have % aModel.size;
}

const ReplicaModel&
FleetPlanningRound::SpareModelFor(const TargetRecord& aRecord) const
{
  // The loads that are still missing for a whole replica here, by how much
  // the model needs one.
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

void
FleetPlanningRound::BeginJoin(PlannedReplica& aReplica,
                              std::vector<std::string> aMembers)
{
  aReplica.members = std::move(aMembers);
  aReplica.epoch = this->planner.epochs();
  aReplica.phase = ReplicaPhase::kJoining;
  aReplica.since = this->now;
  this->OrderJoins(aReplica, false);
}

void
FleetPlanningRound::OrderJoins(const PlannedReplica& aReplica,
                               bool aOnlyMissing)
{
  for (const std::string& id : aReplica.members) {
    if (!aOnlyMissing || this->CurrentMembership(aReplica, id) == nullptr) {
      this->Give(OrderKind::kJoin, aReplica, id);
    }
  }
}

bool
FleetPlanningRound::HoldsNothing(const TargetRecord& aRecord) const
{
  return std::all_of(this->engine.models.begin(),
                     this->engine.models.end(),
                     [&](const ReplicaModel& aModel) {
                       return this->WarmthOf(aRecord, aModel.name) !=
                              Warmth::kHeld;
                     });
}

void
FleetPlanningRound::PrepareSpares()
{
  // A target that holds nothing cannot serve at all; it goes first.
  bool waiting = false;
  for (const auto& [id, member] : this->view.members) {
    if (!this->planner.preparing.contains(id) && this->IsFree(member) &&
        this->HoldsNothing(member.record)) {
      waiting = !this->WarmUp(member.record) || waiting;
    }
  }
  // Targets that come later must not find the weight store busy.
  if (waiting ||
      (!this->view.beforeTraffic && this->planner.loads.Running(this->now) >=
                                      this->planner.options.stagingLoads)) {
    return;
  }
  for (const auto& [id, member] : this->view.members) {
    if (!this->planner.preparing.contains(id) && member.IsUsable() &&
        !this->HoldsNothing(member.record)) {
      this->StageOther(member.record);
    }
  }
}

bool
FleetPlanningRound::MayLoad(Duration aExpected)
{
  return this->view.beforeTraffic ||
         this->planner.loads.TryBegin(aExpected, this->now);
}

const ReplicaModel&
FleetPlanningRound::WarmUpModelFor(const TargetRecord& aRecord) const
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
  const ReplicaModel& model = this->WarmUpModelFor(aRecord);
  const Duration expected = this->JoinTime(aRecord, model);
  const bool loads = this->WarmthOf(aRecord, model.name) == Warmth::kCold;
  if (loads && !this->MayLoad(expected)) {
    return false;
  }
  const PlannedReplica alone{
    .name = fmt::format("{}{}", kSparePrefix, aRecord.id),
    .model = model.name,
    .domain = aRecord.fabricDomain,
    .epoch = this->planner.epochs(),
    .members = { aRecord.id },
  };
  this->planner.preparing[aRecord.id] = {
    .until = this->now + expected + this->planner.options.orderSlack,
    .model = model.name
  };
  this->Give(OrderKind::kJoin, alone, aRecord.id);
  return true;
}

void
FleetPlanningRound::StageOther(const TargetRecord& aRecord)
{
  for (const ReplicaModel& model : this->engine.models) {
    if (this->WarmthOf(aRecord, model.name) != Warmth::kCold) {
      continue;
    }
    const auto& membership = aRecord.membership;
    const bool joining =
      membership && membership->state == MemberState::kJoining;
    const Duration expected = this->JoinTime(aRecord, model);
    if (joining || !this->MayLoad(expected)) {
      return;
    }
    this->planner.preparing[aRecord.id] = {
      .until = this->now + expected + this->planner.options.orderSlack,
      .model = {}
    };
    const PlannedReplica staged{
      .name = {}, .model = model.name, .domain = {}, .members = { aRecord.id }
    };
    this->Give(OrderKind::kStage, staged, aRecord.id);
    return;
  }
}

void
FleetPlanningRound::Give(OrderKind aKind,
                         const PlannedReplica& aReplica,
                         const std::string& aTarget)
{
  const PlannerMember* const member = this->Find(aTarget);
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
