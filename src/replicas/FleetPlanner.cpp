#include "replicas/FleetPlanner.h"

#include "replicas/FleetPlanningRound.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

FleetPlanner::FleetPlanner(Options aOptions, EpochSource aEpochs)
  : options(aOptions)
  , epochs(std::move(aEpochs))
{
}

std::vector<ReplicaOrder>
FleetPlanner::Round(const FleetPlannerView& aView, Instant aNow)
{
  return FleetPlanningRound(*this, aView, aNow).Run();
}

std::set<std::string>
FleetPlanner::Broken(Instant aNow) const
{
  std::set<std::string> keys;
  for (const auto& [key, until] : this->broken) {
    if (aNow < until) {
      keys.insert(key);
    }
  }
  return keys;
}

std::set<std::string>
FleetPlanner::Vouched(const PlannerMembers& aMembers) const
{
  std::set<std::string> vouched;
  for (const auto& [name, replica] : this->replicas) {
    bool answers = replica.phase == ReplicaPhase::kServing;
    bool listed = true;
    for (const std::string& id : replica.members) {
      const auto found = aMembers.find(id);
      answers = answers && found != aMembers.end() && !found->second.silent;
      listed = listed && found != aMembers.end() && found->second.listed;
    }
    if (answers && !listed) {
      vouched.insert(
        ReplicaKey({ .replica = replica.name, .epoch = replica.epoch }));
    }
  }
  return vouched;
}

std::string
FleetPlanner::DescribeFree(const PlannerMembers& aMembers) const
{
  std::set<std::string_view> placed;
  for (const auto& [name, replica] : this->replicas) {
    placed.insert(replica.members.begin(), replica.members.end());
  }
  std::map<std::string_view, std::pair<int, int>> free;
  for (const auto& [id, member] : aMembers) {
    auto& [warm, cold] = free[member.record.fabricDomain];
    if (member.IsUsable() && !placed.contains(id)) {
      ++(member.record.model.empty() ? cold : warm);
    }
  }
  std::string text;
  for (const auto& [domain, counts] : free) {
    text += fmt::format(
      "{}{}+{}", text.empty() ? "" : ",", counts.first, counts.second);
  }
  return text;
}

int
FleetPlanner::Count(std::string_view aModel, ReplicaPhase aPhase) const
{
  return static_cast<int>(std::count_if(
    this->replicas.begin(), this->replicas.end(), [&](const auto& aEntry) {
      return aEntry.second.model == aModel && aEntry.second.phase == aPhase;
    }));
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
