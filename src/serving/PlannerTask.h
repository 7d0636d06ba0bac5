#ifndef APRICOTTRACK_SERVING_PLANNERTASK_H
#define APRICOTTRACK_SERVING_PLANNERTASK_H

#include "node/LeaseTask.h"
#include "replicas/CheckPacer.h"
#include "replicas/FleetPlanner.h"
#include "replicas/TakeoverGuard.h"
#include "serving/ServingContext.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace apricottrack {

/// Plans replicas while this node holds the planner's lease: asks targets for
/// reports, runs planning rounds, and gives the orders.
class PlannerTask
{
public:
  struct Options
  {
    Duration roundEvery = milliseconds(50);
    /// Between two reports of a target that is doing nothing special; where
    /// its requests stand still it is asked at once.
    Duration reportEvery = milliseconds(1000);
    /// Between two reports of a target whose order is under way; its entry in
    /// the store mostly tells sooner.
    Duration awaitedEvery = milliseconds(500);
    /// Between two reports of a target that seems lost.
    Duration urgentEvery = milliseconds(20);
    /// Targets answer within a few milliseconds.
    Duration reportTimeout = milliseconds(120);
    /// The same, where a replica stands still for as long as it takes.
    Duration urgentTimeout = milliseconds(80);
    Duration orderTimeout = milliseconds(800);
    /// A report that came to nothing this much later than it should have
    /// tells of this node's own trouble.
    Duration lateness = milliseconds(60);
    /// Reports in a row that a lost target has missed.
    int silentAfter = 2;
  };

  /// What the task needs of its node.
  struct Hooks
  {
    /// False while another node is known to plan.
    std::function<bool()> mayTry;
    /// This node knows enough of the fleet to plan.
    std::function<bool()> mayTake;
    /// Told where the node that plans listens.
    std::function<void(const std::string& aAddress)> onHolder;
    /// Told when this node begins and ceases to plan.
    std::function<void(bool aLeads)> onLead;
    /// Told when the set of broken or vouched replicas changed.
    std::function<void()> onBroken;
    /// The store was first listed long enough ago.
    std::function<bool()> entriesSettled;
    /// When the store last told of the fleet to this node itself.
    std::function<Instant()> fleetHeardAt;
  };

  PlannerTask(ServingContext& aContext,
              KeyValueStore& aStore,
              Options aOptions,
              Hooks aHooks);

  void Start();

  /// This node's requests at the target stand still; ask it at once.
  void Suspect(const std::string& aTarget);

  /// Another node's demand.
  void TakeDemands(const std::string& aNode,
                   ModelDemands aDemands,
                   Instant aNow);

  /// Nodes that told of their demand a short while ago, this one included.
  int NodeCount(Instant aNow) const;

  bool Leads() const { return this->leading; }

  /// Lets the lease lapse, for another node to plan.
  void Release();

private:
  struct Probed
  {
    std::optional<TargetReport> report;
    Instant askedAt;
    /// When the last report was asked for.
    Instant reportedAt;
    int missed = 0;
    bool underWay = false;
  };

  struct NodeDemands
  {
    ModelDemands demands;
    Instant at;
  };

  /// Of all nodes together.
  ModelDemands TotalDemands(Instant aNow) const;
  bool MayTry(Instant aNow);
  bool MayTake(Instant aNow) const;
  Task<void> Run();
  void RunRound(Instant aNow);
  void TakeLead();
  /// One line a second on what this planner believes.
  void LogView(const CatalogService& aService,
               const PlannerMembers& aMembers,
               Instant aNow);
  /// Tells nodes of broken replicas and of those that are whole although the
  /// store does not list all of their members.
  void TellReplicas(const FleetPlanner& aPlanner,
                    const PlannerMembers& aMembers,
                    Instant aNow);
  void PlanService(const CatalogService& aService, Instant aNow);
  void AskForReports(const CatalogService& aService,
                     const PlannerMembers& aMembers,
                     Instant aNow);
  PlannerMembers MembersOf(const CatalogService& aService);
  /// Members of replicas whose entries are gone while they still answer: cut
  /// off from the store, or leaving. They finish what runs.
  void AddUnlisted(const CatalogService& aService, PlannerMembers& aMembers);
  /// Drops what is kept of targets that no longer answer or are listed.
  void ForgetGone(const CatalogService& aService,
                  const PlannerMembers& aMembers);
  TargetRecord NewestOf(const CatalogService& aService,
                        const TargetRecord& aEntry,
                        const Probed& aProbe) const;
  /// Each target has reported since this node took the lead, or is silent.
  bool HeardAll(const PlannerMembers& aMembers) const;
  bool MostlySilent(const PlannerMembers& aMembers) const;
  /// Targets of the replica that this one is the head of.
  std::vector<std::string> ReplicaOf(const std::string& aHead) const;
  void StartAsking(const std::string& aTarget,
                   const std::string& aAddress,
                   bool aUrgent,
                   Instant aNow);
  Task<Result<TargetReport>> Ask(std::string aTarget,
                                 std::string aAddress,
                                 bool aUrgent);
  Task<void> AskForReport(std::string aTarget,
                          std::string aAddress,
                          bool aUrgent);
  Task<void> GiveOrder(ReplicaOrder aOrder);
  void OnFenced();
  std::int64_t NextEpoch();

  ServingContext& context;
  Options options;
  Hooks hooks;
  LeaseTask lease;
  HttpConnectionPool pool;
  CheckPacer checks{ CheckPacer::Options{} };
  TakeoverGuard takeover{ TakeoverGuard::Options{} };
  std::map<std::string, std::unique_ptr<FleetPlanner>, std::less<>> planners;
  std::map<std::string, Probed, std::less<>> probed;
  /// Entries of targets, kept when they are gone from the store.
  std::map<std::string, TargetRecord, std::less<>> lastEntries;
  std::map<std::string, Instant, std::less<>> loggedAt;
  std::map<std::string, NodeDemands, std::less<>> demandsByNode;
  Instant ledSince;
  /// Until then, missing reports say nothing about targets.
  Instant lagsUntil;
  /// Since when no node was known to plan.
  Instant leaderlessSince;
  /// When the store last failed to say who plans.
  Instant storeSilentAt;
  bool leading = false;
  std::int64_t fence = 0;
  std::int64_t issued = 0;
};

} // namespace apricottrack

#endif
