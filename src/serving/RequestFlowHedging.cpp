#include "serving/RequestFlow.h"

// The part of RequestFlow that calls a second target while the current call may
// still complete the request, and cancels calls.
namespace apricottrack {

bool
RequestFlow::MayHedge(Instant aNow) const
{
  return this->call != nullptr && this->hedge == nullptr &&
         !this->callerDisconnected && !this->targetAbandoned &&
         this->admittedRequest.route->IsRepeatable() &&
         this->TargetsLeft() > 0 &&
         this->history.sendCount < kMaxRefusedHedges &&
         aNow + kMinCallTime < this->Deadline() && !this->MayCrashTargets() &&
         !this->context.quarantine.RemainingFor(this->crashKeys, aNow);
}

void
RequestFlow::HedgeCurrentCall(HedgeReason aReason)
{
  const Instant now = MonotonicNow();
  if (this->hedge != nullptr && aReason == HedgeReason::kReplicaBroken) {
    this->hedgeReason = aReason;
  }
  if (!this->MayHedge(now)) {
    return;
  }
  const TargetChoice targetChoice = this->ChooseTarget(now);
  PlacementChoice choice = targetChoice.placement;
  if (const auto node = this->ChooseNode(targetChoice, now)) {
    choice = { .refusal = PlacementRefusal::kNone, .target = *node };
  }
  // The retry is consumed here, not once the current call has failed: several
  // requests of one target are hedged at the same time.
  if (choice.refusal != PlacementRefusal::kNone ||
      !this->Budget().TryConsume()) {
    this->context.counters.Add("hedges_denied");
    return;
  }
  TargetCall::Options callOptions =
    this->MakeCallOptions(choice.target, true, now);
  this->RecordSend(choice.target, now);
  this->context.counters.Add("hedges");
  this->hedgeReason = aReason;
  this->hedge = std::make_shared<HedgeCall>(
    this->context,
    HedgeCall::Options{ .target = choice.target,
                        .estimatedLoad = choice.load,
                        .call = std::move(callOptions) });
  this->hedge->Start([this] { this->OnHedgeHead(); });
}

void
RequestFlow::OnHedgeHead()
{
  if (this->call == nullptr) {
    // ContinueWithHedge is waiting for it.
    return;
  }
  if (this->hedge->IsUsable(this->IsStream())) {
    this->targetAbandoned = true;
    this->call->Cancel();
    return;
  }
  this->EndFailedHedge();
  this->HedgeCurrentCall(this->hedgeReason);
}

Task<CallEnd>
RequestFlow::ContinueWithHedge(CallEnd aEnd)
{
  const std::shared_ptr<HedgeCall> next = this->hedge;
  // A quarantine that is added during the wait cancels the hedge as well.
  const auto waiting = this->context.running.emplace(next->Target().id, this);
  co_await next->WaitForHead();
  this->context.running.erase(waiting);
  if (this->hedge == nullptr) {
    co_return this->callerDisconnected ? CallEnd::kCallerGone : aEnd;
  }
  this->LogCall(this->lastTargetId, aEnd, "hedge");
  this->hedge = nullptr;
  this->estimatedLoad = next->EstimatedLoad();
  this->BeginCall(next->Call(), next->Target());
  co_return co_await this->CompleteCall(next->Head());
}

void
RequestFlow::EndFailedHedge()
{
  const std::shared_ptr<HedgeCall> ended = std::exchange(this->hedge, nullptr);
  const Instant now = MonotonicNow();
  const std::string& id = ended->Target().id;
  CallEnd end = CallEnd::kTargetFailed;
  if (!ended->Head()) {
    end = this->ClassifyFailure(ended->Call(), ended->Head().error());
    if (!IsNodeCandidate(id) && IsConnectionLost(end, ended->Head().error())) {
      this->RecordLoss(id, ended->Call(), now);
    }
  } else if (this->RecordHead(id, ended->Call(), *ended->Head(), now).notRun) {
    end = CallEnd::kNotRun;
  }
  this->context.loads.OnEnded(id);
  this->context.stalls.OnEnded(id, false);
  this->RecordAvailability(id, ended->Call(), end);
  this->CountCall(id, ended->Call(), end);
  this->LogCall(id, end, "none");
}

bool
RequestFlow::ResolveHedgeOnProgress()
{
  if (this->targetAbandoned) {
    return false;
  }
  if (this->hedge != nullptr &&
      this->hedgeReason == HedgeReason::kReplicaBroken) {
    this->targetAbandoned = true;
    this->call->Cancel();
    return false;
  }
  this->CancelHedge();
  return true;
}

void
RequestFlow::CancelHedge()
{
  if (this->hedge == nullptr) {
    return;
  }
  const std::shared_ptr<HedgeCall> cancelled =
    std::exchange(this->hedge, nullptr);
  cancelled->Cancel();
  this->context.counters.Add("hedges_cancelled");
  this->context.loads.OnEnded(cancelled->Target().id);
  this->context.stalls.OnEnded(cancelled->Target().id, false);
  this->CountCall(
    cancelled->Target().id, cancelled->Call(), CallEnd::kNoAnswer);
}

void
RequestFlow::CancelIfQuarantined()
{
  if (this->soundness.IsProven() ||
      !this->context.quarantine.RemainingFor(this->crashKeys, MonotonicNow())) {
    return;
  }
  this->CancelHedge();
  if (this->call != nullptr) {
    this->targetAbandoned = true;
    this->call->Cancel();
  }
}

} // namespace apricottrack
