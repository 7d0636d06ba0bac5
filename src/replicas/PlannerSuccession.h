#ifndef APRICOTTRACK_REPLICAS_PLANNERSUCCESSION_H
#define APRICOTTRACK_REPLICAS_PLANNERSUCCESSION_H

#include "apricottrack/Time.h"

#include <optional>

namespace apricottrack {

/// Decides when a node may ask for the planner's lease and take it, and whether
/// it then continues its own previous term. Each node's PlannerTask has one.
class PlannerSuccession
{
public:
  struct Options
  {
    /// This VM has the processor time to plan; small ones take the lease only
    /// if no large one does.
    bool isLargeVm = true;
    /// Time without a planner after which a small VM may take the lease; long
    /// enough for large VMs, also ones that have just started.
    Duration smallVmTakeoverDelay = milliseconds(6000);
    /// Time without a planner after which a small VM asks the store for the
    /// lease holder; by then a large VM has probably taken the lease.
    Duration smallVmQueryDelay = milliseconds(1200);
    /// Time after a restart within which a small VM asks for the holder without
    /// that delay: mostly there is one, and following it is much cheaper than
    /// to list the store.
    Duration restartQueryTime = milliseconds(2000);
    /// Time without a planner after which a node may take the lease although
    /// expired entries may still be missing from the fleet that it knows.
    Duration unsettledTakeoverDelay = milliseconds(400);
    /// Time after a failed store call for which a planner that still responds
    /// may take its expired lease again. It needs up to the timeout of a call
    /// and the interval between two calls to notice that the store is back.
    Duration returnTime = milliseconds(2000);
    /// Time without a planner after which an isolated node may take the lease:
    /// then probably no node reaches a target, and one has to relay what the
    /// store lists.
    Duration isolatedTakeoverDelay = milliseconds(3000);
  };

  /// What the node knows when it may take the lease.
  struct View
  {
    /// The fleet that it knows is complete.
    bool entriesUsable = false;
    /// The last planner's node still responds as the planner.
    bool plannerResponds = false;
    /// The node reaches no target, so it cannot plan.
    bool isIsolated = false;
    /// The node can tell whether the store shows the present state.
    bool trustsStore = true;
  };

  explicit PlannerSuccession(Options aOptions)
    : options(aOptions)
  {
  }

  /// `aIsRestart`: the deployment has been running before.
  void OnStart(bool aIsRestart, Instant aNow);
  /// Records that this node follows another node as the planner.
  void OnPlannerFollowed(Instant aNow);
  /// Records that another node holds the lease.
  void OnOtherHolder(Instant aNow);
  /// Records that the store did not return the lease holder.
  void OnStoreFailure(Instant aNow) { this->storeFailedAt = aNow; }
  /// Records that this node has taken the lease.
  void OnTermStarted()
  {
    this->isLastHolder = true;
    this->hasResigned = false;
  }
  /// Records that this node gives up its lease, so that another one takes it.
  void OnResigned(Instant aNow)
  {
    this->hasResigned = true;
    this->noPlannerSince = aNow;
  }
  /// Records that this node has lost its lease.
  void OnTermEnded(Instant aNow) { this->termEndedAt = aNow; }

  bool MayQuery(Instant aNow) const;
  bool MayAcquire(const View& aView, Instant aNow) const;

  /// Returns true if this node, which has just taken the lease, was the last
  /// holder: its lease expired a short time ago and it knows of no other holder
  /// since.
  bool ContinuesTerm(Instant aNow) const;

private:
  Options options;
  bool isRestart = false;
  Instant startedAt;
  /// When this node last followed a planner, saw that another node holds the
  /// lease, or was started.
  Instant noPlannerSince;
  /// When the store last failed to return the lease holder.
  Instant storeFailedAt;
  /// This node has held the lease, and no other one since, as far as known.
  bool isLastHolder = false;
  /// This node has given up its last lease.
  bool hasResigned = false;
  /// When this node last lost its lease.
  std::optional<Instant> termEndedAt;
};

} // namespace apricottrack

#endif
