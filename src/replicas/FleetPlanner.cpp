#include "replicas/FleetPlanner.h"

#include "replicas/FleetPlanningRound.h"

namespace apricottrack {

namespace {

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

FleetPlanner::FleetPlanner(Options aOptions, EpochSource aEpochs)
  : options(aOptions)
  , epochs(std::move(aEpochs))
{
}

void
FleetPlanner::Adopt(const FleetPlannerView& aView, Instant aNow)
{
  this->replicas.clear();
  this->preparing.clear();
  const EngineSpec& engine = *aView.service.engine;
  this->loads = LoadLimiter();
  this->loads.Configure({ .loadsPerSecond = engine.loadsPerSecond,
                          .concurrentLoads = engine.concurrentLoads });
  for (const auto& [name, seen] : SeenReplicas(aView.members)) {
    const TargetRecord& first =
      aView.members.find(seen.byRank.begin()->second)->second.record;
    const ReplicaModel* const model = FindModel(aView.service, first.model);
    // A target alone in a replica is a spare that holds the weights.
    if (model == nullptr ||
        (seen.byRank.size() == 1 && model->size > 1 &&
         (seen.head == nullptr ||
          seen.head->membership->state != MemberState::kOpen))) {
      continue;
    }
    PlannedReplica replica{ .name = name,
                            .model = model->name,
                            .domain = first.fabricDomain,
                            .epoch = seen.epoch,
                            .members = {},
                            .phase = ReplicaPhase::kJoining,
                            .since = aNow };
    for (const auto& [rank, id] : seen.byRank) {
      replica.members.push_back(id);
    }
    if (seen.head != nullptr) {
      const MemberState state = seen.head->membership->state;
      if (state == MemberState::kOpen || state == MemberState::kBroken) {
        replica.phase = ReplicaPhase::kServing;
      } else if (state == MemberState::kClosing) {
        replica.phase = ReplicaPhase::kClosing;
      }
    }
    this->replicas.emplace(name, std::move(replica));
  }
}

std::vector<ReplicaOrder>
FleetPlanner::Round(const FleetPlannerView& aView, Instant aNow)
{
  return FleetPlanningRound(*this, aView, aNow).Run();
}

std::set<std::string>
FleetPlanner::Awaited() const
{
  std::set<std::string> awaited;
  for (const auto& [name, replica] : this->replicas) {
    if (replica.phase == ReplicaPhase::kJoining) {
      awaited.insert(replica.members.begin(), replica.members.end());
    } else if (replica.phase != ReplicaPhase::kServing) {
      awaited.insert(replica.members.front());
    }
  }
  return awaited;
}

} // namespace apricottrack
