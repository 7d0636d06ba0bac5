#ifndef APRICOTTRACK_GROUPS_DOMAINPLAN_H
#define APRICOTTRACK_GROUPS_DOMAINPLAN_H

#include "apricottrack/Error.h"
#include "apricottrack/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// A VM that a plan makes a member of a replica group.
struct PlannedMember
{
  std::string vm;
  /// Incarnation of the target when it was planned. After a restart the
  /// target reports another one and no longer counts as this member.
  std::string incarnation;
  std::string address;

  friend bool operator==(const PlannedMember&, const PlannedMember&) = default;
};

enum class AssignmentState
{
  kActive,
  /// Accepts no new requests and is dissolved after its last one has ended.
  kDraining,
};

/// One replica group as planned. Its requests are sent to the first member.
struct Assignment
{
  std::string group;
  /// Name of the group set in the configuration.
  std::string set;
  std::string service;
  /// Fencing number of the orders issued for this assignment.
  std::uint64_t epoch = 0;
  AssignmentState state = AssignmentState::kActive;
  /// When draining started; zero while active.
  UnixMillis drainingSince = 0;
  std::vector<PlannedMember> members;

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// A VM that was removed from a group whose targets ignore fencing numbers. It
/// may still hold its old order, so it is not assigned again until it reports
/// that it holds none, or a new incarnation.
struct Release
{
  std::string vm;
  std::string incarnation;

  friend bool operator==(const Release&, const Release&) = default;
};

/// All assignments of one fabric domain, stored as one value in the platform's
/// key-value service. A planner replaces the value by compare-and-swap, so that
/// concurrent planners cannot assign one VM to two groups.
struct DomainPlan
{
  std::string domain;
  /// Increases with every change; source of the fencing numbers.
  std::uint64_t epoch = 0;
  /// Identifies the write, so that a writer whose reply was lost can find out
  /// whether its write took effect.
  std::string author;
  std::vector<Assignment> assignments;
  std::vector<Release> releases;

  friend bool operator==(const DomainPlan&, const DomainPlan&) = default;
};

/// Plans by fabric domain.
using DomainPlans = std::map<std::string, DomainPlan, std::less<>>;

/// Returns the stored JSON form of a plan.
std::string
EncodeDomainPlan(const DomainPlan& aPlan);

/// Parses a stored plan; assignments without members are left out. Fails with
/// kBadReply, with `aAddress` as the error's peer, if the text is not a JSON
/// object.
Result<DomainPlan>
ParseDomainPlan(std::string_view aText, std::string_view aAddress);

} // namespace apricottrack

#endif
