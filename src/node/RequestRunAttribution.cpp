#include "node/RequestRun.h"

#include "base/Hash.h"
#include "node/TargetAttempt.h"

// The part of RequestRun that records what its attempts show about requests
// that crash targets, and that refuses those.
namespace apricottrack {

void
RequestRun::OnStreamProgress(Instant aNow)
{
  if (this->soundness.OnProgress(aNow)) {
    this->provenSound = true;
    this->context.crashRecorder.OnAnswered(this->crashKeys, aNow);
  }
}

void
RequestRun::RecordForAttribution(const TargetAttempt& aAttempt,
                                 AttemptEnd aEnd,
                                 Instant aNow)
{
  // A request that was proven sound is counted already, and has not caused a
  // later loss.
  if (this->soundness.IsProven()) {
    return;
  }
  if (aEnd == AttemptEnd::kAnswered) {
    this->provenSound = true;
    this->context.crashRecorder.OnAnswered(this->crashKeys, aNow);
  } else if (aAttempt.IsConnectionLost()) {
    if (this->runId.empty()) {
      this->runId = RandomId();
    }
    this->context.crashRecorder.OnLost(
      this->lastTargetId,
      this->crashKeys,
      { .attempt = this->runId, .runTime = aNow - aAttempt.SentAt() },
      aNow);
  }
}

bool
RequestRun::MayCrashTargets() const
{
  return !this->provenSound &&
         this->context.crashRecorder.IsUnansweredSuspect(this->identity);
}

std::optional<Refusal>
RequestRun::QuarantineRefusal() const
{
  const auto remaining =
    this->context.quarantine.RemainingFor(this->crashKeys, MonotonicNow());
  if (!remaining) {
    return std::nullopt;
  }
  Refusal refusal = MakeQuarantineRefusal(*remaining);
  if (this->mayHaveRun) {
    refusal.status = 502;
    refusal.outcome = Outcome::kUnknown;
  }
  return refusal;
}

Task<RequestRun::RequestResult>
RequestRun::RefuseAfterJournal(Refusal aRefusal)
{
  const auto intentResult = co_await this->RecordIntent();
  if (intentResult) {
    co_return *intentResult;
  }
  const Outcome outcome = aRefusal.outcome;
  RequestResult result{ .outcome = outcome, .refusal = std::move(aRefusal) };
  co_await this->RecordEnd(result);
  co_return result;
}

} // namespace apricottrack
