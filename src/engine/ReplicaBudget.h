#ifndef APRICOTTRACK_ENGINE_REPLICABUDGET_H
#define APRICOTTRACK_ENGINE_REPLICABUDGET_H

#include "engine/EngineCost.h"

#include <map>
#include <string>

namespace apricottrack {

using ModelDemands = std::map<std::string, ModelDemand, std::less<>>;
using ReplicaCounts = std::map<std::string, int, std::less<>>;

/// How many replicas of each model a number of targets should serve with.
/// Without known demand the declared shares decide; with it, each replica
/// goes where answers are furthest from being in time. Targets beyond what
/// all models need stay spares.
class ReplicaBudget
{
public:
  struct Options
  {
    /// Share of the targets that stands by while replicas are wanted.
    double spareShare = 0.12;
    /// Below this strain nearly all answers are in time; further targets are
    /// of more use as spares.
    double easyStrain = 0.85;
  };

  ReplicaBudget(Options aOptions, const EngineSpec& aEngine);

  ReplicaCounts Allocate(int aTargets, const ModelDemands& aDemands) const;

private:
  ReplicaCounts ByShare(double aServing) const;
  ReplicaCounts ByDemand(double aServing, const ModelDemands& aDemands) const;

  Options options;
  const EngineSpec& engine;
};

} // namespace apricottrack

#endif
