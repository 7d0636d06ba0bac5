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

struct PlannedMember
{
  std::string vm;
  /// The target's incarnation when it was planned; a restarted target does
  /// not count as this member.
  std::string incarnation;
  std::string address;

  friend bool operator==(const PlannedMember&, const PlannedMember&) = default;
};

enum class AssignmentState
{
  kActive,
  /// Takes no new requests and ends once its last request has ended.
  kDraining,
};

/// One replica group as planned. The first member takes its requests.
struct Assignment
{
  std::string group;
  std::string set;
  std::string service;
  /// Fencing number of the orders for this assignment.
  std::uint64_t epoch = 0;
  AssignmentState state = AssignmentState::kActive;
  /// When it started to drain; zero while active.
  UnixMillis drainingSince = 0;
  std::vector<PlannedMember> members;

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// A VM that was taken out of a group and may still follow its old order.
struct Release
{
  std::string vm;
  std::string incarnation;

  friend bool operator==(const Release&, const Release&) = default;
};

/// All assignments of one fabric domain: one value in the platform's
/// service, replaced as a whole by compare-and-swap, so that no VM can be
/// planned into two groups whoever plans.
struct DomainPlan
{
  std::string domain;
  /// Grows with every change; source of fencing numbers.
  std::uint64_t epoch = 0;
  /// Identifies the write, so that a lost reply can be resolved.
  std::string author;
  std::vector<Assignment> assignments;
  std::vector<Release> releases;

  friend bool operator==(const DomainPlan&, const DomainPlan&) = default;
};

using DomainPlans = std::map<std::string, DomainPlan, std::less<>>;

std::string
EncodeDomainPlan(const DomainPlan& aPlan);

Result<DomainPlan>
ParseDomainPlan(std::string_view aText, std::string_view aPeer);

} // namespace apricottrack

#endif
