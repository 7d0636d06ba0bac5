#ifndef APRICOTTRACK_GROUPS_GROUPPLANNER_H
#define APRICOTTRACK_GROUPS_GROUPPLANNER_H

#include "apricottrack/Configuration.h"
#include "groups/DomainPlan.h"
#include "groups/Vm.h"

#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// All that a planning round looks at.
struct PlannerView
{
  const Configuration& configuration;
  const VmList& vms;
  const MemberReports& reports;
  /// VMs that the platform's list or an operator calls leaving.
  const std::set<std::string, std::less<>>& leaving;
  const DomainPlans& plans;
  /// Since when this node's probes have run without a gap. Before it nothing
  /// can be said of a member that was not heard.
  Instant observingSince;
};

/// An order that a target should be given.
struct Order
{
  std::string vm;
  std::string address;
  /// Fencing number; never falls within a fabric domain.
  std::uint64_t epoch = 0;
  /// Empty: drop any order held.
  std::string group;
  std::string service;
  int rank = 0;
  std::vector<std::string> memberAddresses;

  friend bool operator==(const Order&, const Order&) = default;
};

/// Forms, repairs and drains replica groups. Works on whole domain plans and
/// keeps nothing between rounds, so that any node can plan next.
class GroupPlanner
{
public:
  enum class Placement
  {
    /// Into the domain that is left with the fewest free VMs.
    kBestFit,
    /// Into the first domain with room; a baseline for measurements.
    kFirstFit,
  };

  enum class SilenceRule
  {
    /// A member is lost if it stays silent to a planner that was listening
    /// all the while and hears others.
    kWhileListening,
    /// Silence means loss. For proofs only: it must be caught by checkers.
    kAlways,
  };

  struct Options
  {
    SilenceRule silence = SilenceRule::kWhileListening;
    Placement placement = Placement::kBestFit;
    /// A member unheard for longer is replaced.
    Duration lostAfter = seconds(3);
    /// Time for all nodes to have stopped sending to a draining group.
    Duration drainSettle = seconds(3);
    /// A draining group is ended after this, whatever still runs.
    Duration drainLimit = seconds(600);
    /// Expected failures of one VM a day, and the time until the platform
    /// brings a replacement: they price a spare.
    double failuresPerVmDay = 7.0 / 2400;
    Duration replacementTime = seconds(600);
  };

  explicit GroupPlanner(Options aOptions);

  /// The plans that should replace the present ones; each has a higher
  /// epoch. Empty where nothing needs to change.
  std::vector<DomainPlan> Plan(const PlannerView& aView,
                               UnixMillis aWallNow,
                               Instant aNow) const;

  /// Orders that bring targets in line with the plans.
  std::vector<Order> OrdersFor(const PlannerView& aView, Instant aNow) const;

  /// VMs kept free in a fabric domain, from the declared weights.
  int SparesWanted(const GroupPolicy& aPolicy,
                   int aGroupSize,
                   int aGroupsInDomain) const;

private:
  Options options;
};

} // namespace apricottrack

#endif
