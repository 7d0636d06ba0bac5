#ifndef APRICOTTRACK_SERVING_FLEETTASK_H
#define APRICOTTRACK_SERVING_FLEETTASK_H

#include "serving/ServingContext.h"

#include <functional>

namespace apricottrack {

/// Follows the targets' entries in the platform's store.
class FleetTask
{
public:
  struct Options
  {
    Duration retryLeast = milliseconds(400);
    Duration retryMost = milliseconds(1600);
  };

  FleetTask(ServingContext& aContext,
            KeyValueStore& aStore,
            Options aOptions,
            std::function<void()> aOnChange);

  void Start();

  /// While another node tells of changes, the store is left alone.
  void SetActive(bool aActive) { this->active = aActive; }

  /// The planner's node hears of changes at once; one that only bridges the
  /// time without a planner spares the store.
  void SetLeading(bool aLeads);

  /// When the store was first listed by this process.
  const std::optional<Instant>& FirstListedAt() const
  {
    return this->firstListedAt;
  }

  /// When the store last showed that nothing was missed.
  Instant HeardAt() const { return this->heardAt; }

private:
  Task<void> Run();
  /// Revision from which a watch misses nothing, or zero on failure.
  Task<Revision> ListAll();
  void Take(const KeyValue& aItem, Instant aNow);
  Task<void> DropLapsedRegularly();

  ServingContext& context;
  KeyValueStore& store;
  Options options;
  std::function<void()> onChange;
  bool active = false;
  Instant heardAt;
  bool reachable = false;
  std::optional<Instant> firstListedAt;
};

} // namespace apricottrack

#endif
