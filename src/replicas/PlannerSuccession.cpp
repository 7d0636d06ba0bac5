#include "replicas/PlannerSuccession.h"

#include <algorithm>

namespace apricottrack {

void
PlannerSuccession::OnStart(bool aIsRestart, Instant aNow)
{
  this->isRestart = aIsRestart;
  this->startedAt = aNow;
  this->noPlannerSince = aNow;
}

void
PlannerSuccession::OnPlannerFollowed(Instant aNow)
{
  this->noPlannerSince = aNow;
  this->isLastHolder = false;
}

void
PlannerSuccession::OnOtherHolder(Instant aNow)
{
  this->noPlannerSince = aNow;
  this->isLastHolder = false;
}

bool
PlannerSuccession::MayQuery(Instant aNow) const
{
  const bool hasRestarted =
    this->isRestart && aNow - this->startedAt < this->options.restartQueryTime;
  return this->options.isLargeVm || hasRestarted ||
         aNow - this->noPlannerSince >= this->options.smallVmQueryDelay;
}

bool
PlannerSuccession::MayAcquire(const View& aView, Instant aNow) const
{
  if (!aView.trustsStore) {
    return false;
  }
  if (aView.isIsolated &&
      aNow - this->noPlannerSince < this->options.isolatedTakeoverDelay) {
    return false;
  }
  if (this->ContinuesTerm(aNow)) {
    return true;
  }
  if (aView.plannerResponds &&
      aNow - this->storeFailedAt < this->options.returnTime) {
    return false;
  }
  // While the store is unavailable, no node can take the lease, so this time
  // does not count.
  const Duration noPlannerFor =
    aNow - std::max(this->noPlannerSince, this->storeFailedAt);
  // A node that takes the lease before its entries have settled relays what the
  // store lists, and issues no orders until they have.
  const bool entriesUsable =
    aView.entriesUsable || noPlannerFor >= this->options.unsettledTakeoverDelay;
  return entriesUsable && (this->options.isLargeVm ||
                           noPlannerFor >= this->options.smallVmTakeoverDelay);
}

bool
PlannerSuccession::ContinuesTerm(Instant aNow) const
{
  return this->isLastHolder && this->termEndedAt && !this->hasResigned &&
         aNow - *this->termEndedAt < this->options.returnTime;
}

} // namespace apricottrack
