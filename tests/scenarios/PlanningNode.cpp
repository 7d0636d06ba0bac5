#include "scenarios/GroupWorld.h"

namespace apricottrack::scenarios::detail {

namespace {

std::unique_ptr<GroupGate>
MakeGate(const Scenario& aScenario)
{
  if (aScenario.naiveVariant == "plan_only") {
    return std::make_unique<PlanOnlyGate>();
  }
  return std::make_unique<IntactGroupGate>(kMaxReportAge);
}

GroupPlanner::Options
PlannerOptions(const Scenario& aScenario)
{
  GroupPlanner::Options options;
  // VMs fail far more often here than in a real fleet, and the number of spares
  // depends on the failure rate.
  options.failuresPerVmDay = 40;
  options.replacementTime = seconds(60);
  if (aScenario.naiveVariant == "trust_silence") {
    options.lossRule = GroupPlanner::LossRule::kAlways;
  }
  if (aScenario.naiveVariant == "first_fit") {
    options.placement = GroupPlanner::Placement::kFirstFit;
    options.failuresPerVmDay = 0;
  }
  return options;
}

} // namespace

PlanningNode::PlanningNode(World& aWorld, int aIndex)
  : world(aWorld)
  , index(aIndex)
  , view(MakeGate(aWorld.scenario), kMaxReportAge)
  , planner(PlannerOptions(aWorld.scenario))
{
  this->view.SetEvacuatedZones({}, aWorld.time.Now());
}

void
PlanningNode::ProbeVms()
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
                               .probedAt = sentAt };
    this->world.time.After(milliseconds(2), [this, id = vm.id, report] {
      if (this->IsRunning(this->world.time.Now())) {
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
           .leaving = this->view.LeavingVms(),
           .evacuated = this->view.EvacuatedVms(),
           .plans = this->view.Plans(),
           .observingSince = this->observingSince };
}

void
PlanningNode::RenewLease()
{
  const Instant now = this->world.time.Now();
  const bool expired = now >= this->world.leaseUntil;
  if (!this->world.store.down &&
      (expired || this->world.leaseHolder == this->index)) {
    this->world.leaseHolder = this->index;
    this->world.leaseUntil = now + kLeaseTtl;
    this->leaseUntil = now + kLeaseTtl;
  }
}

void
PlanningNode::Plan()
{
  const Instant now = this->world.time.Now();
  const std::string& naiveVariant = this->world.scenario.naiveVariant;
  const bool mayPlan = now < this->leaseUntil || naiveVariant == "no_lease" ||
                       naiveVariant == "last_write_wins";
  if (now - this->lastRound > seconds(1)) {
    this->observingSince = now;
  }
  this->lastRound = now;
  if (!mayPlan) {
    return;
  }
  for (DomainPlan& plan :
       this->planner.Plan(this->MakeView(), this->world.time.Wall(), now)) {
    this->WritePlan(std::move(plan));
  }
  this->SendOrders();
}

void
PlanningNode::WritePlan(DomainPlan aPlan)
{
  aPlan.author = fmt::format("{}-{}", this->index, this->nextAuthor++);
  const std::string key = "plans/" + aPlan.domain;
  Swap swap{ .key = key,
             .expected = this->revisions[aPlan.domain],
             .value = EncodeDomainPlan(aPlan) };
  this->world.store.CompareAndSwap(swap, [this, swap](Result<Revision> aReply) {
    if (aReply) {
      this->world.PublishPlan(
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
      this->world.lateOrders ? kLateOrderDelay : Duration(milliseconds(2));
    this->world.time.After(delay,
                           [this, order] { this->world.DeliverOrder(order); });
  }
}

void
PlanningNode::OnPlan(const KeyValue& aValue)
{
  auto plan = ParseDomainPlan(aValue.value, "store");
  if (plan && this->IsRunning(this->world.time.Now())) {
    Revision& known = this->revisions[plan->domain];
    known = std::max(known, aValue.revision);
    this->view.SetPlan(std::move(*plan));
  }
}

void
PlanningNode::OnVmList(const VmList& aVms)
{
  if (this->IsRunning(this->world.time.Now())) {
    this->view.SetVms(aVms);
  }
}

void
PlanningNode::ReadPlans()
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
