#include "replicas/RoundIndex.h"

namespace apricottrack {

RoundIndex::RoundIndex(const PlannerMembers& aMembers)
{
  for (const auto& [id, member] : aMembers) {
    this->domains[member.record.fabricDomain].push_back(&member);
    const auto& membership = member.record.membership;
    if (membership && membership->rank == 0) {
      this->headStates.emplace(ReplicaKey(*membership), membership->state);
    }
  }
}

const std::vector<const PlannerMember*>&
RoundIndex::TargetsIn(std::string_view aDomain) const
{
  static const std::vector<const PlannerMember*> kNoTargets;
  const auto found = this->domains.find(aDomain);
  return found == this->domains.end() ? kNoTargets : found->second;
}

MemberState
RoundIndex::HeadState(const Membership& aMembership) const
{
  const auto found = this->headStates.find(ReplicaKey(aMembership));
  return found == this->headStates.end() ? MemberState::kNone : found->second;
}

void
RoundIndex::AddPlanned(const std::vector<std::string>& aMembers)
{
  for (const std::string& id : aMembers) {
    ++this->plannedCounts[id];
  }
}

void
RoundIndex::RemovePlanned(const std::vector<std::string>& aMembers)
{
  for (const std::string& id : aMembers) {
    const auto found = this->plannedCounts.find(id);
    if (found != this->plannedCounts.end() && --found->second <= 0) {
      this->plannedCounts.erase(found);
    }
  }
}

bool
RoundIndex::IsPlanned(std::string_view aId) const
{
  return this->plannedCounts.contains(std::string(aId));
}

} // namespace apricottrack
