#ifndef APRICOTTRACK_GROUPS_GROUPPLANNER_H
#define APRICOTTRACK_GROUPS_GROUPPLANNER_H

#include "apricottrack/Configuration.h"
#include "groups/DomainPlan.h"
#include "groups/Vm.h"

#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// Input of a planning round.
struct PlannerView
{
  const Configuration& configuration;
  const VmList& vms;
  const MemberReports& reports;
  /// VMs marked as leaving in the platform's list or by an operator.
  const std::set<std::string, std::less<>>& leaving;
  /// VMs in evacuated availability zones. They join no further group; a group
  /// of such VMs alone stays formed.
  const std::set<std::string, std::less<>>& evacuated;
  const DomainPlans& plans;
  /// Start of the current period of uninterrupted probing by this node. A
  /// missing report says nothing about a member until this period is longer
  /// than the loss timeout.
  Instant observingSince;
};

/// An order to issue to a target: join a group as planned, or leave it.
struct Order
{
  std::string vm;
  std::string address;
  /// Fencing number; never decreases within a fabric domain.
  std::uint64_t epoch = 0;
  /// Empty: the target must give up the order that it holds.
  std::string group;
  std::string service;
  /// Position of the target among the group's members; 0 is the first.
  int rank = 0;
  std::vector<std::string> memberAddresses;

  friend bool operator==(const Order&, const Order&) = default;
};

/// Forms, repairs and drains replica groups by replacing whole domain plans.
/// Keeps no state between rounds, so that any node can run the next one.
class GroupPlanner
{
public:
  /// How the fabric domain of a new group is chosen.
  enum class Placement
  {
    /// The domain that is left with the fewest unassigned VMs.
    kBestFit,
    /// The first domain with enough VMs; a baseline for measurements.
    kFirstFit,
  };

  /// When a member without a recent report counts as lost.
  enum class LossRule
  {
    /// Only if this planner has probed without interruption for longer than
    /// the loss timeout and has a recent report of another VM. Otherwise the
    /// fault may be the planner's own.
    kWhileProbing,
    /// Always. For tests only: shows that the scenario checker detects a
    /// planner that replaces intact members after a fault of its own.
    kAlways,
  };

  struct Options
  {
    LossRule lossRule = LossRule::kWhileProbing;
    Placement placement = Placement::kBestFit;
    /// Maximum age of a member's last report before it is replaced.
    Duration lossTimeout = seconds(3);
    /// Minimum draining time: by then all nodes have stopped sending requests
    /// to the group.
    Duration minDrainTime = seconds(3);
    /// Maximum draining time: the group is dissolved even if requests still
    /// run.
    Duration maxDrainTime = seconds(600);
    /// Expected failures per VM and day. With the replacement time it
    /// determines whether a spare VM is worth its cost.
    double failuresPerVmDay = 7.0 / 2400;
    /// Time until the platform provides a replacement for a failed VM.
    Duration replacementTime = seconds(600);
  };

  explicit GroupPlanner(Options aOptions);

  /// Returns the plans that should replace the current ones, each with a
  /// higher epoch. Empty if nothing needs to change.
  std::vector<DomainPlan> Plan(const PlannerView& aView,
                               UnixMillis aWallNow,
                               Instant aNow) const;

  /// Returns orders for the targets whose last report differs from the plans: a
  /// planned member without the planned order gets it, a target outside of all
  /// plans must give up its order unless that is newer than the known plan of
  /// its domain. Members that have restarted or have no recent report get none.
  std::vector<Order> OrdersFor(const PlannerView& aView, Instant aNow) const;

  /// Returns the number of spare VMs to keep in a fabric domain (0 or 1): a
  /// spare is kept if the downtime that it is expected to save outweighs its
  /// own idle time, by the weights of the policy.
  int RequiredSpares(const GroupPolicy& aPolicy,
                     int aGroupSize,
                     int aGroupsInDomain) const;

private:
  Options options;
};

} // namespace apricottrack

#endif
