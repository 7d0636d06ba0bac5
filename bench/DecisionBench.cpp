/// Benchmarks of single routing, planning and admission decisions for 50 to 600
/// targets or replica groups.

#include "groups/GroupPlanner.h"
#include "limits/AccountLimiter.h"
#include "node/NodeView.h"
#include "routing/Router.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(100) };

std::vector<Target>
MakeTargets(std::int64_t aCount)
{
  std::vector<Target> targets;
  for (std::int64_t i = 0; i < aCount; ++i) {
    Target target;
    target.id = fmt::format("group-{}#1", i);
    target.group = fmt::format("group-{}", i);
    target.slots = 8;
    target.reportedAt = kNow;
    targets.push_back(target);
  }
  return targets;
}

void
BenchChoose(benchmark::State& aState)
{
  Router router({ .availabilityZone = "a" }, MakeAffinityStrategy());
  router.SetTargets(MakeTargets(aState.range(0)));
  Random random(1);
  std::uint64_t prefix = 1;
  for (auto _ : aState) {
    const RouteKey key{ .prefix = ++prefix };
    const auto target = router.Choose(key, {}, kNow, random);
    router.OnStart(target->id, kNow);
    router.OnFirstByte(target->id, milliseconds(20));
    router.OnEnd(target->id, false, kNow);
    benchmark::DoNotOptimize(router.FreeSlots(kNow));
  }
  aState.SetComplexityN(aState.range(0));
}

void
BenchSetTargets(benchmark::State& aState)
{
  Router router({ .availabilityZone = "a" }, MakeAffinityStrategy());
  const auto targets = MakeTargets(aState.range(0));
  for (auto _ : aState) {
    router.SetTargets(targets);
  }
  aState.SetComplexityN(aState.range(0));
}

/// A planned fleet in which all replica groups, of four VMs each, serve. A
/// fabric domain holds 64 VMs.
struct Fleet
{
  explicit Fleet(std::int64_t aGroups)
  {
    this->configuration.groupSets = { { .name = "g",
                                        .service = "s",
                                        .role = "engine",
                                        .count = static_cast<int>(aGroups),
                                        .size = 4 } };
    for (std::int64_t i = 0; i < aGroups * 4; ++i) {
      const std::string id = fmt::format("vm-{}", i);
      this->vms.push_back({ .id = id,
                            .address = "10.0.0.1:80",
                            .availabilityZone = "a",
                            .fabricDomain = fmt::format("d-{}", i / 64),
                            .role = "engine" });
      this->reports[id] = { .incarnation = "i", .probedAt = kNow };
    }
    const GroupPlanner planner{ GroupPlanner::Options{} };
    for (DomainPlan& plan : planner.Plan(this->View(), 0, kNow)) {
      for (const Assignment& assignment : plan.assignments) {
        for (const PlannedMember& member : assignment.members) {
          MemberReport& report = this->reports[member.vm];
          report.group = assignment.group;
          report.epoch = assignment.epoch;
          report.ready = true;
        }
      }
      this->plans[plan.domain] = std::move(plan);
    }
  }

  PlannerView View() const
  {
    return { .configuration = this->configuration,
             .vms = this->vms,
             .reports = this->reports,
             .leaving = this->leaving,
             .evacuated = this->evacuated,
             .plans = this->plans,
             .observingSince = {} };
  }

  Configuration configuration;
  VmList vms;
  MemberReports reports;
  std::set<std::string, std::less<>> leaving;
  std::set<std::string, std::less<>> evacuated;
  DomainPlans plans;
};

void
BenchPlan(benchmark::State& aState)
{
  const Fleet fleet(aState.range(0));
  const GroupPlanner planner{ GroupPlanner::Options{} };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(planner.Plan(fleet.View(), 0, kNow));
    benchmark::DoNotOptimize(planner.OrdersFor(fleet.View(), kNow));
  }
  aState.SetComplexityN(aState.range(0));
}

void
BenchTargetsFor(benchmark::State& aState)
{
  const Fleet fleet(aState.range(0));
  NodeView view(std::make_unique<IntactGroupGate>(seconds(2)), seconds(2));
  view.SetVms(fleet.vms);
  view.SetEvacuatedZones({}, kNow);
  for (const auto& [domain, plan] : fleet.plans) {
    view.SetPlan(plan);
  }
  for (const auto& [vm, report] : fleet.reports) {
    view.SetReport(vm, report);
  }
  Service service;
  service.name = "s";
  service.contract = Contract::kChat;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(view.TargetsFor(service, kNow));
  }
  aState.SetComplexityN(aState.range(0));
}

void
BenchAdmitAccount(benchmark::State& aState)
{
  AccountLimiter limiter;
  ClientAccount account;
  account.name = "a";
  account.requestsPerSecond = 1e9;
  account.tokensPerSecond = 1e9;
  Instant now = kNow;
  for (auto _ : aState) {
    now += microseconds(10);
    benchmark::DoNotOptimize(limiter.Admit(account, 100, now));
  }
}

} // namespace

BENCHMARK(BenchChoose)->Arg(50)->Arg(150)->Arg(300)->Arg(600)->Complexity();
BENCHMARK(BenchSetTargets)->Arg(50)->Arg(600)->Complexity();
BENCHMARK(BenchTargetsFor)->Arg(50)->Arg(600)->Complexity();
BENCHMARK(BenchPlan)->Arg(50)->Arg(150)->Arg(600)->Complexity();
BENCHMARK(BenchAdmitAccount);
BENCHMARK_MAIN();
