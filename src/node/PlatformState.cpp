#include "node/PlatformState.h"

#include "base/Log.h"
#include "groups/DrainedVms.h"
#include "kv/PlatformKeys.h"
#include "node/NodeContext.h"

namespace apricottrack {

PlatformState::PlatformState(NodeContext& aContext, PlanSink aPlanSink)
  : context(aContext)
  , planSink(std::move(aPlanSink))
{
}

void
PlatformState::Take(const std::vector<KeyValue>& aValues, bool aComplete)
{
  if (aComplete) {
    this->DropAbsent(aValues);
  }
  for (const KeyValue& value : aValues) {
    this->TakeOne(value);
  }
}

void
PlatformState::DropAbsent(const std::vector<KeyValue>& aValues)
{
  bool drainedSeen = false;
  bool plannerThere = false;
  std::vector<std::string> nodes;
  for (const KeyValue& value : aValues) {
    drainedSeen = drainedSeen || value.key == keys::kDrained;
    plannerThere = plannerThere || value.key == keys::kPlanner;
    if (value.key.starts_with(keys::kNodePrefix)) {
      nodes.push_back(value.key.substr(keys::kNodePrefix.size()));
    }
  }
  if (!drainedSeen) {
    this->context.view.SetDrained({});
  }
  this->plannerSeen = plannerThere;
  this->context.directory.KeepOnly(nodes);
}

void
PlatformState::TakeOne(const KeyValue& aValue)
{
  if (aValue.key == keys::kConfiguration) {
    const auto stored =
      ParseStoredConfiguration(aValue.value, this->context.settings.platform);
    if (stored) {
      this->TakeConfiguration(*stored);
    } else {
      LogLine("configuration_unreadable").With(stored.error()).Warn();
    }
  } else if (aValue.key == keys::kDrained) {
    this->context.view.SetDrained(ParseDrainedVms(aValue.value));
  } else if (aValue.key == keys::kPlanner) {
    this->plannerSeen = aValue.revision != 0;
  } else if (aValue.key.starts_with(keys::kPlanPrefix)) {
    this->TakePlan(aValue);
  } else if (aValue.key.starts_with(keys::kNodePrefix)) {
    this->TakeNode(aValue);
  }
}

void
PlatformState::TakeNode(const KeyValue& aValue)
{
  const auto record = ParseNodeRecord(aValue.value);
  if (aValue.revision != 0 && record) {
    this->context.directory.Set(*record);
  } else {
    this->context.directory.Remove(
      std::string_view(aValue.key).substr(keys::kNodePrefix.size()));
  }
}

void
PlatformState::TakeConfiguration(const StoredConfiguration& aStored)
{
  const OfferResult result = this->context.configuration.Offer(aStored);
  if (result == OfferResult::kTaken) {
    LogLine("configuration_in_force")
      .With("version", static_cast<std::int64_t>(aStored.version))
      .With("submission", aStored.submission)
      .With("delay_ms", WallNow() - aStored.submittedAt)
      .Info();
  } else if (result == OfferResult::kInvalid) {
    LogLine("configuration_invalid")
      .With("version", static_cast<std::int64_t>(aStored.version))
      .Warn();
  }
}

void
PlatformState::TakePlan(const KeyValue& aValue)
{
  auto plan = ParseDomainPlan(aValue.value, this->context.settings.platform);
  if (!plan || plan->domain.empty()) {
    LogLine("plan_unreadable").With("key", aValue.key).Warn();
    return;
  }
  this->planSink(plan->domain, aValue.revision);
  this->context.view.SetPlan(std::move(*plan));
}

} // namespace apricottrack
