#ifndef APRICOTTRACK_REPLICAS_ISSUEDORDERS_H
#define APRICOTTRACK_REPLICAS_ISSUEDORDERS_H

#include "replicas/ReplicaOrder.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace apricottrack {

/// Remembers which orders this planner has issued under its fencing token, to
/// judge what a target's refusal means. PlannerTask has one.
class IssuedOrders
{
public:
  /// Forgets all orders; called when this node takes the lease.
  void Clear() { this->newestJoinEpochs.clear(); }

  /// Records an order before it is sent.
  void OnIssued(const ReplicaOrder& aOrder);

  /// Returns the highest epoch that the target was ordered to join; zero
  /// without one.
  std::int64_t NewestJoinEpoch(std::string_view aTarget) const;

  /// Returns true if a target that refused this order as outdated must have
  /// seen orders of a newer planner.
  bool ShowsNewerPlanner(const ReplicaOrder& aRefused) const;

private:
  /// By target id.
  std::map<std::string, std::int64_t, std::less<>> newestJoinEpochs;
};

} // namespace apricottrack

#endif
