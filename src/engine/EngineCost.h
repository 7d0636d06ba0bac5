#ifndef APRICOTTRACK_ENGINE_ENGINECOST_H
#define APRICOTTRACK_ENGINE_ENGINECOST_H

#include "catalog/Catalog.h"

namespace apricottrack {

/// Demand for one model: rates per second.
struct ModelDemand
{
  /// Requests per second.
  double requests = 0;
  /// Prompt tokens per second, of all requests.
  double promptTokens = 0;
  /// Response tokens per second, of all requests.
  double outputTokens = 0;

  friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

/// Cost model of a replica's engine: the time that prefill and decode take, and
/// the saturation that a demand causes. The engine works in passes of
/// `EngineSpec::stride` decode steps for all running requests; waiting prompts
/// are prefilled between passes.
class EngineCost
{
public:
  /// Both arguments must outlive the object.
  EngineCost(const EngineSpec& aEngine, const ReplicaModel& aModel);

  /// Duration of one decode step for a batch of `aRunningRequests` requests.
  /// `aContextTokens` is the sum of their context lengths.
  Duration StepTime(double aRunningRequests, double aContextTokens) const;

  /// Duration of the prefill of one prompt, excluding concurrent decode steps;
  /// zero if the engine declares no prefill rate.
  Duration PrefillTime(double aPromptTokens) const;

  /// Duration of one pass, which is `EngineSpec::stride` decode steps, without
  /// prefill.
  Duration PassTime(double aRunningRequests, double aContextTokens) const;

  /// Time from the start of a request's prefill to the end of its response,
  /// with all batch slots taken by requests of this size.
  Duration RequestTime(double aPromptTokens, double aOutputTokens) const;

  /// Share of a replica's time spent on prefill, with the demand spread evenly
  /// over this many replicas. At 1 or more they cannot keep up.
  double PrefillShare(const ModelDemand& aDemand, double aReplicaCount) const;

  /// Mean number of running requests on each of this many replicas; infinite
  /// if prefill leaves no time for decode.
  double RunningRequests(const ModelDemand& aDemand,
                         double aReplicaCount) const;

  /// Saturation of this many replicas. At 1 they just keep responses within
  /// their latency objectives; above 1 they are overloaded.
  double Saturation(const ModelDemand& aDemand, double aReplicaCount) const;

private:
  const EngineSpec& engine;
  const ReplicaModel& model;
};

} // namespace apricottrack

#endif
