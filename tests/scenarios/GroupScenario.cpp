/// Groups under failure: the real planner, gate and node view, with fake VMs
/// and a fake platform. The checker looks at the VMs and the stored plans.

#include "groups/GroupPlanner.h"
#include "node/NodeView.h"
#include "scenarios/FakeStore.h"
#include "scenarios/Scenario.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>

namespace apricottrack::scenarios {

namespace {

constexpr Duration kProbe = milliseconds(500);
constexpr Duration kHeardWithin = seconds(2);
constexpr Duration kPlanRound = milliseconds(250);
constexpr Duration kStep = milliseconds(100);
constexpr Duration kLoad = seconds(2);
constexpr Duration kLeaseTtl = seconds(4);
constexpr Duration kListLag = seconds(1);
constexpr Duration kSlowCheck = seconds(10);
/// Groups form at the start; their downtime counts from here on.
constexpr Duration kForming = seconds(12);
constexpr Duration kLateOrder = seconds(6);
/// A group may be sent requests this long after a member was lost: the
/// bound on hearing, one probe and its delay, and one step of the checker.
constexpr Duration kDetectionBound =
  kHeardWithin + kProbe + milliseconds(10) + kStep;

struct FakeVm
{
  std::string id;
  std::string domain;
  bool alive = true;
  bool leaving = false;
  Instant pausedUntil;
  int incarnation = 1;
  Order order;
  Instant loadedAt;
  /// Since when it could not have served its group.
  Instant lastGood;

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

/// One node: its view, and its turn at planning.
class PlanningNode
{
public:
  PlanningNode(World& aWorld, int aIndex);

  void Probe();
  void Plan();
  void Renew();
  void Relist();
  void OnPlan(const KeyValue& aValue);
  void OnVms(const VmList& aVms);

  bool Runs(Instant aNow) const { return aNow >= this->pausedUntil; }
  NodeView& View() { return this->view; }

  Instant pausedUntil;

private:
  void Write(DomainPlan aPlan);
  void SendOrders();
  PlannerView MakeView() const;

  World& world;
  int index;
  NodeView view;
  GroupPlanner planner;
  std::map<std::string, Revision> revisions;
  Instant leaseUntil;
  Instant lastRound;
  Instant observingSince;
  int nextAuthor = 0;
};

class World
{
public:
  explicit World(const Scenario& aScenario);

  Findings Run();
  void Deliver(const Order& aOrder);
  void Announce(const KeyValue& aValue);
  FakeVm* FindVm(const std::string& aId);
  VmList Listing() const;

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
  void ForDomain(const std::string& aDomain, bool aAlive);
  void Every(Duration aInterval, std::function<void()> aRun);
  void Check();
  void CheckPlans();
  void CheckServing();
  void Measure();
  bool IsWhole(const Assignment& aAssignment, Instant aNow);
  void Violate(const std::string& aWhat);

  Findings findings;
  Instant start;
  std::map<std::string, std::uint64_t> epochs;
};

std::unique_ptr<GroupGate>
MakeGate(const Scenario& aScenario)
{
  if (aScenario.naive == "plan_only") {
    return std::make_unique<PlanOnlyGate>();
  }
  return std::make_unique<WholeGroupGate>(kHeardWithin);
}

GroupPlanner::Options
PlannerOptions(const Scenario& aScenario)
{
  GroupPlanner::Options options;
  // Failures are much denser here than in a fleet; spares are priced by them.
  options.failuresPerVmDay = 40;
  options.replacementTime = seconds(60);
  if (aScenario.naive == "trust_silence") {
    options.silence = GroupPlanner::SilenceRule::kAlways;
  }
  if (aScenario.naive == "first_fit") {
    options.placement = GroupPlanner::Placement::kFirstFit;
    options.failuresPerVmDay = 0;
  }
  return options;
}

PlanningNode::PlanningNode(World& aWorld, int aIndex)
  : world(aWorld)
  , index(aIndex)
  , view(MakeGate(aWorld.scenario), kHeardWithin)
  , planner(PlannerOptions(aWorld.scenario))
{
}

void
PlanningNode::Probe()
{
  const Instant sentAt = this->world.time.Now();
  for (const FakeVm& vm : this->world.vms) {
    if (!vm.Responds(sentAt)) {
      continue;
    }
    const MemberReport report{ .incarnation = vm.Incarnation(),
                               .group = vm.order.group,
                               .epoch = vm.order.epoch,
                               .ready = sentAt >= vm.loadedAt,
                               .requests = 0,
                               .heardAt = sentAt };
    this->world.time.After(milliseconds(2), [this, id = vm.id, report] {
      if (this->Runs(this->world.time.Now())) {
        this->view.SetReport(id, report);
      }
    });
  }
}

PlannerView
PlanningNode::MakeView() const
{
  return { .configuration = this->world.configuration,
           .vms = this->view.Vms(),
           .reports = this->view.Reports(),
           .leaving = this->view.Leaving(),
           .plans = this->view.Plans(),
           .observingSince = this->observingSince };
}

void
PlanningNode::Renew()
{
  const Instant now = this->world.time.Now();
  const bool free = now >= this->world.leaseUntil;
  if (!this->world.store.down &&
      (free || this->world.leaseHolder == this->index)) {
    this->world.leaseHolder = this->index;
    this->world.leaseUntil = now + kLeaseTtl;
    this->leaseUntil = now + kLeaseTtl;
  }
}

void
PlanningNode::Plan()
{
  const Instant now = this->world.time.Now();
  const std::string& naive = this->world.scenario.naive;
  const bool believes =
    now < this->leaseUntil || naive == "no_lease" || naive == "last_write_wins";
  if (now - this->lastRound > seconds(1)) {
    this->observingSince = now;
  }
  this->lastRound = now;
  if (!believes) {
    return;
  }
  for (DomainPlan& plan :
       this->planner.Plan(this->MakeView(), this->world.time.Wall(), now)) {
    this->Write(std::move(plan));
  }
  this->SendOrders();
}

void
PlanningNode::Write(DomainPlan aPlan)
{
  aPlan.author = fmt::format("{}-{}", this->index, this->nextAuthor++);
  const std::string key = "plans/" + aPlan.domain;
  Swap swap{ .key = key,
             .expected = this->revisions[aPlan.domain],
             .value = EncodeDomainPlan(aPlan) };
  this->world.store.CompareAndSwap(swap, [this, swap](Result<Revision> aReply) {
    if (aReply) {
      this->world.Announce(
        { .key = swap.key, .value = swap.value, .revision = *aReply });
    }
  });
}

void
PlanningNode::SendOrders()
{
  for (const Order& order :
       this->planner.OrdersFor(this->MakeView(), this->world.time.Now())) {
    const Duration delay =
      this->world.lateOrders ? kLateOrder : Duration(milliseconds(2));
    this->world.time.After(delay,
                           [this, order] { this->world.Deliver(order); });
  }
}

void
PlanningNode::OnPlan(const KeyValue& aValue)
{
  auto plan = ParseDomainPlan(aValue.value, "store");
  if (plan && this->Runs(this->world.time.Now())) {
    Revision& known = this->revisions[plan->domain];
    known = std::max(known, aValue.revision);
    this->view.SetPlan(std::move(*plan));
  }
}

void
PlanningNode::OnVms(const VmList& aVms)
{
  if (this->Runs(this->world.time.Now())) {
    this->view.SetVms(aVms);
  }
}

void
PlanningNode::Relist()
{
  this->world.store.List("plans/",
                         [this](Result<std::vector<KeyValue>> aReply) {
                           if (aReply) {
                             for (const KeyValue& value : *aReply) {
                               this->OnPlan(value);
                             }
                           }
                         });
}

World::World(const Scenario& aScenario)
  : scenario(aScenario)
  , store(this->time, aScenario.seed)
  , start(this->time.Now())
{
  this->store.unconditional = aScenario.naive == "last_write_wins";
  this->configuration.policy = { .downtimeWeight = aScenario.downtimeWeight,
                                 .strandedWeight = aScenario.strandedWeight };
  this->configuration.groupSets = { { .name = "g",
                                      .service = "s",
                                      .role = "engine",
                                      .count = aScenario.groups,
                                      .size = aScenario.groupSize,
                                      .checksFencing =
                                        aScenario.checksFencing } };
  for (int domain = 0; domain < aScenario.domains; ++domain) {
    for (int i = 0; i < aScenario.vmsPerDomain; ++i) {
      FakeVm vm;
      vm.id = fmt::format("{}-{}", domain, i);
      vm.domain = std::to_string(domain);
      vm.lastGood = this->time.Now();
      this->vms.push_back(vm);
    }
  }
  for (int i = 0; i < aScenario.nodes; ++i) {
    this->nodes.push_back(std::make_unique<PlanningNode>(*this, i));
  }
}

FakeVm*
World::FindVm(const std::string& aId)
{
  const auto found =
    std::find_if(this->vms.begin(), this->vms.end(), [&](const FakeVm& aVm) {
      return aVm.id == aId;
    });
  return found == this->vms.end() ? nullptr : &*found;
}

VmList
World::Listing() const
{
  VmList list;
  for (const FakeVm& vm : this->vms) {
    list.push_back(
      { .id = vm.id,
        .address = vm.id,
        .availabilityZone = vm.domain,
        .fabricDomain = vm.domain,
        .role = "engine",
        .state = vm.leaving ? VmState::kLeaving : VmState::kLive });
  }
  return list;
}

void
World::Deliver(const Order& aOrder)
{
  FakeVm* const vm = this->FindVm(aOrder.vm);
  const bool stale =
    this->scenario.checksFencing && aOrder.epoch < vm->order.epoch;
  if (vm->Responds(this->time.Now()) && !stale) {
    vm->order = aOrder;
    vm->loadedAt = this->time.Now() + kLoad;
  }
}

void
World::Announce(const KeyValue& aValue)
{
  for (const auto& node : this->nodes) {
    this->time.After(milliseconds(3), [this, &node, aValue] {
      if (!this->store.down) {
        node->OnPlan(aValue);
      }
    });
  }
}

void
World::ForDomain(const std::string& aDomain, bool aAlive)
{
  for (FakeVm& vm : this->vms) {
    if (vm.domain == aDomain) {
      vm.incarnation += aAlive && !vm.alive ? 1 : 0;
      vm.alive = aAlive;
      vm.order = {};
    }
  }
}

void
World::Begin(const Fault& aFault)
{
  const Instant now = this->time.Now();
  if (aFault.what == "kill_vm") {
    this->FindVm(aFault.where)->alive = false;
  } else if (aFault.what == "restart_vm") {
    FakeVm* const vm = this->FindVm(aFault.where);
    ++vm->incarnation;
    vm->order = {};
  } else if (aFault.what == "pause_vm") {
    this->FindVm(aFault.where)->pausedUntil = now + aFault.lasts;
  } else if (aFault.what == "leave_vm") {
    this->FindVm(aFault.where)->leaving = true;
  } else if (aFault.what == "kill_domain") {
    this->ForDomain(aFault.where, false);
  } else if (aFault.what == "pause_node") {
    this->nodes[std::stoul(aFault.where)]->pausedUntil = now + aFault.lasts;
  } else if (aFault.what == "platform_down") {
    this->store.down = true;
  } else if (aFault.what == "platform_slow") {
    this->store.slow = true;
  } else if (aFault.what == "lose_replies") {
    this->store.losesReplies = true;
  } else if (aFault.what == "late_orders") {
    this->lateOrders = true;
  }
}

void
World::End(const Fault& aFault)
{
  if (aFault.what == "kill_vm") {
    FakeVm* const vm = this->FindVm(aFault.where);
    vm->alive = true;
    ++vm->incarnation;
    vm->order = {};
  } else if (aFault.what == "leave_vm") {
    this->FindVm(aFault.where)->leaving = false;
  } else if (aFault.what == "kill_domain") {
    this->ForDomain(aFault.where, true);
  } else if (aFault.what == "platform_down") {
    this->store.down = false;
  } else if (aFault.what == "platform_slow") {
    this->store.slow = false;
  } else if (aFault.what == "lose_replies") {
    this->store.losesReplies = false;
  } else if (aFault.what == "late_orders") {
    this->lateOrders = false;
  }
}

void
World::Schedule(const Fault& aFault)
{
  this->time.After(aFault.at, [this, aFault] { this->Begin(aFault); });
  this->time.After(aFault.at + aFault.lasts,
                   [this, aFault] { this->End(aFault); });
}

void
World::Every(Duration aInterval, std::function<void()> aRun)
{
  this->time.After(aInterval, [this, aInterval, aRun] {
    aRun();
    this->Every(aInterval, aRun);
  });
}

void
World::Violate(const std::string& aWhat)
{
  if (this->findings.violations.size() < 20) {
    this->findings.violations.push_back(fmt::format(
      "{} at {:.1f}s", aWhat, ToSeconds(this->time.Now() - this->start)));
  }
}

/// No VM in two groups, and fencing numbers that never fall.
void
World::CheckPlans()
{
  std::map<std::string, std::string> groupOf;
  for (const auto& [key, value] : this->store.Values()) {
    const auto plan = ParseDomainPlan(value.value, "store");
    if (!plan) {
      continue;
    }
    std::uint64_t& epoch = this->epochs[plan->domain];
    if (plan->epoch < epoch) {
      this->Violate("epoch_fell " + plan->domain);
    }
    epoch = std::max(epoch, plan->epoch);
    for (const Assignment& assignment : plan->assignments) {
      for (const PlannedMember& member : assignment.members) {
        const auto [found, fresh] =
          groupOf.emplace(member.vm, assignment.group);
        if (!fresh) {
          this->Violate("vm_in_two_groups " + member.vm);
        }
      }
    }
  }
}

bool
World::IsWhole(const Assignment& aAssignment, Instant aNow)
{
  return std::all_of(aAssignment.members.begin(),
                     aAssignment.members.end(),
                     [&](const PlannedMember& aMember) {
                       const FakeVm* const vm = this->FindVm(aMember.vm);
                       return vm->Responds(aNow) &&
                              vm->Incarnation() == aMember.incarnation &&
                              vm->order.group == aAssignment.group &&
                              vm->order.epoch == aAssignment.epoch &&
                              aNow >= vm->loadedAt;
                     });
}

/// A node that would send to a group is right, or has not been wrong for
/// longer than the bound.
void
World::CheckServing()
{
  const Instant now = this->time.Now();
  Service service;
  service.name = "s";
  service.contract = Contract::kChat;
  for (const auto& node : this->nodes) {
    if (!node->Runs(now)) {
      continue;
    }
    for (const GroupStatus& status : node->View().Groups(now)) {
      if (status.verdict.reason != GateReason::kNone) {
        continue;
      }
      for (const PlannedMember& member : status.assignment.members) {
        FakeVm* const vm = this->FindVm(member.vm);
        const bool good =
          vm->Responds(now) && vm->Incarnation() == member.incarnation;
        const Duration wrong =
          good ? Duration::zero() : Duration(now - vm->lastGood);
        this->findings.worstDetection =
          std::max(this->findings.worstDetection, wrong);
        if (wrong > kDetectionBound) {
          this->Violate("served_without_member " + member.vm);
        }
      }
    }
  }
  for (FakeVm& vm : this->vms) {
    vm.lastGood = vm.Responds(now) ? now : vm.lastGood;
  }
}

void
World::Measure()
{
  const Instant now = this->time.Now();
  const double step = ToSeconds(kStep);
  std::set<std::string> serving;
  int groups = 0;
  for (const auto& [key, value] : this->store.Values()) {
    const auto plan = ParseDomainPlan(value.value, "store");
    for (const Assignment& assignment :
         plan ? plan->assignments : std::vector<Assignment>{}) {
      if (this->IsWhole(assignment, now)) {
        ++groups;
        for (const PlannedMember& member : assignment.members) {
          serving.insert(member.vm);
        }
      }
    }
  }
  const bool formed = now - this->start >= kForming;
  this->findings.downtime += (formed ? step : 0) * this->scenario.groupSize *
                             std::max(0, this->scenario.groups - groups);
  for (const FakeVm& vm : this->vms) {
    const bool healthy = vm.Responds(now) && !vm.leaving;
    this->findings.stranded += healthy && !serving.contains(vm.id) ? step : 0;
    this->findings.total += step;
  }
}

void
World::Check()
{
  this->CheckPlans();
  this->CheckServing();
  this->Measure();
}

Findings
World::Run()
{
  for (const Fault& fault : this->scenario.faults) {
    this->Schedule(fault);
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    PlanningNode& node = *this->nodes[i];
    const auto whileRunning = [this, &node](void (PlanningNode::*aStep)()) {
      return [this, &node, aStep] {
        if (node.Runs(this->time.Now())) {
          (node.*aStep)();
        }
      };
    };
    this->time.After(milliseconds(37 * (i + 1)), [=, this] {
      this->Every(kProbe, whileRunning(&PlanningNode::Probe));
      this->Every(kPlanRound, whileRunning(&PlanningNode::Plan));
      this->Every(seconds(1), whileRunning(&PlanningNode::Renew));
      this->Every(kSlowCheck, whileRunning(&PlanningNode::Relist));
    });
  }
  this->Every(seconds(1), [this] {
    const VmList list = this->Listing();
    this->time.After(kListLag, [this, list] {
      for (const auto& node : this->nodes) {
        node->OnVms(list);
      }
    });
  });
  this->Every(kStep, [this] { this->Check(); });
  this->time.RunUntil(this->start + this->scenario.length);
  const double limit = this->scenario.downtimeLimit;
  if (limit >= 0 && this->findings.downtime > limit) {
    this->Violate(fmt::format("downtime {:.1f}", this->findings.downtime));
  }
  this->findings.writes = this->store.writes;
  this->findings.reads = this->store.reads;
  return std::move(this->findings);
}

} // namespace

Findings
RunGroups(const Scenario& aScenario)
{
  return World(aScenario).Run();
}

} // namespace apricottrack::scenarios
