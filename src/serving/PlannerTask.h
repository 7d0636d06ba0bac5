#ifndef APRICOTTRACK_SERVING_PLANNERTASK_H
#define APRICOTTRACK_SERVING_PLANNERTASK_H

#include "node/LeaseTask.h"
#include "replicas/FleetPlanner.h"
#include "serving/ServingContext.h"

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
    /// Between two reports of a target that is doing nothing special.
    Duration reportEvery = milliseconds(700);
    /// Between two reports of a target whose order is under way.
    Duration awaitedEvery = milliseconds(100);
    /// Targets answer within a few milliseconds.
    Duration reportTimeout = milliseconds(200);
    Duration orderTimeout = milliseconds(800);
    /// Reports in a row that a lost target has missed.
    int silentAfter = 2;
  };

  PlannerTask(ServingContext& aContext,
              KeyValueStore& aStore,
              Options aOptions);

  void Start();

  /// This node's requests at the target stand still; ask it at once.
  void Suspect(const std::string& aTarget);

  bool Leads() const { return this->leading; }

  /// Lets the lease lapse, for another node to plan.
  void Release();

private:
  struct Probed
  {
    std::optional<TargetReport> report;
    Instant askedAt;
    Instant heardAt;
    int missed = 0;
    bool underWay = false;
    bool suspect = false;
  };

  Task<void> Run();
  void RunRound(Instant aNow);
  void TakeLead(Instant aNow);
  void PlanService(const CatalogService& aService, Instant aNow);
  void AskForReports(const CatalogService& aService, Instant aNow);
  PlannerMembers MembersOf(const CatalogService& aService) const;
  bool MostlySilent(const PlannerMembers& aMembers) const;
  Task<void> AskForReport(std::string aTarget, std::string aAddress);
  Task<void> GiveOrder(ReplicaOrder aOrder);
  void OnFenced();
  std::int64_t NextEpoch();

  ServingContext& context;
  Options options;
  LeaseTask lease;
  HttpConnectionPool pool;
  std::map<std::string, std::unique_ptr<FleetPlanner>, std::less<>> planners;
  std::map<std::string, Probed, std::less<>> probed;
  bool leading = false;
  std::int64_t fence = 0;
  std::int64_t issued = 0;
};

} // namespace apricottrack

#endif
