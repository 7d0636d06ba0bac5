#ifndef APRICOTTRACK_TESTS_FAKEFLEET_H
#define APRICOTTRACK_TESTS_FAKEFLEET_H

#include "replicas/FleetPlanner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>

/// Simulated targets and helpers for tests of FleetPlanner.
namespace apricottrack {

inline constexpr Instant kStart{ seconds(1000) };

inline CatalogService
MakeEngineService()
{
  EngineSpec engine;
  engine.batchSlots = 26;
  engine.loadsPerSecond = 4.5;
  engine.concurrentLoads = 6;
  engine.stride = 7;
  engine.prefillTokensPerSecond = 50'700;
  engine.models = {
    { .name = "large", .size = 4, .share = 0.57, .loadTime = seconds(16) },
    { .name = "small", .size = 3, .share = 0.43, .loadTime = seconds(12) },
  };
  return { .name = "advisor", .engine = engine };
}

inline TargetRecord
MakeTarget(int aNumber, const std::string& aDomain = "d1")
{
  return { .id = fmt::format("t{:02}", aNumber),
           .service = "advisor",
           .address = fmt::format("10.0.0.{}:80", aNumber),
           .availabilityZone = "a",
           .fabricDomain = aDomain,
           .slots = 26,
           .startedAt = 1 };
}

/// Simulates the targets of one service. Orders take effect immediately, unless
/// `delayOpens` is set.
class FakeFleet
{
public:
  explicit FakeFleet(int aTargetCount)
  {
    for (int i = 0; i < aTargetCount; ++i) {
      this->Add(MakeTarget(i));
    }
  }

  void Add(TargetRecord aRecord)
  {
    const std::string id = aRecord.id;
    this->members[id] = { .record = std::move(aRecord) };
  }

  /// Executes the orders on the simulated targets.
  void Execute(const std::vector<ReplicaOrder>& aOrders)
  {
    for (const ReplicaOrder& order : aOrders) {
      if (this->delayOpens && order.kind == OrderKind::kOpen) {
        this->delayedOpens.push_back(order);
      } else {
        this->ExecuteOrder(order);
      }
    }
  }

  /// Delays open orders that the targets may carry out once more.
  void DelayOpens(const std::vector<ReplicaOrder>& aOrders)
  {
    this->delayedOpens.insert(
      this->delayedOpens.end(), aOrders.begin(), aOrders.end());
  }

  /// Executes the delayed open orders that still match the target's membership.
  void ExecuteDelayedOpens()
  {
    for (const ReplicaOrder& order : this->delayedOpens) {
      const auto& membership = this->members.at(order.target).record.membership;
      if (membership && membership->replica == order.replica &&
          membership->epoch == order.epoch) {
        this->ExecuteOrder(order);
      }
    }
    this->delayedOpens.clear();
  }

  FleetPlannerView View(bool aBeforeTraffic = false) const
  {
    return { .service = this->service,
             .members = this->members,
             .demands = this->demands,
             .beforeTraffic = aBeforeTraffic,
             .longestUnrepeatableWork = this->longestUnrepeatableWork };
  }

  /// Runs planning rounds every 50 ms until 100 in a row issue no order.
  /// Returns the number of orders.
  int RunUntilIdle(FleetPlanner& aPlanner,
                   Instant& aNow,
                   bool aBeforeTraffic = false)
  {
    int orders = 0;
    for (int idleRounds = 0; idleRounds < 100;) {
      const auto issued = aPlanner.PlanRound(this->View(aBeforeTraffic), aNow);
      this->Execute(issued);
      orders += static_cast<int>(issued.size());
      for (const ReplicaOrder& order : issued) {
        UNSCOPED_INFO(OrderKindName(order.kind)
                      << " " << order.target << " " << order.replica << " "
                      << order.model);
      }
      idleRounds = issued.empty() ? idleRounds + 1 : 0;
      aNow += milliseconds(50);
    }
    return orders;
  }

  CatalogService service = MakeEngineService();
  PlannerMembers members;
  ModelDemands demands;
  Duration longestUnrepeatableWork = Duration::zero();
  /// Heads have work: those that close gently do not stop by themselves.
  bool headsHaveWork = false;
  /// Targets that were ordered into another replica while the head of their
  /// current one was serving.
  std::vector<std::string> violations;
  /// Open orders are collected and take effect in `ExecuteDelayedOpens`.
  bool delayOpens = false;

private:
  std::vector<ReplicaOrder> delayedOpens;

  /// Returns true if the head of the target's replica is serving.
  bool IsInOpenReplica(const TargetRecord& aRecord) const
  {
    if (!aRecord.membership) {
      return false;
    }
    for (const auto& [id, member] : this->members) {
      const auto& membership = member.record.membership;
      if (membership && membership->replica == aRecord.membership->replica &&
          membership->epoch == aRecord.membership->epoch &&
          membership->rank == 0) {
        return membership->state == MemberState::kOpen;
      }
    }
    return false;
  }

  void ExecuteOrder(const ReplicaOrder& aOrder)
  {
    TargetRecord& record = this->members.at(aOrder.target).record;
    switch (aOrder.kind) {
      case OrderKind::kJoin: {
        if (record.membership && record.membership->epoch >= aOrder.epoch) {
          return;
        }
        if (this->IsInOpenReplica(record) &&
            record.membership->replica != aOrder.replica) {
          this->violations.push_back(aOrder.target);
        }
        const auto position = std::find(
          aOrder.members.begin(), aOrder.members.end(), aOrder.target);
        record.membership = { .replica = aOrder.replica,
                              .epoch = aOrder.epoch,
                              .rank = static_cast<int>(position -
                                                       aOrder.members.begin()),
                              .state = MemberState::kReady };
        record.model = aOrder.model;
        break;
      }
      case OrderKind::kOpen:
        record.membership->state = MemberState::kOpen;
        break;
      case OrderKind::kCloseNow:
      case OrderKind::kCloseGently:
        if (record.membership &&
            (record.membership->state == MemberState::kOpen ||
             record.membership->state == MemberState::kClosing)) {
          record.membership->state =
            this->headsHaveWork && aOrder.kind == OrderKind::kCloseGently
              ? MemberState::kClosing
              : MemberState::kReady;
        }
        break;
      case OrderKind::kLeave:
        record.membership.reset();
        record.model.clear();
        break;
      case OrderKind::kStage:
        record.stagedModels = { aOrder.model };
        break;
    }
  }
};

/// Makes a planner whose epochs start after `aFencingToken` times 1000, so that
/// those of a planner with a higher fencing token are higher.
inline FleetPlanner
MakePlanner(std::int64_t aFencingToken)
{
  return FleetPlanner(
    FleetPlanner::Options{},
    [next = aFencingToken * 1000]() mutable { return ++next; });
}

/// Returns the number of serving replicas.
inline int
CountServing(const FleetPlanner& aPlanner)
{
  return aPlanner.CountReplicas("large", ReplicaPhase::kServing) +
         aPlanner.CountReplicas("small", ReplicaPhase::kServing);
}

} // namespace apricottrack

#endif
