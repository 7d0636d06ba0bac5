#ifndef APRICOTTRACK_NODE_PLATFORMSTATE_H
#define APRICOTTRACK_NODE_PLATFORMSTATE_H

#include "apricottrack/KeyValueStore.h"
#include "config/ConfigurationHolder.h"

#include <functional>
#include <string>
#include <vector>

namespace apricottrack {

struct NodeContext;

/// Applies the shared state from the platform's key-value service to the
/// node's context, from complete lists and from single changes.
class PlatformState
{
public:
  /// Called with the revision of each plan that is applied.
  using PlanRevisionSink =
    std::function<void(const std::string& aDomain, Revision aRevision)>;

  PlatformState(NodeContext& aContext, PlanRevisionSink aPlanRevisionSink);

  /// Applies changed values. If `aComplete`, the values are the complete
  /// state, and keys that are not among them were deleted. A deleted plan,
  /// configuration or set of evacuated zones stays in force at this node.
  void Apply(const std::vector<KeyValue>& aValues, bool aComplete);

  /// Applies a configuration from the platform or from another node, unless
  /// it is invalid or not newer than the current one.
  void ApplyConfiguration(const StoredConfiguration& aStored);

  /// True if the planner's key existed in the last list or change, which means
  /// that some node holds the planner's lease.
  bool PlannerLeaseHeld() const { return this->plannerLeaseHeld; }

private:
  /// Clears what was applied from keys that are not in a complete list, except
  /// plans, the configuration and the evacuated zones.
  void RemoveAbsentKeys(const std::vector<KeyValue>& aValues);
  void ApplyValue(const KeyValue& aValue);
  void ApplyEvacuatedZones(const KeyValue& aValue);
  void ApplyNode(const KeyValue& aValue);
  void ApplyPlan(const KeyValue& aValue);

  NodeContext& context;
  PlanRevisionSink planRevisionSink;
  bool plannerLeaseHeld = false;
};

} // namespace apricottrack

#endif
