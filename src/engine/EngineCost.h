#ifndef APRICOTTRACK_ENGINE_ENGINECOST_H
#define APRICOTTRACK_ENGINE_ENGINECOST_H

#include "catalog/Catalog.h"

namespace apricottrack {

/// Requests for one model, a second.
struct ModelDemand
{
  double requests = 0;
  double promptTokens = 0;
  double outputTokens = 0;

  friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

/// What a replica's engine takes for prompts and for output tokens. It works
/// in passes: some decode steps for all running requests, between which
/// waiting prompts are read.
class EngineCost
{
public:
  EngineCost(const EngineSpec& aEngine, const ReplicaModel& aModel);

  /// One decode step of a batch.
  Duration Step(double aRunning, double aContextTokens) const;

  /// Reading a prompt, without what runs beside it.
  Duration Prefill(double aPromptTokens) const;

  /// One pass of a batch without any prompt to read.
  Duration Pass(double aRunning, double aContextTokens) const;

  /// Share of a replica's time that prompts take, with the demand spread over
  /// this many replicas. One and more: they cannot keep up.
  double PrefillShare(const ModelDemand& aDemand, double aReplicas) const;

  /// Requests that run at a time on each of this many replicas; infinite
  /// where prompts leave no time for output.
  double Running(const ModelDemand& aDemand, double aReplicas) const;

  /// How far this many replicas are from what keeps answers in time: one at
  /// the edge, more beyond it.
  double Strain(const ModelDemand& aDemand, double aReplicas) const;

private:
  const EngineSpec& engine;
  const ReplicaModel& model;
};

} // namespace apricottrack

#endif
