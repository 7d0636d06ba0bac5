#ifndef APRICOTTRACK_REPLICAS_FLEETPLANNER_H
#define APRICOTTRACK_REPLICAS_FLEETPLANNER_H

#include "catalog/Catalog.h"
#include "engine/ReplicaBudget.h"
#include "fleet/TargetRecord.h"
#include "replicas/LoadLimiter.h"
#include "replicas/OpenOrders.h"
#include "replicas/ReplicaOrder.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// A target of the service in the planner's view, whether or not it is a member
/// of a replica: its newest known record and whether it responds.
struct PlannerMember
{
  TargetRecord record;
  /// Missed `TargetProbe::Options::maxMissedReports` report queries in a row,
  /// or another target now listens on its address.
  bool unresponsive = false;
  /// Unresponsive because it was silent, for less than
  /// `TargetProbe::Options::silenceTolerance`. It probably continues its work.
  bool brieflySilent = false;
  /// Unresponsive for `TargetProbe::Options::lossConfirmationTime`, or replaced
  /// on its address. One that is only unresponsive may continue its work.
  bool lost = false;
  /// Has reported to this planner. The entry of one that has not may precede
  /// orders of another planner.
  bool reported = true;
  /// Reports to be slower than others of its kind by
  /// `PlannerTask::Options::slowTimeFactor`. A replica runs at the speed of its
  /// slowest member.
  bool slow = false;
  /// The store lists its entry. Nodes send requests to listed targets only.
  bool listed = true;
  /// It gets no requests until its availability zone is taken back, and stays
  /// a member of its replica.
  bool evacuated = false;
  /// Requests per second that it accepts from all nodes together; none if it
  /// has stated no limit.
  std::optional<double> requestLimit;

  bool IsUsable() const { return !this->unresponsive && !this->record.leaving; }
};

using PlannerMembers = std::map<std::string, PlannerMember, std::less<>>;

/// Input of one planning round.
struct FleetPlannerView
{
  /// Must have an engine.
  const CatalogService& service;
  /// The service's targets by id: those that the store lists, and members of
  /// planned replicas that still respond without a store entry.
  const PlannerMembers& members;
  /// Demand per model, summed over all nodes; empty while unknown.
  ModelDemands demands;
  /// This is the first start of the deployment and no request has arrived yet.
  /// Loads are faster then and not rate-limited.
  bool beforeTraffic = false;
  /// More than `kEntryReturnTime` has passed since the store was first listed,
  /// so targets have renewed entries that had expired. Until then a missing
  /// entry does not mean that the target is gone, and no orders are issued
  /// except before traffic.
  bool entriesSettled = true;
  /// Longest timeout of the service's requests that no other target may
  /// continue once they have begun; zero if there are none.
  Duration longestUnrepeatableWork = Duration::zero();
};

/// Life cycle of a replica in the planner's view.
enum class ReplicaPhase
{
  /// Its members were ordered to join.
  kJoining,
  /// All members are ready; its head was ordered to serve.
  kOpening,
  kServing,
  /// Its head was ordered to stop serving, because the replica gets a new list
  /// of members or ends.
  kClosing,
};

/// A replica as the planner has ordered it.
struct PlannedReplica
{
  std::string name;
  std::string model;
  /// Fabric domain of all members.
  std::string domain;
  /// Identifies the current list of members; each new list gets a higher one.
  std::int64_t epoch = 0;
  /// Target ids; the first is the head.
  std::vector<std::string> members;
  ReplicaPhase phase = ReplicaPhase::kJoining;
  /// Start of the phase, or when its order was last repeated.
  Instant phaseSince;
  /// Model that the replica serves after its conversion or its repair from
  /// donors; empty otherwise.
  std::string nextModel;
  /// Replica that receives the members once this one has stopped; empty unless
  /// this one is a donor.
  std::string recipient;

  friend bool operator==(const PlannedReplica&,
                         const PlannedReplica&) = default;
};

/// Forms, repairs and dissolves the replicas of one service, and keeps spare
/// targets warm. Targets are lost all the time: a lost member is replaced by a
/// spare target of the same fabric domain that already has the weights.
///
/// Owned by PlannerTask, one per service. It stores only the orders that it has
/// issued; the actual state is read from the targets' own records, so that
/// another planner can take over at any time.
class FleetPlanner
{
public:
  struct Options
  {
    ReplicaBudget::Options budget;
    /// Before the first request, replicas are formed only after no new target
    /// has appeared for this long, so that the whole fleet is available.
    Duration arrivalQuietTime = milliseconds(1200);
    /// An order is repeated once its expected duration plus this margin has
    /// passed without effect.
    Duration orderMargin = milliseconds(1200);
    /// Concurrent weight loads that staging must leave free for targets without
    /// weights. Staging is needed as well: when a model loses replicas, others
    /// can be converted to it only with members whose hosts have it staged, or
    /// that last held it in the same process.
    int reservedLoads = 6;
    /// A model above this saturation is overloaded; spare targets then form
    /// replicas instead of being kept for repairs.
    double overloadSaturation = 1.0;
    /// A model donates replicas to another one only if its saturation
    /// afterwards stays below this fraction of the other's.
    double maxDonorSaturationRatio = 0.75;
    /// Where several replicas stop for one, the donating model's saturation
    /// must also stay below this; nearly all responses then meet their latency
    /// objectives.
    double maxDonorSaturation = 0.9;
    /// How long an order without a reply may still be carried out.
    Duration lateOrderTime = seconds(30);
    /// Minimum time between two conversions, so that the effect of the first is
    /// visible in the saturation.
    Duration conversionInterval = milliseconds(1500);
    /// A head is replaced by a member without a request limit if its own limit
    /// is below this fraction of the replica's share of the demand. A replica
    /// that accepts more would lose more while it stops than it gains.
    double minHeadShare = 0.25;
    /// Minimum time between two such replacements in one replica. The limit of
    /// a member becomes known only once it is the head, so the next one may be
    /// limited as well.
    Duration headReplacementInterval = seconds(60);
    /// How long a broken list of members is reported to nodes; afterwards they
    /// know the list that replaced it.
    Duration brokenReportDuration = seconds(4);
    /// Maximum time for a head to finish its running requests before it is
    /// ordered to abort those that continue at another target. The others have
    /// `FleetPlannerView::longestUnrepeatableWork`.
    Duration gracefulCloseTimeout = milliseconds(2500);
  };

  /// Returns a new epoch, higher than all before and never used by another
  /// planner.
  using EpochSource = std::function<std::int64_t()>;

  FleetPlanner(Options aOptions, EpochSource aNextEpoch);

  /// Runs one planning round and returns the orders to issue. They may reach
  /// the targets in any sequence.
  std::vector<ReplicaOrder> PlanRound(const FleetPlannerView& aView,
                                      Instant aNow);

  /// Records a target's reply other than `OrderReply::kUnknown`.
  void OnReply(const ReplicaOrder& aOrder, OrderReply aReply);

  /// Returns true unless the list of members, as NAME/EPOCH, is one that this
  /// planner has ordered to serve and not to stop.
  bool MayHaveStopped(const std::string& aList) const;

  /// Records that an order did not reach its target.
  void OnNotSent(const ReplicaOrder& aOrder);

  /// Records that an order without a reply was sent once more, so that the
  /// target may carry it out twice.
  void OnSentAgain(const ReplicaOrder& aOrder);

  /// Records that the target did not reply to an order, which it may or may not
  /// carry out. The next round repeats a join that the plan still needs; other
  /// orders are repeated after `Options::orderMargin`.
  void OnNoReply(ReplicaOrder aOrder);

  /// Returns, as NAME/EPOCH, the lists of members that broke within the last
  /// `Options::brokenReportDuration`.
  std::set<std::string> BrokenReplicas(Instant aNow) const;

  /// Returns, as NAME/EPOCH, the serving replicas whose members all respond
  /// although the store does not list all of them.
  std::set<std::string> ConfirmedReplicas(const PlannerMembers& aMembers) const;

  /// Counts the usable targets outside replicas for the log, as WARM+COLD per
  /// fabric domain in order of the domain names: "2+1,0+0". Cold targets hold
  /// no weights.
  std::string DescribeIdleTargets(const PlannerMembers& aMembers) const;

  /// Returns the number of the model's replicas in the phase.
  int CountReplicas(std::string_view aModel, ReplicaPhase aPhase) const;

  /// Returns the number of the model's serving replicas whose heads have stated
  /// a request limit.
  int CountLimitedReplicas(std::string_view aModel,
                           const PlannerMembers& aMembers) const;

  /// Returns the ids of joining members and of heads that start or stop
  /// serving. They are queried for reports more often.
  std::set<std::string> TargetsChangingState() const;

  const std::map<std::string, PlannedReplica, std::less<>>& Replicas() const
  {
    return this->replicas;
  }

private:
  friend class FleetPlanningRound;

  Options options;
  EpochSource nextEpoch;
  LoadLimiter loads;
  std::map<std::string, PlannedReplica, std::less<>> replicas;
  /// An order that is not part of forming or running a replica: to load a model
  /// as a spare, to stage one or to leave.
  struct Preparation
  {
    /// Time from which the order may be repeated or replaced.
    Instant until;
    /// Model that the target will hold; empty for staging and leaving.
    std::string model;
    bool leaves = false;
  };
  /// By target id. Members of serving replicas are included while they stage.
  std::map<std::string, Preparation, std::less<>> preparations;
  /// By NAME/EPOCH: until when a broken list of members is reported.
  std::map<std::string, Instant> brokenUntil;
  /// Lists of members, as NAME/EPOCH, that this planner gave up, so that it
  /// does not adopt them as another planner's, and when a target was last known
  /// to be in them. A late order may bring a target back.
  std::map<std::string, Instant> retiredMemberLists;
  OpenOrders openOrders;
  /// Lists of members, as NAME/EPOCH, whose heads were ordered to serve and
  /// have accepted no order to stop or to leave since.
  std::set<std::string> servingLists;
  /// Model that a target last held. It joins a replica of that model quickly,
  /// unless its process has restarted since.
  struct LastModel
  {
    /// Start of the process that held the model.
    UnixMillis startedAt = 0;
    std::string model;
  };
  /// By target id.
  std::map<std::string, LastModel, std::less<>> lastModels;
  Instant lastConversionAt;
  /// By replica name: when its limited head was last replaced.
  std::map<std::string, Instant, std::less<>> headReplacedAt;
  /// Joins without a reply since the last round.
  std::vector<ReplicaOrder> unansweredJoins;
  /// Joins of targets that first have to leave another replica.
  std::vector<ReplicaOrder> postponedJoins;
  /// Highest number of targets seen, and when it last grew. Both are updated
  /// only before the first request, while the planner waits for
  /// `Options::arrivalQuietTime` without growth to form replicas.
  std::size_t maxTargetCount = 0;
  Instant lastArrivalAt;
};

} // namespace apricottrack

#endif
