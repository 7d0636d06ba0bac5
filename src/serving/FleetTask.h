#ifndef APRICOTTRACK_SERVING_FLEETTASK_H
#define APRICOTTRACK_SERVING_FLEETTASK_H

#include "serving/ServingContext.h"

#include <functional>

namespace apricottrack {

/// Keeps the fleet up to date from the target entries in the platform's store:
/// lists them, then watches for changes. Also removes the entries whose grace
/// period after a store outage has ended.
class FleetTask
{
public:
  struct Options
  {
    /// Backoff after a failure; doubles up to the maximum.
    Duration minRetryDelay = milliseconds(400);
    Duration maxRetryDelay = milliseconds(1600);
  };

  /// `aOnChange` is called after the fleet may have changed.
  FleetTask(ServingContext& aContext,
            KeyValueStore& aStore,
            Options aOptions,
            std::function<void()> aOnChange);

  void Start();

  /// Starts or stops store calls; an inactive task makes none, as the planner's
  /// node then sends the changes. `aStoreWasAvailable` states that the store
  /// was available until a short time ago: entries that the first listing lacks
  /// have then not expired, and their targets are gone.
  void SetActive(bool aActive, bool aStoreWasAvailable);

  /// Records that this node follows the planner's node, whose fleet it has.
  void OnPlannerFollowed();

  /// The planner's node has sent its fleet, but is not followed: lists the
  /// targets again, of which that fleet is a part.
  void OnFleetReplaced();

  /// Sets how often a watch polls: `aIsPlanner` is true on the planner's node,
  /// which has to see changes with little delay. Other nodes poll rarely to
  /// save store calls while there is no planner.
  void SetIsPlanner(bool aIsPlanner);

  /// When this task first listed the store since it became active or, if that
  /// is later, since the store was last unreachable; none before.
  const std::optional<Instant>& ListedSince() const
  {
    return this->listedSince;
  }

  /// When a listing or a watch last confirmed that the fleet is up to date.
  Instant LastContactAt() const { return this->lastContactAt; }

private:
  Task<void> Run();
  /// Returns the revision after which a watch misses no change, or zero on
  /// failure.
  Task<Revision> ListAll();
  void ApplyChange(const KeyValue& aItem, Instant aNow);
  Task<void> PruneExpiredEntriesPeriodically();

  ServingContext& context;
  KeyValueStore& store;
  Options options;
  std::function<void()> onChange;
  bool active = false;
  /// Counts the times that this task became active. What a watch knows is void
  /// once the fleet was received from the planner's node in between.
  std::int64_t activations = 0;
  bool isPlanner = false;
  Instant lastContactAt;
  /// The last listing of the store succeeded.
  bool isStoreReachable = false;
  std::optional<Instant> listedSince;
  /// RestoreCount at the last listing or when the planner's node was last
  /// followed; none before the first.
  std::optional<std::int64_t> restoreCount;
};

} // namespace apricottrack

#endif
