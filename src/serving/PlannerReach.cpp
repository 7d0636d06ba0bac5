#include "base/Log.h"
#include "serving/PlannerTask.h"

// The part of PlannerTask that keeps a node that reaches no target from
// planning.
namespace apricottrack {

void
PlannerTask::OnReachJudged(Instant aNow)
{
  const bool isIsolated = this->context.reach.IsIsolated();
  if (this->wasIsolated && !isIsolated) {
    // The reports were missed because of this node.
    for (auto& [target, probe] : this->probes) {
      probe.ForgetMissed();
    }
  }
  this->wasIsolated = isIsolated;
  if (this->isPlanner) {
    this->RunRound(aNow);
  }
}

void
PlannerTask::ResignIfIsolated(Instant aNow)
{
  const bool othersReachTargets = !this->context.forwardingNodes.empty();
  if (!this->isPlanner || !othersReachTargets || !this->lease.HasLease() ||
      this->context.reach.IsolatedFor(aNow) < this->options.resignDelay) {
    return;
  }
  LogLine("planner_resigns")
    .With("fence", this->fencingToken)
    .With("isolated_ms",
          this->context.reach.IsolatedFor(aNow) / milliseconds(1))
    .Warn();
  this->context.counters.Add("planner_resigned");
  this->succession.OnResigned(aNow);
  this->lease.Resign();
}

} // namespace apricottrack
