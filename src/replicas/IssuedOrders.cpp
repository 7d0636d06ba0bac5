#include "replicas/IssuedOrders.h"

#include <algorithm>

namespace apricottrack {

void
IssuedOrders::OnIssued(const ReplicaOrder& aOrder)
{
  if (aOrder.kind == OrderKind::kJoin) {
    std::int64_t& newest = this->newestJoinEpochs[aOrder.target];
    newest = std::max(newest, aOrder.epoch);
  }
}

std::int64_t
IssuedOrders::NewestJoinEpoch(std::string_view aTarget) const
{
  const auto found = this->newestJoinEpochs.find(aTarget);
  return found == this->newestJoinEpochs.end() ? 0 : found->second;
}

bool
IssuedOrders::ShowsNewerPlanner(const ReplicaOrder& aRefused) const
{
  // Targets also refuse a join whose epoch is older than one they have seen,
  // and orders may arrive in any sequence.
  return aRefused.kind != OrderKind::kJoin ||
         aRefused.epoch >= this->NewestJoinEpoch(aRefused.target);
}

} // namespace apricottrack
