#include "serving/RequestFlow.h"

// The part of RequestFlow that records what its calls show about requests and
// prompt parts that crash targets.
namespace apricottrack {

void
RequestFlow::RecordStreamProgress(Instant aNow)
{
  if (this->soundness.OnProgress(aNow)) {
    this->everProvenSound = true;
    if (!IsNodeCandidate(this->lastTargetId)) {
      this->context.crashRecorder.OnAnswered(this->crashKeys, aNow);
    }
  }
}

void
RequestFlow::RecordLoss(const std::string& aTargetId,
                        const TargetCall& aCall,
                        Instant aNow)
{
  this->context.crashRecorder.OnLost(
    aTargetId,
    this->crashKeys,
    { .attempt = this->caller.attemptId, .runTime = aNow - aCall.SentAt() },
    aNow);
}

void
RequestFlow::RecordForAttribution(const TargetCall& aCall, CallEnd aEnd)
{
  // A prompt that was proven sound is counted already, and has not caused a
  // later loss. What a forwarded request shows is recorded by the other node.
  if (this->soundness.IsProven() || IsNodeCandidate(this->lastTargetId)) {
    return;
  }
  const Instant now = MonotonicNow();
  if (aEnd == CallEnd::kAnswered) {
    this->context.crashRecorder.OnAnswered(this->crashKeys, now);
  } else if (this->connectionLost) {
    this->RecordLoss(this->lastTargetId, aCall, now);
  }
}

bool
RequestFlow::MayCrashTargets() const
{
  return !this->everProvenSound &&
         this->context.crashRecorder.IsUnansweredSuspect(this->identity);
}

} // namespace apricottrack
