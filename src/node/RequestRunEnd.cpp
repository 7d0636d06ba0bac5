#include "node/RequestRun.h"

#include "base/Log.h"

// The part of RequestRun that sends the response and records the end.
namespace apricottrack {

Task<void>
RequestRun::SendResponse(const RequestResult& aResult)
{
  if (!aResult.refusal) {
    co_await this->relay.Finish();
  } else if (this->relay.StreamStarted()) {
    co_await this->relay.AbortStream(
      RefusalBody(*aResult.refusal, this->spec.requestId));
  } else {
    co_await this->exchange.Reply(
      RefusalResponse(*aResult.refusal, this->spec.requestId));
  }
}

bool
RequestRun::RequestResult::CountsForObjective() const
{
  // Refusals with a 4xx status are caused by the caller, not the service.
  return !this->refusal || this->refusal->status >= 500;
}

void
RequestRun::ReconcileCharge(const RequestResult& aResult)
{
  double usedTokens = this->spec.estimatedTokens;
  if (aResult.outcome == Outcome::kNotRun || this->isDuplicate) {
    usedTokens = 0;
  } else if (this->relay.StreamStarted()) {
    usedTokens = this->spec.promptTokens +
                 static_cast<double>(this->relay.RelayedEventCount());
  }
  if (this->limitCharged) {
    this->context.limiter.ReconcileTokens(
      this->spec.account->name, this->spec.estimatedTokens, usedTokens);
  }
}

void
RequestRun::RecordMetrics(const RequestResult& aResult)
{
  const bool serviceKnown = this->spec.service != nullptr;
  const std::string_view service =
    serviceKnown ? std::string_view(this->spec.service->name) : "none";
  const std::string_view account =
    this->spec.account == nullptr ? "none"
                                  : std::string_view(this->spec.account->name);
  const std::string_view code =
    aResult.refusal ? std::string_view(aResult.refusal->code) : "none";
  const double seconds = ToSeconds(MonotonicNow() - this->arrivedAt);
  this->context.counters.Add("requests_total",
                             { { "service", service },
                               { "account", account },
                               { "outcome", OutcomeName(aResult.outcome) },
                               { "code", code } });
  if (serviceKnown && aResult.CountsForObjective()) {
    const bool metObjective =
      aResult.outcome == Outcome::kAnswered &&
      this->firstByteDelay <= this->spec.service->objective.firstTokenLimit;
    this->context.burnLedger.RecordRequest(
      service, account, metObjective, WallNow());
  }
  if (aResult.outcome == Outcome::kAnswered && !this->isDuplicate) {
    this->context.counters.Observe("first_byte_seconds",
                                   { { "service", service } },
                                   ToSeconds(this->firstByteDelay));
  }
  LogLine("request_end")
    .With("request", this->spec.requestId)
    .With("account", account)
    .With("service", service)
    .With("kind",
          serviceKnown && this->spec.kind != nullptr
            ? std::string_view(this->spec.kind->name)
            : "none")
    .With("outcome", OutcomeName(aResult.outcome))
    .With("refusal", code)
    .With("target", this->lastTargetId)
    .With("attempts", std::int64_t{ this->attempts })
    .With("events", static_cast<std::int64_t>(this->relay.RelayedEventCount()))
    .With("first_byte_s", ToSeconds(this->firstByteDelay))
    .With("total_s", seconds)
    .With("write_error", this->exchange.WriteError())
    .Info();
}

} // namespace apricottrack
