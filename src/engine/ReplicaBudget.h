#ifndef APRICOTTRACK_ENGINE_REPLICABUDGET_H
#define APRICOTTRACK_ENGINE_REPLICABUDGET_H

#include "engine/EngineCost.h"

#include <map>
#include <string>

namespace apricottrack {

/// Demand by model name.
using ModelDemands = std::map<std::string, ModelDemand, std::less<>>;
/// Number of replicas by model name.
using ReplicaCounts = std::map<std::string, int, std::less<>>;

/// Decides how many replicas of each model a given number of targets should
/// form. While no demand is known, the shares declared in the catalog apply;
/// afterwards each further replica goes to the most saturated model. Targets
/// that no model needs remain spares.
class ReplicaBudget
{
public:
  struct Options
  {
    /// Share of the targets that is kept as spares.
    double spareShare = 0.12;
    /// A model at or below this saturation gets no further replica: nearly all
    /// responses meet their latency objectives, and targets are of more use as
    /// spares.
    double sufficientSaturation = 0.85;
  };

  /// `aEngine` must outlive the object.
  ReplicaBudget(Options aOptions, const EngineSpec& aEngine);

  /// Returns the number of replicas of each model for this many targets. Every
  /// model gets at least one, even if the targets do not suffice.
  ReplicaCounts Allocate(int aTargets, const ModelDemands& aDemands) const;

private:
  /// `aServingTargets` is the number of targets that are not kept as spares.
  ReplicaCounts AllocateByShare(double aServingTargets) const;
  ReplicaCounts AllocateByDemand(double aServingTargets,
                                 const ModelDemands& aDemands) const;

  Options options;
  const EngineSpec& engine;
};

} // namespace apricottrack

#endif
