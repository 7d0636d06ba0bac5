#include "scenarios/GroupWorld.h"

namespace apricottrack::scenarios::detail {

namespace {

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
  // VMs fail far more often here than in a real fleet, and the number of spares
  // depends on the failure rate.
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

} // namespace

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

} // namespace apricottrack::scenarios::detail
