#ifndef APRICOTTRACK_NODE_PLATFORMSTATE_H
#define APRICOTTRACK_NODE_PLATFORMSTATE_H

#include "apricottrack/KeyValueStore.h"
#include "config/ConfigurationHolder.h"

#include <functional>
#include <string>
#include <vector>

namespace apricottrack {

struct NodeContext;

/// Takes in the shared state as the platform's service reports it, in whole
/// lists and in single changes, and keeps the node's context in line with it.
class PlatformState
{
public:
  using PlanSink =
    std::function<void(const std::string& aDomain, Revision aRevision)>;

  PlatformState(NodeContext& aContext, PlanSink aPlanSink);

  /// `aComplete`: the values are all there are, so that absent keys are gone.
  void Take(const std::vector<KeyValue>& aValues, bool aComplete);

  /// Takes a configuration, from the platform or from another node.
  void TakeConfiguration(const StoredConfiguration& aStored);

  /// Somebody holds the planner's lease, as last heard.
  bool PlannerSeen() const { return this->plannerSeen; }

private:
  void DropAbsent(const std::vector<KeyValue>& aValues);
  void TakeOne(const KeyValue& aValue);
  void TakeNode(const KeyValue& aValue);
  void TakePlan(const KeyValue& aValue);

  NodeContext& context;
  PlanSink planSink;
  bool plannerSeen = false;
};

} // namespace apricottrack

#endif
