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
  const double serving = aTargets * (1 - this->options.spareShare);
  const bool known = std::any_of(
    this->engine.models.begin(),
    this->engine.models.end(),
    [&](const ReplicaModel& aModel) {
      const auto demand = aDemands.find(aModel.name);
      return demand != aDemands.end() && demand->second.requests > 0;
    });
  return known ? this->ByDemand(serving, aDemands) : this->ByShare(serving);
}

ReplicaCounts
ReplicaBudget::ByShare(double aServing) const
{
  double shares = 0;
  for (const ReplicaModel& model : this->engine.models) {
    shares += model.share;
  }
  ReplicaCounts counts;
  for (const ReplicaModel& model : this->engine.models) {
    const double replicas =
      shares > 0 ? aServing * model.share / shares / model.size : 0;
    counts[model.name] = std::max(1, static_cast<int>(std::lround(replicas)));
  }
  return counts;
}

ReplicaCounts
ReplicaBudget::ByDemand(double aServing, const ModelDemands& aDemands) const
{
  ReplicaCounts counts;
  double left = aServing;
  for (const ReplicaModel& model : this->engine.models) {
    counts[model.name] = 1;
    left -= model.size;
  }
  for (;;) {
    const ReplicaModel* neediest = nullptr;
    double most = this->options.easyStrain;
    for (const ReplicaModel& model : this->engine.models) {
      const auto demand = aDemands.find(model.name);
      if (demand == aDemands.end() || model.size > left) {
        continue;
      }
      const double strain = EngineCost(this->engine, model)
                              .Strain(demand->second, counts[model.name]);
      if (strain > most) {
        most = strain;
        neediest = &model;
      }
    }
    if (neediest == nullptr) {
      return counts;
    }
    ++counts[neediest->name];
    left -= neediest->size;
  }
}

} // namespace apricottrack
