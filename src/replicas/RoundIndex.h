#ifndef APRICOTTRACK_REPLICAS_ROUNDINDEX_H
#define APRICOTTRACK_REPLICAS_ROUNDINDEX_H

#include "replicas/FleetPlanner.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Lookup tables over the targets and replicas of one planning round. They keep
/// the cost of a round linear in the number of targets. Owned by a
/// FleetPlanningRound.
class RoundIndex
{
public:
  using TargetsByDomain =
    std::map<std::string_view, std::vector<const PlannerMember*>>;

  /// `aMembers` must outlive the index.
  explicit RoundIndex(const PlannerMembers& aMembers);

  /// Targets by fabric domain; those of a domain are sorted by id.
  const TargetsByDomain& Domains() const { return this->domains; }
  /// Targets of one domain, sorted by id.
  const std::vector<const PlannerMember*>& TargetsIn(
    std::string_view aDomain) const;

  /// Returns what the head of a list of members reports about itself, or kNone
  /// if no target reports to be its head.
  MemberState HeadState(const Membership& aMembership) const;

  /// Records that a planned replica got or gave up a list of members. A target
  /// that moves between replicas may be in two lists for a while.
  void AddPlanned(const std::vector<std::string>& aMembers);
  void RemovePlanned(const std::vector<std::string>& aMembers);
  /// Returns true if the target is a member of a planned replica.
  bool IsPlanned(std::string_view aId) const;

private:
  TargetsByDomain domains;
  /// By ReplicaKey.
  std::unordered_map<std::string, MemberState> headStates;
  /// Number of planned replicas that list a target, by target id.
  std::unordered_map<std::string, int> plannedCounts;
};

} // namespace apricottrack

#endif
