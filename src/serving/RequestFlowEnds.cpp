#include "base/Log.h"
#include "serving/RequestFlow.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

// The part of RequestFlow that ends a request, also because the node stops, and
// logs its calls and its end.
namespace apricottrack {

namespace {

/// Name of the range that a request's tokens fall into, for metrics.
std::string_view
TokenRange(int aTokens)
{
  static constexpr std::pair<int, std::string_view> kRanges[] = {
    { 1000, "1000" }, { 2000, "2000" }, { 4000, "4000" }, { 8000, "8000" }
  };
  for (const auto& [bound, name] : kRanges) {
    if (aTokens <= bound) {
      return name;
    }
  }
  return "+Inf";
}

} // namespace

Instant
RequestFlow::Deadline() const
{
  const Instant deadline = this->admittedRequest.deadline;
  return std::min(deadline, this->context.requestsEndAt.value_or(deadline));
}

bool
RequestFlow::CanEndBeforeStop(Instant aNow) const
{
  if (!this->context.requestsEndAt) {
    return true;
  }
  // Other nodes are used by then. The estimate below knows neither the queue of
  // a target nor how long a plain service works.
  if (this->context.connectionsEndAt &&
      aNow >= *this->context.connectionsEndAt) {
    return this->admittedRequest.deadline <= *this->context.requestsEndAt;
  }
  const CatalogService& service = *this->admittedRequest.service;
  const ReplicaModel* const model = FindModel(service, this->caller.model);
  const Duration responseTime =
    model == nullptr
      ? kMinCallTime
      : EngineCost(*service.engine, *model)
          .RequestTime(static_cast<double>(this->caller.promptTokens),
                       static_cast<double>(this->caller.outputTokens));
  return aNow + std::max(responseTime, kMinCallTime) <
         *this->context.requestsEndAt;
}

void
RequestFlow::CancelForStop()
{
  this->CancelHedge();
  if (this->call != nullptr) {
    this->targetAbandoned = true;
    this->call->Cancel();
  }
}

Task<void>
RequestFlow::Finish(NextStep aStep)
{
  switch (aStep) {
    case NextStep::kDone:
      if (this->streamStarted) {
        co_await this->exchange.EndStream();
        this->LogEnd("answered", 200);
      } else {
        const unsigned status = this->heldResponse->result_int();
        co_await this->exchange.Reply(std::move(*this->heldResponse));
        this->LogEnd("answered", status);
      }
      co_return;
    case NextStep::kAbort:
    case NextStep::kTryElsewhere:
      this->LogEnd("caller_gone", 0);
      this->exchange.CloseAfterHandler();
      co_return;
    case NextStep::kRefuse:
      co_await this->RefuseNotRun();
      co_return;
    case NextStep::kFail:
      co_await this->Refuse(502, "outcome_unknown");
      co_return;
    case NextStep::kTimeOut:
      co_await this->Refuse(504, "out_of_time");
      co_return;
  }
}

Task<void>
RequestFlow::EndQuarantined(Duration aRemaining)
{
  this->lastError.detail = "prompt part in quarantine";
  if (this->history.possibleRunCount > 0) {
    co_await this->Finish(NextStep::kFail);
    co_return;
  }
  co_await this->ReplyOwn(MakeRefusalUntil("prompt_quarantined", aRemaining));
  this->LogEnd("prompt_quarantined", 503);
}

Task<void>
RequestFlow::Refuse(unsigned aStatus, std::string_view aReason)
{
  if (this->streamStarted) {
    // Only closing shows the caller that the started response is incomplete.
    this->LogEnd("stream_cut", aStatus);
    this->exchange.CloseAfterHandler();
    co_return;
  }
  co_await this->ReplyOwn(MakeRefusal(aStatus, aReason, this->context.random));
  this->LogEnd(aReason, aStatus);
}

Task<void>
RequestFlow::RefuseNotRun()
{
  const Instant now = MonotonicNow();
  const std::optional<Instant> pausedUntil = this->AllPausedUntil(now);
  if (this->streamStarted || !pausedUntil || pausedUntil == Instant::max()) {
    co_await this->Refuse(503, "not_run");
    co_return;
  }
  co_await this->ReplyOwn(MakeRefusalAfter(
    "target_paused", *pausedUntil - now, this->context.random));
  this->LogEnd("target_paused", 503);
}

void
RequestFlow::LogCall(std::string_view aTargetId,
                     CallEnd aEnd,
                     std::string_view aNext) const
{
  if (aEnd == CallEnd::kAnswered) {
    return;
  }
  LogLine line("target_call");
  line.With("request", this->caller.attemptId)
    .With("identity", this->identity)
    .With("target", aTargetId)
    .With("end", CallEndName(aEnd))
    .With("after_ms",
          std::int64_t{ (MonotonicNow() - this->arrivedAt) / milliseconds(1) })
    .With("left", std::int64_t{ this->targetAbandoned })
    .With("next", aNext)
    .With("budget_left", std::int64_t{ this->history.budgetLeft })
    .With("step", this->lastError.step)
    .With("detail", this->lastError.detail);
  if (!this->caller.sharedPromptParts.empty()) {
    line.With(
      "parts",
      fmt::format("{}", fmt::join(this->caller.sharedPromptParts, ",")));
  }
  line.Info();
}

void
RequestFlow::LogEnd(std::string_view aOutcome, unsigned aStatus)
{
  const Instant now = MonotonicNow();
  const std::string_view service = this->admittedRequest.service == nullptr
                                     ? std::string_view("none")
                                     : this->admittedRequest.service->name;
  const std::string_view route = this->admittedRequest.route == nullptr
                                   ? std::string_view()
                                   : this->admittedRequest.route->name;
  this->context.counters.Add(
    "requests", { { "service", service }, { "outcome", aOutcome } });
  if (!this->caller.model.empty()) {
    this->context.counters.Add(
      "requests_by_size",
      { { "route", route },
        { "tokens_up_to",
          TokenRange(this->caller.promptTokens + this->caller.outputTokens) },
        { "outcome", aOutcome } });
  }
  this->context.counters.Observe("request_seconds",
                                 { { "service", service } },
                                 ToSeconds(now - this->arrivedAt));
  if (this->firstByteDelay > Duration::zero()) {
    this->context.counters.Observe("first_byte_seconds",
                                   { { "service", service } },
                                   ToSeconds(this->firstByteDelay));
  }
  LogLine("request_end")
    .With("request", this->caller.attemptId)
    .With("outcome", aOutcome)
    .With("status", std::int64_t{ aStatus })
    .With("route", route)
    .With("model", this->caller.model)
    .With("prompt", std::int64_t{ this->caller.promptTokens })
    .With("output", std::int64_t{ this->caller.outputTokens })
    .With("target", this->lastTargetId)
    .With("load", static_cast<std::int64_t>(std::lround(this->estimatedLoad)))
    .With("sends", std::int64_t{ this->history.sendCount })
    .With("first_ms", std::int64_t{ this->firstByteDelay / milliseconds(1) })
    .With("total_ms", std::int64_t{ (now - this->arrivedAt) / milliseconds(1) })
    .With("events", this->eventSplitter.EventCount())
    .With("detail", this->lastError.detail)
    .With("write_error", this->exchange.WriteError())
    .Info();
}

} // namespace apricottrack
