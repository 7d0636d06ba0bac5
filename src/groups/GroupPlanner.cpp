#include "groups/GroupPlanner.h"

#include "groups/PlanningRound.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

namespace {

constexpr double kSecondsPerDay = 86'400;

} // namespace

GroupPlanner::GroupPlanner(Options aOptions)
  : options(aOptions)
{
}

int
GroupPlanner::RequiredSpares(const GroupPolicy& aPolicy,
                             int aGroupSize,
                             int aGroupsInDomain) const
{
  // Each time a VM of the domain's groups fails, a spare saves its group the
  // downtime until a replacement VM is available. The spare itself is idle all
  // the time.
  const double replacementDays =
    ToSeconds(this->options.replacementTime) / kSecondsPerDay;
  const double expectedFailures = this->options.failuresPerVmDay *
                                  replacementDays * aGroupSize *
                                  aGroupsInDomain;
  const double savedDowntimeCost =
    aPolicy.downtimeWeight * expectedFailures * aGroupSize;
  return savedDowntimeCost > aPolicy.strandedWeight ? 1 : 0;
}

std::vector<DomainPlan>
GroupPlanner::Plan(const PlannerView& aView,
                   UnixMillis aWallNow,
                   Instant aNow) const
{
  return PlanningRound(this->options, *this, aView, aWallNow, aNow).Run();
}

namespace {

Order
MakeOrder(const Assignment& aAssignment, std::size_t aRank)
{
  Order order{ .vm = aAssignment.members[aRank].vm,
               .address = aAssignment.members[aRank].address,
               .epoch = aAssignment.epoch,
               .group = aAssignment.group,
               .service = aAssignment.service,
               .rank = static_cast<int>(aRank),
               .memberAddresses = {} };
  for (const PlannedMember& member : aAssignment.members) {
    order.memberAddresses.push_back(member.address);
  }
  return order;
}

} // namespace

std::vector<Order>
GroupPlanner::OrdersFor(const PlannerView& aView, Instant aNow) const
{
  std::vector<Order> orders;
  std::set<std::string_view> plannedVms;
  for (const auto& [domain, plan] : aView.plans) {
    for (const Assignment& assignment : plan.assignments) {
      for (std::size_t i = 0; i < assignment.members.size(); ++i) {
        const PlannedMember& member = assignment.members[i];
        plannedVms.insert(member.vm);
        const auto found = aView.reports.find(member.vm);
        if (found == aView.reports.end() ||
            aNow - found->second.probedAt > this->options.lossTimeout ||
            found->second.incarnation != member.incarnation) {
          continue;
        }
        if (found->second.group != assignment.group ||
            found->second.epoch != assignment.epoch) {
          orders.push_back(MakeOrder(assignment, i));
        }
      }
    }
  }
  for (const Vm& vm : aView.vms) {
    const auto found = aView.reports.find(vm.id);
    const auto plan = aView.plans.find(vm.fabricDomain);
    if (!plannedVms.contains(vm.id) && found != aView.reports.end() &&
        plan != aView.plans.end() && !found->second.group.empty() &&
        found->second.epoch <= plan->second.epoch) {
      orders.push_back(Order{ .vm = vm.id,
                              .address = vm.address,
                              .epoch = plan->second.epoch,
                              .group = {},
                              .service = {},
                              .rank = 0,
                              .memberAddresses = {} });
    }
  }
  return orders;
}

} // namespace apricottrack
