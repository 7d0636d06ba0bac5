#include "scenarios/GroupWorld.h"

#include <algorithm>

namespace apricottrack::scenarios::detail {

World::World(const Scenario& aScenario)
  : scenario(aScenario)
  , store(this->time, aScenario.seed)
  , start(this->time.Now())
{
  this->store.unconditional = aScenario.naiveVariant == "last_write_wins";
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
      vm.lastResponsive = this->time.Now();
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
World::ListVms() const
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
World::DeliverOrder(const Order& aOrder)
{
  FakeVm* const vm = this->FindVm(aOrder.vm);
  const bool stale =
    this->scenario.checksFencing && aOrder.epoch < vm->order.epoch;
  if (vm->Responds(this->time.Now()) && !stale) {
    vm->order = aOrder;
    vm->loadedAt = this->time.Now() + kLoadTime;
  }
}

void
World::PublishPlan(const KeyValue& aValue)
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
World::SetDomainAlive(const std::string& aDomain, bool aAlive)
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
    this->FindVm(aFault.where)->pausedUntil = now + aFault.activeDuration;
  } else if (aFault.what == "leave_vm") {
    this->FindVm(aFault.where)->leaving = true;
  } else if (aFault.what == "kill_domain") {
    this->SetDomainAlive(aFault.where, false);
  } else if (aFault.what == "pause_node") {
    this->nodes[std::stoul(aFault.where)]->pausedUntil =
      now + aFault.activeDuration;
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
    this->SetDomainAlive(aFault.where, true);
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
  this->time.After(aFault.at + aFault.activeDuration,
                   [this, aFault] { this->End(aFault); });
}

void
World::RunPeriodically(Duration aInterval, std::function<void()> aRun)
{
  this->time.After(aInterval, [this, aInterval, aRun] {
    aRun();
    this->RunPeriodically(aInterval, aRun);
  });
}

void
World::AddViolation(const std::string& aWhat)
{
  if (this->findings.violations.size() < 20) {
    this->findings.violations.push_back(fmt::format(
      "{} at {:.1f}s", aWhat, ToSeconds(this->time.Now() - this->start)));
  }
}

/// Checks that no VM is in two groups and that no domain's epoch decreases.
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
      this->AddViolation("epoch_fell " + plan->domain);
    }
    epoch = std::max(epoch, plan->epoch);
    for (const Assignment& assignment : plan->assignments) {
      for (const PlannedMember& member : assignment.members) {
        const auto [found, inserted] =
          groupOf.emplace(member.vm, assignment.group);
        if (!inserted) {
          this->AddViolation("vm_in_two_groups " + member.vm);
        }
      }
    }
  }
}

bool
World::IsIntact(const Assignment& aAssignment, Instant aNow)
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

/// Checks that no node would send requests to a group for longer than the
/// detection bound after one of its members was lost.
void
World::CheckServing()
{
  const Instant now = this->time.Now();
  Service service;
  service.name = "s";
  service.contract = Contract::kChat;
  for (const auto& node : this->nodes) {
    if (!node->IsRunning(now)) {
      continue;
    }
    for (const GroupStatus& status : node->View().GroupStatuses(now)) {
      if (status.verdict.reason != GateReason::kNone) {
        continue;
      }
      for (const PlannedMember& member : status.assignment.members) {
        FakeVm* const vm = this->FindVm(member.vm);
        const bool present =
          vm->Responds(now) && vm->Incarnation() == member.incarnation;
        const Duration lostFor =
          present ? Duration::zero() : Duration(now - vm->lastResponsive);
        this->findings.worstDetection =
          std::max(this->findings.worstDetection, lostFor);
        if (lostFor > kDetectionBound) {
          this->AddViolation("served_without_member " + member.vm);
        }
      }
    }
  }
  for (FakeVm& vm : this->vms) {
    vm.lastResponsive = vm.Responds(now) ? now : vm.lastResponsive;
  }
}

void
World::Measure()
{
  const Instant now = this->time.Now();
  const double step = ToSeconds(kCheckInterval);
  std::set<std::string> servingVms;
  int groups = 0;
  for (const auto& [key, value] : this->store.Values()) {
    const auto plan = ParseDomainPlan(value.value, "store");
    for (const Assignment& assignment :
         plan ? plan->assignments : std::vector<Assignment>{}) {
      if (this->IsIntact(assignment, now)) {
        ++groups;
        for (const PlannedMember& member : assignment.members) {
          servingVms.insert(member.vm);
        }
      }
    }
  }
  const bool formed = now - this->start >= kFormationTime;
  this->findings.downtime += (formed ? step : 0) * this->scenario.groupSize *
                             std::max(0, this->scenario.groups - groups);
  for (const FakeVm& vm : this->vms) {
    const bool healthy = vm.Responds(now) && !vm.leaving;
    this->findings.stranded +=
      healthy && !servingVms.contains(vm.id) ? step : 0;
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
        if (node.IsRunning(this->time.Now())) {
          (node.*aStep)();
        }
      };
    };
    this->time.After(milliseconds(37 * (i + 1)), [=, this] {
      this->RunPeriodically(kProbeInterval,
                            whileRunning(&PlanningNode::ProbeVms));
      this->RunPeriodically(kPlanInterval, whileRunning(&PlanningNode::Plan));
      this->RunPeriodically(seconds(1),
                            whileRunning(&PlanningNode::RenewLease));
      this->RunPeriodically(kPlanReadInterval,
                            whileRunning(&PlanningNode::ReadPlans));
    });
  }
  this->RunPeriodically(seconds(1), [this] {
    const VmList list = this->ListVms();
    this->time.After(kListLag, [this, list] {
      for (const auto& node : this->nodes) {
        node->OnVmList(list);
      }
    });
  });
  this->RunPeriodically(kCheckInterval, [this] { this->Check(); });
  this->time.RunUntil(this->start + this->scenario.length);
  const double limit = this->scenario.downtimeLimit;
  if (limit >= 0 && this->findings.downtime > limit) {
    this->AddViolation(fmt::format("downtime {:.1f}", this->findings.downtime));
  }
  this->findings.writes = this->store.writes;
  this->findings.reads = this->store.reads;
  return std::move(this->findings);
}

} // namespace apricottrack::scenarios::detail
