#include "node/PlatformState.h"

#include "base/Log.h"
#include "groups/DrainedVms.h"
#include "groups/EvacuatedZones.h"
#include "kv/PlatformKeys.h"
#include "node/NodeContext.h"

namespace apricottrack {

PlatformState::PlatformState(NodeContext& aContext,
                             PlanRevisionSink aPlanRevisionSink)
  : context(aContext)
  , planRevisionSink(std::move(aPlanRevisionSink))
{
}

void
PlatformState::Apply(const std::vector<KeyValue>& aValues, bool aComplete)
{
  if (aComplete) {
    this->RemoveAbsentKeys(aValues);
  }
  for (const KeyValue& value : aValues) {
    this->ApplyValue(value);
  }
}

void
PlatformState::RemoveAbsentKeys(const std::vector<KeyValue>& aValues)
{
  bool drainedListed = false;
  bool evacuatedListed = false;
  bool plannerListed = false;
  std::vector<std::string> nodes;
  for (const KeyValue& value : aValues) {
    drainedListed = drainedListed || value.key == keys::kDrainedVmsKey;
    evacuatedListed = evacuatedListed || value.key == keys::kEvacuatedZonesKey;
    plannerListed = plannerListed || value.key == keys::kPlannerLeaseKey;
    if (value.key.starts_with(keys::kNodePrefix)) {
      nodes.push_back(value.key.substr(keys::kNodePrefix.size()));
    }
  }
  if (!drainedListed) {
    this->context.view.SetDrainedVms({});
  }
  if (!evacuatedListed) {
    this->context.view.SetEvacuatedZones({}, MonotonicNow());
  }
  this->plannerLeaseHeld = plannerListed;
  this->context.directory.KeepOnly(nodes);
}

void
PlatformState::ApplyValue(const KeyValue& aValue)
{
  if (aValue.key == keys::kConfigurationKey) {
    const auto stored =
      ParseStoredConfiguration(aValue.value, this->context.settings.platform);
    if (stored) {
      this->ApplyConfiguration(*stored);
    } else {
      LogLine("configuration_unreadable").With(stored.error()).Warn();
    }
  } else if (aValue.key == keys::kDrainedVmsKey) {
    this->context.view.SetDrainedVms(ParseDrainedVms(aValue.value));
  } else if (aValue.key == keys::kEvacuatedZonesKey) {
    this->ApplyEvacuatedZones(aValue);
  } else if (aValue.key == keys::kPlannerLeaseKey) {
    this->plannerLeaseHeld = aValue.revision != 0;
  } else if (aValue.key.starts_with(keys::kPlanPrefix)) {
    this->ApplyPlan(aValue);
  } else if (aValue.key.starts_with(keys::kNodePrefix)) {
    this->ApplyNode(aValue);
  }
}

void
PlatformState::ApplyEvacuatedZones(const KeyValue& aValue)
{
  if (aValue.revision == 0) {
    return;
  }
  auto zones =
    ParseEvacuatedZones(aValue.value, this->context.settings.platform);
  if (!zones) {
    LogLine("evacuated_zones_unreadable").With(zones.error()).Warn();
    return;
  }
  this->context.view.SetEvacuatedZones(
    { .zones = std::move(*zones), .revision = aValue.revision },
    MonotonicNow());
}

void
PlatformState::ApplyNode(const KeyValue& aValue)
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
PlatformState::ApplyConfiguration(const StoredConfiguration& aStored)
{
  const OfferResult result = this->context.configuration.Offer(aStored);
  if (result == OfferResult::kAccepted) {
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
PlatformState::ApplyPlan(const KeyValue& aValue)
{
  auto plan = ParseDomainPlan(aValue.value, this->context.settings.platform);
  if (!plan || plan->domain.empty()) {
    LogLine("plan_unreadable").With("key", aValue.key).Warn();
    return;
  }
  this->planRevisionSink(plan->domain, aValue.revision);
  this->context.view.SetPlan(std::move(*plan));
}

} // namespace apricottrack
