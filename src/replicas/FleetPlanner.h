#ifndef APRICOTTRACK_REPLICAS_FLEETPLANNER_H
#define APRICOTTRACK_REPLICAS_FLEETPLANNER_H

#include "catalog/Catalog.h"
#include "engine/ReplicaBudget.h"
#include "fleet/TargetRecord.h"
#include "replicas/LoadLimiter.h"
#include "replicas/ReplicaOrder.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// A target as the planner sees it.
struct PlannerMember
{
  TargetRecord record;
  /// Does not answer when it is asked.
  bool silent = false;
  /// Its entry is in the store; without it, no node sends requests to it.
  bool listed = true;

  bool IsUsable() const { return !this->silent && !this->record.leaving; }
};

using PlannerMembers = std::map<std::string, PlannerMember, std::less<>>;

struct FleetPlannerView
{
  /// Its engine is present.
  const CatalogService& service;
  /// The service's targets that the store lists.
  const PlannerMembers& members;
  /// Of all nodes together; empty while unknown.
  ModelDemands demands;
  /// No request has come yet; loads are fast and not counted.
  bool beforeTraffic = false;
  /// The store was first listed a while ago, so that entries which lapsed
  /// before are back. Until then a missing entry tells nothing.
  bool entriesSettled = true;
};

/// Where a replica stands in the planner's view.
enum class ReplicaPhase
{
  /// Its members were told to join.
  kJoining,
  /// Its head was told to serve.
  kOpening,
  kServing,
  /// Its head was told to stop serving, for a new list of members or none.
  kClosing,
};

struct PlannedReplica
{
  std::string name;
  std::string model;
  std::string domain;
  std::int64_t epoch = 0;
  /// The first is the head.
  std::vector<std::string> members;
  ReplicaPhase phase = ReplicaPhase::kJoining;
  Instant since;
  /// Its head was told to serve, and has not been seen to: it may do so yet.
  bool opening = false;
  /// Model that it is to serve next; empty unless it is converted.
  std::string nextModel;
  /// Replica that its members go to once it has stopped; mostly empty.
  std::string givesTo;

  friend bool operator==(const PlannedReplica&,
                         const PlannedReplica&) = default;
};

/// Forms, repairs and dissolves the replicas of one service, and keeps spare
/// targets warm. Answers the steady loss of targets: a member that is lost is
/// replaced by a spare of its fabric domain that has the weights already.
///
/// It holds only what it has ordered; what is so is read from the targets'
/// own records, from which another planner can take over at any time.
class FleetPlanner
{
public:
  struct Options
  {
    ReplicaBudget::Options budget;
    /// Before the first request, targets are waited for until none has come
    /// for this long, so that replicas are formed from the whole fleet.
    Duration settle = milliseconds(1200);
    /// Added to the expected time of an order before it is given again.
    Duration orderSlack = milliseconds(1200);
    /// Of the loads that may run at a time, those that are left to targets
    /// without weights while further models are staged on hosts. Without
    /// staging, a model that lost replicas could not get them back from others.
    int loadsKept = 6;
    /// Strain of a model from which on spares are of more use in replicas.
    double shortStrain = 1.0;
    /// A model gives up a replica to another one only if it is then still
    /// this much better off.
    double convertMargin = 0.75;
    /// Below this strain nearly all answers are in time.
    double calmStrain = 0.9;
    /// Between two conversions, for the effect of the first to show.
    Duration convertEvery = milliseconds(1500);
    /// How long nodes are told of a broken list of members; by then they know
    /// the new one.
    Duration tellBroken = seconds(4);
    /// Longest time to let a head finish what runs.
    Duration gentleClose = milliseconds(2500);
  };

  /// Hands out epochs that no other planner can have used.
  using EpochSource = std::function<std::int64_t()>;

  FleetPlanner(Options aOptions, EpochSource aEpochs);

  /// The orders that are due. Targets get them in any order.
  std::vector<ReplicaOrder> Round(const FleetPlannerView& aView, Instant aNow);

  /// Lists of members, as NAME/EPOCH, that lost a member a short while ago.
  std::set<std::string> Broken(Instant aNow) const;

  /// Serving replicas, as NAME/EPOCH, whose members all answer although the
  /// store does not list all of them.
  std::set<std::string> Vouched(const PlannerMembers& aMembers) const;

  /// Free targets by fabric domain, those that hold no weights after a plus
  /// sign: "2+1,0+0".
  std::string DescribeFree(const PlannerMembers& aMembers) const;

  /// Replicas of a model in a phase.
  int Count(std::string_view aModel, ReplicaPhase aPhase) const;

  /// Targets whose next report is awaited.
  std::set<std::string> Awaited() const;

  const std::map<std::string, PlannedReplica, std::less<>>& Replicas() const
  {
    return this->replicas;
  }

private:
  friend class FleetPlanningRound;

  Options options;
  EpochSource epochs;
  LoadLimiter loads;
  std::map<std::string, PlannedReplica, std::less<>> replicas;
  struct Preparation
  {
    Instant until;
    /// Model that the target will hold; empty where it does not load.
    std::string model;
  };
  /// Targets that are loading, staging or leaving.
  std::map<std::string, Preparation, std::less<>> preparing;
  /// Broken lists of members, until when they are told of.
  std::map<std::string, Instant> broken;
  /// Lists of members that were given up, so that they are not taken for
  /// another planner's.
  std::set<std::string> retired;
  /// Those of them whose heads may serve yet.
  std::set<std::string> mayOpen;
  /// A target joins fast for the model that it held last since its start.
  struct LastModel
  {
    UnixMillis startedAt = 0;
    std::string model;
  };
  std::map<std::string, LastModel, std::less<>> lastModels;
  Instant convertedAt;
  /// For the wait before the first request.
  std::size_t knownTargets = 0;
  Instant lastArrival;
};

} // namespace apricottrack

#endif
