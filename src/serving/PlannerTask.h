#ifndef APRICOTTRACK_SERVING_PLANNERTASK_H
#define APRICOTTRACK_SERVING_PLANNERTASK_H

#include "node/LeaseTask.h"
#include "replicas/FleetPlanner.h"
#include "replicas/IssuedOrders.h"
#include "replicas/LoopDelays.h"
#include "replicas/PlannerSuccession.h"
#include "replicas/ReplicaCheckLimiter.h"
#include "replicas/RoundPacer.h"
#include "replicas/TakeoverGuard.h"
#include "replicas/TargetProbe.h"
#include "replicas/UnrepeatableWork.h"
#include "serving/ServingContext.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace apricottrack {

/// Plans replicas while this node holds the planner's lease: collects reports
/// from targets, runs planning rounds and issues the orders.
class PlannerTask
{
public:
  struct Options
  {
    /// Shortest time between two reports of a target without pending orders; a
    /// target that is suspected of a stall is probed without this delay.
    Duration reportInterval = milliseconds(1000);
    /// Times the number of targets: shortest time between two reports of one,
    /// which bounds the probes per second in a large fleet.
    Duration reportIntervalPerTarget = milliseconds(3);
    /// Probes that are started in one round; more would delay each other.
    int maxProbesPerRound = 60;
    /// Between two reports of a target with a pending order; its entry in the
    /// store mostly shows the result earlier.
    Duration pendingOrderInterval = milliseconds(500);
    /// Between two reports of a target that has missed one.
    Duration urgentInterval = milliseconds(20);
    /// Timeout of a report; targets respond within a few milliseconds.
    Duration reportTimeout = milliseconds(120);
    /// The same for a target that is suspected lost: its replica stays stalled
    /// until the loss is detected.
    Duration urgentTimeout = milliseconds(80);
    /// Connections on which a target is probed at once after a missed report.
    /// With one, a lost packet alone makes a sound target unresponsive.
    int confirmingConnections = 3;
    /// Timeout of an order; targets reply before they carry it out.
    Duration orderTimeout = milliseconds(300);
    /// A report that fails this much later than its timeout indicates a delay
    /// of this node, and is not counted as missed.
    Duration lateReportThreshold = milliseconds(60);
    TargetProbe::Options probes;
    /// Reported factor on the times of the engine from which a target counts as
    /// slow. Replacing a member interrupts its replica for less than a second.
    double slowTimeFactor = 1.6;
    /// Time without a target that this node reaches after which another node
    /// should be the planner.
    Duration resignDelay = milliseconds(300);
  };

  /// What the task needs from its node.
  struct Hooks
  {
    /// False while this node follows another one as the planner.
    std::function<bool()> mayQuery;
    /// True at the first start of a deployment, or once the entries have
    /// settled. If false, this node takes the lease only after a longer time
    /// without a planner.
    std::function<bool()> mayAcquire;
    /// True if this node can tell whether the store shows the present state.
    std::function<bool()> trustsStore;
    /// True if the last planner's node still responds as the planner, although
    /// it may be unable to read the store.
    std::function<bool()> plannerResponds;
    /// Called with the address of the node that holds the planner's lease.
    std::function<void(const std::string& aAddress)> onOtherHolder;
    /// Called when this node becomes the planner or stops being it.
    std::function<void(bool aIsPlanner)> onPlannerChange;
    /// Called when the set of broken or confirmed replicas has changed.
    std::function<void()> onReplicaChange;
    /// True once the fleet was first read, from the store or from a planner,
    /// long enough ago for expired entries to have returned.
    std::function<bool()> entriesSettled;
    /// When this node itself last read the fleet from the store.
    std::function<Instant()> fleetLastContactAt;
    /// Called when no connection to a target could be opened.
    std::function<void()> onConnectFailed;
  };

  PlannerTask(ServingContext& aContext,
              KeyValueStore& aStore,
              Options aOptions,
              Hooks aHooks);

  void Start();

  /// Probes all members of the replica whose head is this target, because this
  /// node or another one suspects a stall there. Rate-limited for each head;
  /// has no effect unless this node is the planner.
  void ProbeSuspectedTarget(const std::string& aTarget);

  /// Records the demand that another node reported.
  void RecordDemands(const std::string& aNode,
                     ModelDemands aDemands,
                     Instant aNow);

  /// Nodes that reported their demand within its lifetime, plus this one. Right
  /// after a takeover, not less than this node knew before, or zero if it did
  /// not know.
  int NodeCount(Instant aNow) const;

  bool IsPlanner() const { return this->isPlanner; }

  /// True if this VM has the processor time to plan. Small ones become the
  /// planner only if there is no large one.
  bool IsLargeVm() const;

  /// True if this node is the planner and has read the fleet from the store
  /// since it became so. State received from the previous planner lacks most
  /// targets and may be older than its last orders.
  bool HasCurrentFleet() const;

  /// Fencing token of the lease that this node last took.
  std::int64_t FencingToken() const { return this->fencingToken; }

  /// Plans a round if this node is the planner, after it has become known
  /// whether a target or this node has failed.
  void OnReachJudged(Instant aNow);

  /// Ends the lease, so that another node can become the planner.
  void Release();

private:
  struct NodeDemands
  {
    ModelDemands demands;
    /// When the report arrived.
    Instant receivedAt;
  };

  /// Demand of all nodes together.
  ModelDemands TotalDemands(Instant aNow) const;
  /// Returns true if this node should ask the store for the lease holder. While
  /// it follows another node as the planner, also records that.
  bool MayQueryLease(Instant aNow);
  Task<void> Run();
  /// Measures delays of the event loop while this node is the planner.
  Task<void> MeasureDelays();
  /// Becomes or stops being the planner if the lease was taken or lost. If this
  /// node is the planner, plans all services that have an engine.
  void RunRound(Instant aNow);
  void BecomePlanner(Instant aNow);
  /// Gives up the lease if this node has reached no target for some time, but
  /// others do.
  void ResignIfIsolated(Instant aNow);
  /// Forgets the plan and what is known of targets, for a term that does not
  /// continue the previous one.
  void StartAfresh(Instant aNow);
  /// True if a target has joined a replica of another planner since the start
  /// of this term.
  bool ShowsOtherPlanner(const PlannerMembers& aMembers) const;
  /// Logs the planner's view of a service, once a second at most.
  void LogView(const CatalogService& aService,
               const PlannerMembers& aMembers,
               Instant aNow);
  /// Publishes the broken replicas and the confirmed ones: those that are
  /// intact although the store does not list all of their members.
  void PublishReplicas(const FleetPlanner& aPlanner,
                       const PlannerMembers& aMembers,
                       Instant aNow);
  /// Probes the targets that are due, plans one round and issues its orders.
  /// Issues none while most targets are unresponsive, nor after a takeover
  /// before TakeoverGuard allows it.
  void PlanService(const CatalogService& aService, Instant aNow);
  /// Starts a probe of each target whose last one is longer ago than its
  /// interval.
  void ProbeTargets(const CatalogService& aService,
                    const PlannerMembers& aMembers,
                    Instant aNow);
  /// Targets of a service in their newest known state, unlisted ones included.
  PlannerMembers CollectServiceTargets(const CatalogService& aService,
                                       Instant aNow);
  /// Adds replica members that respond, or may continue their work, although
  /// their entries are gone, because they lost their connection to the store or
  /// are leaving. They finish their running requests and get no others.
  void AddUnlistedMembers(const CatalogService& aService,
                          PlannerMembers& aMembers,
                          Instant aNow);
  /// Longest timeout of the service's requests that no other target may
  /// continue.
  Duration LongestUnrepeatableWork(const CatalogService& aService,
                                   Instant aNow);
  /// Removes the state of targets that are neither listed nor responsive.
  void PruneGoneTargets(const CatalogService& aService,
                        const PlannerMembers& aMembers);
  /// The entry, updated from the last report if that is newer.
  TargetRecord NewestRecord(const CatalogService& aService,
                            const TargetRecord& aEntry,
                            const TargetProbe& aProbe) const;
  /// True if each target has reported since this node became the planner, or is
  /// unresponsive.
  bool HaveAllReported(const PlannerMembers& aMembers) const;
  /// True if more than half of the targets are unresponsive.
  bool AreMostUnresponsive(const PlannerMembers& aMembers) const;
  /// Members of the replica that has this head; only the target itself if there
  /// is none.
  std::vector<std::string> ReplicaMembersOf(const std::string& aHead) const;
  /// Marks the probe as pending and runs ProbeTarget concurrently.
  void StartProbe(const std::string& aTarget,
                  const std::string& aAddress,
                  bool aUrgent,
                  Instant aNow);
  /// Requests a report from the target, after a missed one on several new
  /// connections; an urgent one on a new connection, with `urgentTimeout`.
  Task<Result<TargetReport>> FetchReport(std::string aTarget,
                                         std::string aAddress,
                                         bool aUrgent);
  /// Fetches a report and records the result. Repeats the probe as urgent after
  /// a missed report, and plans a round once the target is unresponsive.
  Task<void> ProbeTarget(std::string aTarget,
                         std::string aAddress,
                         bool aUrgent);
  /// Sends the order, once more on a new connection if it has no reply on a
  /// pooled one. The target may then carry out both, so tells the FleetPlanner.
  Task<Result<HttpResponse>> SendOrder(ReplicaOrder aOrder);
  /// Sends the order, logs the reply and tells the FleetPlanner of the outcome.
  /// Stops planning if the target refused it for a newer fencing token.
  Task<void> IssueOrder(ReplicaOrder aOrder);
  /// Stops planning, because a target refused an order for a newer fencing
  /// token.
  void OnFenced(const ReplicaOrder& aRefused);
  /// Returns a new epoch, unique under the current fencing token.
  std::int64_t NextEpoch();

  ServingContext& context;
  Options options;
  Hooks hooks;
  PlannerSuccession succession;
  LeaseTask lease;
  /// Connections for probes and orders.
  HttpConnectionPool pool;
  ReplicaCheckLimiter checkLimiter{ ReplicaCheckLimiter::Options{} };
  TakeoverGuard takeoverGuard{ TakeoverGuard::Options{} };
  RoundPacer pacer{ RoundPacer::Options{} };
  LoopDelays delays{ LoopDelays::Options{} };
  /// By service name.
  std::map<std::string, std::unique_ptr<FleetPlanner>, std::less<>> planners;
  /// By target id.
  std::map<std::string, TargetProbe, std::less<>> probes;
  /// Last known entries, kept for a target after the store has lost its entry.
  std::map<std::string, TargetRecord, std::less<>> lastEntries;
  /// When the last planner_view line was logged, by service name.
  std::map<std::string, Instant, std::less<>> viewLoggedAt;
  /// By service name.
  std::map<std::string, UnrepeatableWork, std::less<>> unrepeatableWork;
  /// Demand that other nodes reported, by node name.
  std::map<std::string, NodeDemands, std::less<>> demandsByNode;
  /// When this node became the planner.
  Instant plannerSince;
  /// Until then a missing report is not counted, because this node itself was
  /// delayed.
  Instant localDelayUntil;
  bool isPlanner = false;
  /// As of the last OnReachJudged.
  bool wasIsolated = false;
  /// This node held the lease before, lost it a short time ago and has kept its
  /// plan and its fleet.
  bool continuesTerm = false;
  /// Number of nodes known when this node became the planner; zero if unknown.
  int nodeCountAtTakeover = 0;
  std::int64_t fencingToken = 0;
  /// The tokens of this term, which is longer than a lease if it was continued.
  std::set<std::int64_t> termTokens;
  IssuedOrders issuedOrders;
  /// Epochs issued under that token.
  std::int64_t issuedEpochs = 0;
};

} // namespace apricottrack

#endif
