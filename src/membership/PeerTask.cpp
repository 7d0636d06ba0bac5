#include "membership/PeerTask.h"

#include "http/HttpTypes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Number of report intervals after which a report expires.
constexpr int kReportLifetimeIntervals = 4;
/// Demand below this rate (requests per second) is not reported.
constexpr double kMinReportedRequestRate = 0.01;

} // namespace

PeerTask::PeerTask(asio::any_io_executor aExecutor,
                   Options aOptions,
                   NodeDirectory& aDirectory,
                   AccountLimiter& aLimiter,
                   const ConfigurationHolder& aConfiguration,
                   Hooks aHooks)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , directory(aDirectory)
  , limiter(aLimiter)
  , configuration(aConfiguration)
  , hooks(std::move(aHooks))
  , ledger(this->options.interval * kReportLifetimeIntervals)
  , random(std::random_device{}())
{
}

Result<void>
PeerTask::Start()
{
  auto made = PeerServer::Make(
    this->executor,
    PeerServer::Options{ .address = this->options.listen,
                         .maxConnections = this->options.maxConnections,
                         .memory = this->options.memory },
    [this](PeerMessage aRequest) -> Task<std::optional<PeerMessage>> {
      co_return this->HandleRequest(std::move(aRequest));
    });
  if (!made) {
    return tl::unexpected(made.error());
  }
  this->server = *made;
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
  return {};
}

std::map<std::string, Demands>
PeerTask::GroupByOwner(Instant aNow)
{
  std::map<std::string, Demands> byOwner;
  for (const auto& [account, rates] : this->limiter.OwnDemand(aNow)) {
    if (rates.requests >= kMinReportedRequestRate) {
      byOwner[this->directory.OwnerOf(account)][account] = rates;
    }
  }
  const std::vector<NodeRecord> others = this->directory.Others();
  if (!others.empty()) {
    byOwner.try_emplace(others[this->random() % others.size()].node);
  }
  return byOwner;
}

Task<void>
PeerTask::Run()
{
  for (;;) {
    asio::steady_timer timer(this->executor, this->options.interval);
    co_await timer.async_wait(kAsTuple);
    const Instant now = MonotonicNow();
    this->ledger.Prune(now);
    // Updates the limiter's number of nodes even if no totals arrive.
    this->ApplyTotals({});
    for (const auto& [owner, demands] : this->GroupByOwner(now)) {
      if (owner == this->options.node) {
        const DemandReport own{ .node = owner, .demands = demands };
        this->ApplyTotals(this->HandleReport(own).totals);
        continue;
      }
      const NodeRecord* const record = this->directory.Find(owner);
      if (record != nullptr) {
        asio::co_spawn(
          this->executor, this->ExchangeWith(*record, demands), asio::detached);
      }
    }
    std::erase_if(this->links, [this](const auto& aItem) {
      return this->directory.Find(aItem.first) == nullptr;
    });
  }
}

std::shared_ptr<PeerLink>
PeerTask::LinkTo(const NodeRecord& aPeer)
{
  auto& link = this->links[aPeer.node];
  if (link == nullptr || link->Address() != aPeer.peerAddress) {
    link = std::make_shared<PeerLink>(this->executor, aPeer.peerAddress);
  }
  return link;
}

Task<void>
PeerTask::ExchangeWith(NodeRecord aPeer, Demands aDemands)
{
  const auto link = this->LinkTo(aPeer);
  if (link.use_count() > 2) {
    // The previous exchange on this link is still in progress.
    co_return;
  }
  DemandReport report;
  report.node = this->options.node;
  report.configurationVersion = this->configuration.Stored().version;
  report.demands = std::move(aDemands);
  const auto response =
    co_await link->SendRequest(std::move(report), this->options.timeout);
  const auto* const totals =
    response ? std::get_if<DemandTotals>(&*response) : nullptr;
  if (totals == nullptr) {
    co_return;
  }
  ++this->answeredReports;
  this->ApplyTotals(totals->totals);
  if (totals->configurationVersion > this->configuration.Stored().version) {
    co_await this->FetchConfiguration(link);
  }
}

Task<void>
PeerTask::FetchConfiguration(std::shared_ptr<PeerLink> aLink)
{
  ConfigurationRequest request;
  request.knownVersion = this->configuration.Stored().version;
  const auto response =
    co_await aLink->SendRequest(request, this->options.timeout);
  const auto* const stored =
    response ? std::get_if<StoredConfiguration>(&*response) : nullptr;
  if (stored != nullptr) {
    this->hooks.onConfiguration(*stored);
  }
}

void
PeerTask::ApplyTotals(const Demands& aTotals)
{
  for (const auto& [account, rates] : aTotals) {
    this->otherDemand[account] = rates;
  }
  this->limiter.SetOtherDemand(this->otherDemand, this->directory.Count());
}

DemandTotals
PeerTask::HandleReport(const DemandReport& aReport)
{
  const Instant now = MonotonicNow();
  this->ledger.RecordReport(aReport.node, aReport.demands, now);
  DemandTotals response;
  response.configurationVersion = this->configuration.Stored().version;
  for (const auto& [account, rates] : aReport.demands) {
    response.totals[account] =
      this->ledger.DemandOfOthers(aReport.node, account, now);
  }
  return response;
}

std::optional<PeerMessage>
PeerTask::HandleRequest(PeerMessage aRequest)
{
  if (const auto* const report = std::get_if<DemandReport>(&aRequest)) {
    return this->HandleReport(*report);
  }
  if (std::holds_alternative<ConfigurationRequest>(aRequest)) {
    return this->configuration.Stored();
  }
  if (const auto* const report = std::get_if<CrashReport>(&aRequest)) {
    return this->hooks.onCrashReport(*report);
  }
  return std::nullopt;
}

} // namespace apricottrack
