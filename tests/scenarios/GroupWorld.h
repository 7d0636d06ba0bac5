#ifndef APRICOTTRACK_TESTS_SCENARIOS_GROUPWORLD_H
#define APRICOTTRACK_TESTS_SCENARIOS_GROUPWORLD_H

#include "groups/GroupPlanner.h"
#include "node/NodeView.h"
#include "scenarios/FakeStore.h"
#include "scenarios/Scenario.h"

#include <fmt/format.h>
#include <memory>

/// Fake VMs, nodes that plan replica groups on them with the production code,
/// and the checker of the group scenarios.
namespace apricottrack::scenarios::detail {

inline constexpr Duration kProbeInterval = milliseconds(500);
inline constexpr Duration kMaxReportAge = seconds(2);
inline constexpr Duration kPlanInterval = milliseconds(250);
inline constexpr Duration kCheckInterval = milliseconds(100);
/// Time from an order until the target is ready.
inline constexpr Duration kLoadTime = seconds(2);
inline constexpr Duration kLeaseTtl = seconds(4);
/// Delay of the platform's list of VMs.
inline constexpr Duration kListLag = seconds(1);
/// Interval at which a node reads all plans, besides being notified of changes.
inline constexpr Duration kPlanReadInterval = seconds(10);
/// Time from the start in which groups are formed; downtime counts after it.
inline constexpr Duration kFormationTime = seconds(12);
/// Delay of an order under the fault late_orders.
inline constexpr Duration kLateOrderDelay = seconds(6);
/// Maximum time after the loss of a member for which a group may still be sent
/// requests: maximum report age, one probe interval and its delay, and one
/// interval of the checker.
inline constexpr Duration kDetectionBound =
  kMaxReportAge + kProbeInterval + milliseconds(10) + kCheckInterval;

/// A VM with one target.
struct FakeVm
{
  std::string id;
  std::string domain;
  bool alive = true;
  bool leaving = false;
  Instant pausedUntil;
  int incarnation = 1;
  Order order;
  /// When the target is ready for its order.
  Instant loadedAt;
  /// When the checker last found it responding.
  Instant lastResponsive;

  bool Responds(Instant aNow) const
  {
    return this->alive && aNow >= this->pausedUntil;
  }

  std::string Incarnation() const
  {
    return fmt::format("{}#{}", this->id, this->incarnation);
  }
};

class World;

/// One node: its view of the fleet, and the planner that it runs while it
/// holds the lease.
class PlanningNode
{
public:
  PlanningNode(World& aWorld, int aIndex);

  void ProbeVms();
  void Plan();
  void RenewLease();
  void ReadPlans();
  void OnPlan(const KeyValue& aValue);
  void OnVmList(const VmList& aVms);

  bool IsRunning(Instant aNow) const { return aNow >= this->pausedUntil; }
  NodeView& View() { return this->view; }

  Instant pausedUntil;

private:
  void WritePlan(DomainPlan aPlan);
  void SendOrders();
  PlannerView MakeView() const;

  World& world;
  int index;
  NodeView view;
  GroupPlanner planner;
  /// Last known revision of each domain's plan.
  std::map<std::string, Revision> revisions;
  Instant leaseUntil;
  Instant lastRound;
  Instant observingSince;
  int nextAuthor = 0;
};

/// The fleet, the store, the nodes and the planner's lease of one run. Injects
/// the faults and checks plans and gates at each interval.
class World
{
public:
  explicit World(const Scenario& aScenario);

  Findings Run();
  void DeliverOrder(const Order& aOrder);
  void PublishPlan(const KeyValue& aValue);
  FakeVm* FindVm(const std::string& aId);
  VmList ListVms() const;

  const Scenario& scenario;
  VirtualTime time;
  FakeStore store;
  Configuration configuration;
  std::vector<FakeVm> vms;
  std::vector<std::unique_ptr<PlanningNode>> nodes;
  int leaseHolder = -1;
  Instant leaseUntil;
  bool lateOrders = false;

private:
  void Schedule(const Fault& aFault);
  void Begin(const Fault& aFault);
  void End(const Fault& aFault);
  void SetDomainAlive(const std::string& aDomain, bool aAlive);
  void RunPeriodically(Duration aInterval, std::function<void()> aRun);
  void Check();
  void CheckPlans();
  void CheckServing();
  void Measure();
  bool IsIntact(const Assignment& aAssignment, Instant aNow);
  void AddViolation(const std::string& aWhat);

  Findings findings;
  Instant start;
  /// Highest epoch seen of each domain.
  std::map<std::string, std::uint64_t> epochs;
};

} // namespace apricottrack::scenarios::detail

#endif
