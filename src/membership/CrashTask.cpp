#include "membership/CrashTask.h"

#include "http/HttpTypes.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// One key for all crashes: requests that were lost with one target explain
/// each other's losses.
constexpr std::string_view kCollectorKey = "crashes";

} // namespace

CrashTask::CrashTask(asio::any_io_executor aExecutor,
                     Options aOptions,
                     State aState,
                     std::function<void()> aOnChange)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , state(aState)
  , onChange(std::move(aOnChange))
  , ownCollector(this->options.node)
{
}

void
CrashTask::Start()
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

Task<void>
CrashTask::Run()
{
  for (;;) {
    asio::steady_timer timer(this->executor, this->options.interval);
    co_await timer.async_wait(kAsTuple);
    this->Collect(MonotonicNow());
    for (const auto& [incarnation, collector] : this->collectors) {
      if (!collector->isAsked) {
        asio::co_spawn(
          this->executor, this->ReportTo(collector), asio::detached);
      }
    }
  }
}

void
CrashTask::UpdateCollectors()
{
  std::map<std::string, std::shared_ptr<Collector>> current;
  this->isCollector = false;
  for (const std::string& node : this->state.directory.OwnersOf(
         kCollectorKey, this->options.collectors)) {
    const NodeRecord* const record = this->state.directory.Find(node);
    if (record == nullptr) {
      // This node, to which no other one reports yet.
      continue;
    }
    if (node == this->options.node) {
      this->isCollector = true;
      continue;
    }
    auto& collector = current[record->incarnation];
    const auto known = this->collectors.find(record->incarnation);
    collector = known != this->collectors.end() ? known->second
                                                : std::make_shared<Collector>();
    if (collector->link == nullptr ||
        collector->link->Address() != record->peerAddress) {
      collector->link =
        std::make_shared<PeerLink>(this->executor, record->peerAddress);
    }
  }
  this->collectors = std::move(current);
}

void
CrashTask::Collect(Instant aNow)
{
  this->UpdateCollectors();
  bool isAnyNew = false;
  if (this->isCollector) {
    const std::vector<QuarantinedParts> started = this->ownCollector.Attribute(
      this->state.recorder, this->state.quarantine, aNow);
    this->state.counters.Add("prompt_parts_quarantined",
                             {},
                             static_cast<std::int64_t>(started.size()));
    isAnyNew = !started.empty();
  }
  this->UpdateSuspects(aNow);
  if (isAnyNew) {
    this->onChange();
  }
}

std::optional<CrashVerdict>
CrashTask::HandleReport(const CrashReport& aReport, Instant aNow)
{
  if (!this->isCollector) {
    return std::nullopt;
  }
  this->ownCollector.RecordReport(aReport, aNow);
  if (this->state.quarantine.Add(aReport.quarantinedParts, aNow)) {
    this->onChange();
  }
  CrashVerdict verdict{ .suspectedParts = this->ownCollector.Suspects(),
                        .quarantinedParts = {} };
  verdict.suspectedParts.resize(
    std::min(verdict.suspectedParts.size(), this->options.maxItems));
  for (QuarantinedParts& item : this->state.quarantine.Combinations(aNow)) {
    // The time that an answer may take. Otherwise two collectors that hear of
    // the quarantine from each other would extend it without end.
    item.remaining -= this->options.timeout;
    if (item.remaining > Duration::zero() &&
        verdict.quarantinedParts.size() < this->options.maxItems) {
      verdict.quarantinedParts.push_back(std::move(item));
    }
  }
  return verdict;
}

CrashReport
CrashTask::MakeReport(Collector& aCollector, Instant aNow)
{
  CrashReport report{
    .node = this->options.node,
    .lostRequests = this->state.recorder.NextReport(
      aCollector.reportedUntil, aNow, aCollector.inFlightUntil),
    .partAnswers = this->state.recorder.SuspectAnswers(aNow),
    .quarantinedParts = {},
  };
  if (aCollector.reportedUntil == Instant{}) {
    report.quarantinedParts = this->state.quarantine.Combinations(aNow);
    report.quarantinedParts.resize(
      std::min(report.quarantinedParts.size(), this->options.maxItems));
  }
  return report;
}

Task<void>
CrashTask::ReportTo(std::shared_ptr<Collector> aCollector)
{
  aCollector->isAsked = true;
  const Instant reportedAt = MonotonicNow();
  const std::shared_ptr<PeerLink> link = aCollector->link;
  const auto answer = co_await link->SendRequest(
    this->MakeReport(*aCollector, reportedAt), this->options.timeout);
  aCollector->isAsked = false;
  const auto* const verdict =
    answer ? std::get_if<CrashVerdict>(&*answer) : nullptr;
  if (verdict != nullptr) {
    aCollector->reportedUntil = aCollector->inFlightUntil;
    this->ApplyVerdict(*aCollector, *verdict, MonotonicNow());
  }
}

void
CrashTask::ApplyVerdict(Collector& aCollector,
                        const CrashVerdict& aVerdict,
                        Instant aNow)
{
  aCollector.suspects = aVerdict.suspectedParts;
  aCollector.answeredAt = aNow;
  this->UpdateSuspects(aNow);
  if (this->state.quarantine.Add(aVerdict.quarantinedParts, aNow)) {
    this->onChange();
  }
}

void
CrashTask::UpdateSuspects(Instant aNow)
{
  std::set<std::string> suspects;
  if (this->isCollector) {
    const std::vector<std::string> own = this->ownCollector.Suspects();
    suspects.insert(own.begin(), own.end());
  }
  for (const auto& [incarnation, collector] : this->collectors) {
    if (aNow - collector->answeredAt <= this->options.suspectLifetime) {
      suspects.insert(collector->suspects.begin(), collector->suspects.end());
    }
  }
  this->state.recorder.SetSuspects({ suspects.begin(), suspects.end() });
}

} // namespace apricottrack
