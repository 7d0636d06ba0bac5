#include "engine/ReplicaBudget.h"

#include <algorithm>
#include <cmath>

namespace apricottrack {

ReplicaBudget::ReplicaBudget(Options aOptions, const EngineSpec& aEngine)
  : options(aOptions)
  , engine(aEngine)
{
}

ReplicaCounts
ReplicaBudget::Allocate(int aTargets, const ModelDemands& aDemands) const
{
  const double servingTargets = aTargets * (1 - this->options.spareShare);
  const bool isDemandKnown = std::any_of(
    this->engine.models.begin(),
    this->engine.models.end(),
    [&](const ReplicaModel& aModel) {
      const auto demand = aDemands.find(aModel.name);
      return demand != aDemands.end() && demand->second.requests > 0;
    });
  return isDemandKnown ? this->AllocateByDemand(servingTargets, aDemands)
                       : this->AllocateByShare(servingTargets);
}

ReplicaCounts
ReplicaBudget::AllocateByShare(double aServingTargets) const
{
  double totalShare = 0;
  for (const ReplicaModel& model : this->engine.models) {
    totalShare += model.share;
  }
  ReplicaCounts counts;
  for (const ReplicaModel& model : this->engine.models) {
    const double replicas =
      totalShare > 0 ? aServingTargets * model.share / totalShare / model.size
                     : 0;
    counts[model.name] = std::max(1, static_cast<int>(std::lround(replicas)));
  }
  return counts;
}

ReplicaCounts
ReplicaBudget::AllocateByDemand(double aServingTargets,
                                const ModelDemands& aDemands) const
{
  ReplicaCounts counts;
  double remainingTargets = aServingTargets;
  for (const ReplicaModel& model : this->engine.models) {
    counts[model.name] = 1;
    remainingTargets -= model.size;
  }
  for (;;) {
    const ReplicaModel* mostSaturated = nullptr;
    double highestSaturation = this->options.sufficientSaturation;
    for (const ReplicaModel& model : this->engine.models) {
      const auto demand = aDemands.find(model.name);
      if (demand == aDemands.end() || model.size > remainingTargets) {
        continue;
      }
      const double saturation =
        EngineCost(this->engine, model)
          .Saturation(demand->second, counts[model.name]);
      if (saturation > highestSaturation) {
        highestSaturation = saturation;
        mostSaturated = &model;
      }
    }
    if (mostSaturated == nullptr) {
      return counts;
    }
    ++counts[mostSaturated->name];
    remainingTargets -= mostSaturated->size;
  }
}

} // namespace apricottrack
