#ifndef APRICOTTRACK_SERVING_QUARANTINETASK_H
#define APRICOTTRACK_SERVING_QUARANTINETASK_H

#include "apricottrack/KeyValueStore.h"
#include "fleet/FleetMessages.h"
#include "quarantine/CrashCollector.h"
#include "serving/ServingContext.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace apricottrack {

/// Quarantines prompt parts that crash targets. While this node is the planner,
/// attributes the crashes that all nodes report and saves the quarantined parts
/// in the store, from which the next planner reads them. Other nodes receive
/// them from the planner's node, through FollowTask, or read them from the
/// store when they start without a planner.
class QuarantineTask
{
public:
  struct Options
  {
    /// Between two updates.
    Duration interval = milliseconds(100);
    /// Between two attempts to reach the store.
    Duration retryDelay = milliseconds(800);
  };

  /// What the task needs from its node.
  struct Hooks
  {
    std::function<bool()> isPlanner;
    /// True if this node reads the store itself, without a planner to follow.
    std::function<bool()> readsStore;
    /// Called after a combination was added to the quarantine.
    std::function<void()> onChange;
  };

  QuarantineTask(ServingContext& aContext,
                 KeyValueStore& aStore,
                 Options aOptions,
                 Hooks aHooks);

  void Start();

  /// Adds the quarantine of another node, and records the crashes that it
  /// reports if this node is the planner.
  void RecordReports(const FleetQuestion& aQuestion, Instant aNow);

private:
  Task<void> Run();
  /// Attributes the crashes that are known, at the planner's node. Returns true
  /// if a combination was quarantined.
  bool Attribute(Instant aNow);
  /// Calls the store if that is due.
  Task<void> Synchronize();
  /// Adds the stored parts to the quarantine.
  Task<void> Load();
  Task<void> Save();
  /// Applies and remembers the store's state.
  void SetStored(Revision aRevision,
                 const std::vector<QuarantinedParts>& aCombinations,
                 Instant aNow);
  /// True if the store lacks a combination or its present end.
  bool HasUnsavedParts(Instant aNow) const;

  ServingContext& context;
  KeyValueStore& store;
  Options options;
  Hooks hooks;
  CrashCollector collector;
  /// The stored parts were read once, or there cannot be any.
  bool isLoaded = false;
  /// They were read since this node became the planner.
  bool isLoadedAsPlanner = false;
  Instant nextStoreCallAt;
  Revision storedRevision = 0;
  /// RestoreCount when the stored parts were last read or written.
  std::int64_t restoreCount = 0;
  /// End of the quarantine as stored, by parts.
  std::map<std::vector<std::string>, Instant> storedEnds;
};

} // namespace apricottrack

#endif
