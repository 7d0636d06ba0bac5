#include "apricottrack/Node.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "config/CapacityShares.h"
#include "http/HttpServer.h"
#include "kv/EtcdStore.h"
#include "kv/PlatformKeys.h"
#include "membership/CrashTask.h"
#include "membership/PeerTask.h"
#include "node/AdminEndpoint.h"
#include "node/GroupPlannerTask.h"
#include "node/LeaseTask.h"
#include "node/NodeContext.h"
#include "node/PlatformState.h"
#include "node/PlatformTask.h"
#include "node/ProbeTask.h"
#include "node/RequestRun.h"
#include "node/VmListTask.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace apricottrack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Time between updates of the targets; short compared with the default
/// `maxReportAge` of 2 seconds.
constexpr Duration kRefreshInterval = milliseconds(200);
/// Time between checks whether waiting requests can start or must be refused.
constexpr Duration kDispatchInterval = milliseconds(50);
/// Time between additions to the ledger's fleet time.
constexpr Duration kFleetMeasureInterval = seconds(1);
/// Time to live of the lease on this node's entry in the list of nodes.
constexpr std::int64_t kNodeLeaseSeconds = 20;
constexpr Duration kNodeLeaseRenewInterval = seconds(6);
/// Time to live of the planner's lease.
constexpr std::int64_t kPlannerLeaseSeconds = 4;
/// Maximum wait, when the node stops, for ends to be written to the journal.
constexpr Duration kJournalFlushTimeout = seconds(5);

constexpr unsigned kUnavailable = 503;
/// When callers whose requests found no memory are to come back.
constexpr std::optional<Duration> kRetryAfter = Duration(seconds(1));

NodeRecord
OwnRecord(const NodeContext& aContext)
{
  return NodeRecord{ .node = aContext.settings.node,
                     .incarnation = aContext.incarnation,
                     .availabilityZone = aContext.settings.availabilityZone,
                     .admin = aContext.settings.adminListen,
                     .peerAddress = aContext.settings.peerListen,
                     .callerAddress = aContext.settings.listen };
}

} // namespace

/// Owns the servers and tasks of a node and connects them.
class Node::Impl
{
public:
  Impl(asio::any_io_executor aExecutor, Settings aSettings);

  Result<void> Start();
  void Stop(std::function<void()> aDone);

private:
  void OnVmList(VmList aVms);
  void RefreshTargets();
  void RefuseQuarantined();
  Task<void> RefreshTargetsPeriodically();
  Task<void> DispatchWaitingPeriodically();
  Task<void> MeasureFleetPeriodically();
  Task<void> Drain(std::function<void()> aDone);
  void StartTasks();
  std::size_t PendingEnds() const;

  Settings settings;
  NodeContext context;
  EtcdStore store;
  AdminEndpoint admin;
  PlatformState state;
  std::shared_ptr<HttpServer> callerServer;
  std::shared_ptr<HttpServer> adminServer;
  PlatformTask platform;
  VmListTask vmList;
  ProbeTask probes;
  LeaseTask nodeLease;
  LeaseTask plannerLease;
  GroupPlannerTask groupPlanner;
  CrashTask crashes;
  PeerTask peers;
};

Node::Impl::Impl(asio::any_io_executor aExecutor, Settings aSettings)
  : settings(std::move(aSettings))
  , context{
    .settings = this->settings,
    .executor = aExecutor,
    .incarnation = RandomId(),
    .counters = {},
    .burnLedger = {},
    .configuration = {},
    .limiter = {},
    .directory = NodeDirectory(this->settings.node),
    .view = NodeView(
      std::make_unique<IntactGroupGate>(this->settings.maxReportAge),
      this->settings.maxReportAge),
    .targetPool = HttpConnectionPool(aExecutor, HttpConnectionPool::Options{}),
    .callerMemory = ByteBudget(SharesOf(this->settings).memory),
    .targetLimits =
      TargetLimits(TargetLimits::Options{}, std::random_device{}()),
    .targetPauses = TargetPauses(TargetPauses::Options{}),
    .retryPolicy = std::make_unique<SafeRetryPolicy>(),
    .dispatchers = {},
    .journals = {},
  }
  , store(aExecutor, EtcdStore::Options{ .address = this->settings.platform })
  , admin(this->context)
  , state(this->context,
          [this](const std::string& aDomain, Revision aRevision) {
            this->groupPlanner.SetPlanRevision(aDomain, aRevision);
          })
  , platform(aExecutor,
             this->store,
             PlatformTask::Options{},
             [this](const std::vector<KeyValue>& aValues, bool aComplete) {
               this->state.Apply(aValues, aComplete);
               this->RefreshTargets();
             })
  , vmList(aExecutor,
           this->settings.vmList,
           [this](VmList aVms) { this->OnVmList(std::move(aVms)); })
  , probes(aExecutor,
           this->settings.probeInterval,
           [this](const std::string& aVm, MemberReport aReport) {
             this->context.view.SetReport(aVm, std::move(aReport));
           })
  , nodeLease(
      aExecutor,
      this->store,
      LeaseTask::Options{ .key = keys::NodeKey(this->settings.node),
                          .value = EncodeNodeRecord(OwnRecord(this->context)),
                          .ttlSeconds = kNodeLeaseSeconds,
                          .renewInterval = kNodeLeaseRenewInterval })
  , plannerLease(aExecutor,
                 this->store,
                 LeaseTask::Options{ .key = std::string(keys::kPlannerLeaseKey),
                                     .value = EncodeNodeRecord(OwnRecord(this->context)),
                                     .ttlSeconds = kPlannerLeaseSeconds,
                                     .renewInterval = milliseconds(1000),
                                     .mayQuery =
                                       [this] { return !this->state.PlannerLeaseHeld(); } })
  , groupPlanner(this->context,
           this->store,
           GroupPlanner::Options{},
           [this](Instant aNow) { return this->plannerLease.HoldsKey(aNow); })
  , crashes(aExecutor,
            CrashTask::Options{ .node = this->settings.node },
            CrashTask::State{ .directory = this->context.directory,
                              .recorder = this->context.crashRecorder,
                              .quarantine = this->context.quarantine,
                              .counters = this->context.counters },
            [this] { this->RefuseQuarantined(); })
  , peers(aExecutor,
          PeerTask::Options{ .node = this->settings.node,
                             .listen = this->settings.peerListen,
                             .maxConnections =
                               SharesOf(this->settings).peerConnections,
                             .memory = &this->context.callerMemory },
          this->context.directory,
          this->context.limiter,
          this->context.configuration,
          PeerTask::Hooks{
            .onConfiguration =
              [this](const StoredConfiguration& aStored) {
                this->state.ApplyConfiguration(aStored);
                this->RefreshTargets();
              },
            .onCrashReport =
              [this](const CrashReport& aReport) {
                return this->crashes.HandleReport(aReport, MonotonicNow());
              } })
{
}

Result<void>
Node::Impl::Start()
{
  const HttpErrorResponder errorResponder = [](unsigned aStatus,
                                               std::string_view aReason) {
    return RefusalResponse(Refusal{ .status = aStatus,
                                    .code = std::string(aReason),
                                    .outcome = Outcome::kNotRun,
                                    .message = "the request could not be read",
                                    .retryAfter = aStatus == kUnavailable
                                                    ? kRetryAfter
                                                    : std::nullopt },
                           RandomId());
  };
  HttpServerLimits limits;
  const CapacityShares shares = SharesOf(this->settings);
  limits.connections = shares.callerConnections;
  limits.bodyBytes = static_cast<std::uint64_t>(this->settings.maxBodyBytes);
  auto newCallerServer = HttpServer::Make(
    this->context.executor,
    HttpServer::Options{
      .address = this->settings.listen,
      .limits = limits,
      .handler = [this](HttpExchange& aExchange) -> Task<void> {
        RequestRun run(this->context, aExchange);
        co_await run.Serve();
      },
      .errorResponder = errorResponder,
      .memory = &this->context.callerMemory,
      .failureResponder =
        [] {
          return RefusalResponse(
            Refusal{ .status = 502,
                     .code = "internal_error",
                     .outcome = Outcome::kUnknown,
                     .message = "the request may have been run",
                     .retryAfter = std::nullopt },
            RandomId());
        },
    });
  if (!newCallerServer) {
    return tl::unexpected(newCallerServer.error());
  }
  this->callerServer = *newCallerServer;
  auto newAdminServer = HttpServer::Make(
    this->context.executor,
    HttpServer::Options{
      .address = this->settings.adminListen,
      .limits = HttpServerLimits{ .connections = shares.adminConnections },
      .handler = [this](HttpExchange& aExchange) -> Task<void> {
        co_await this->admin.Handle(aExchange);
      },
      .errorResponder = errorResponder,
      .memory = &this->context.callerMemory,
    });
  if (!newAdminServer) {
    return tl::unexpected(newAdminServer.error());
  }
  this->adminServer = *newAdminServer;
  const auto peersStarted = this->peers.Start();
  if (!peersStarted) {
    return tl::unexpected(peersStarted.error());
  }
  this->StartTasks();
  return {};
}

void
Node::Impl::StartTasks()
{
  for (int i = 0; i < keys::kJournalCount; ++i) {
    JournalWriter::Options options;
    options.prefix = keys::JournalPrefix(i);
    options.flushInterval = this->settings.journalFlushInterval;
    this->context.journals.push_back(std::make_unique<JournalTask>(
      this->context.executor, this->store, std::move(options)));
    this->context.journals.back()->Start();
  }
  this->context.confirmConfiguration = [this](Instant aUntil) -> Task<bool> {
    co_return co_await this->platform.ConfirmConfiguration(aUntil);
  };
  this->context.configurationVerifiedAt = [this] {
    return this->platform.ConfigurationVerifiedAt();
  };
  this->platform.Start();
  this->vmList.Start();
  this->nodeLease.Start();
  this->plannerLease.Start();
  this->groupPlanner.Start();
  this->crashes.Start();
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->RefreshTargetsPeriodically(); },
    asio::detached);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->DispatchWaitingPeriodically(); },
    asio::detached);
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->MeasureFleetPeriodically(); },
    asio::detached);
  LogLine("node_started")
    .With("node", this->settings.node)
    .With("incarnation", this->context.incarnation)
    .With("listen", this->settings.listen)
    .Info();
}

void
Node::Impl::OnVmList(VmList aVms)
{
  this->probes.SetVms(aVms);
  this->context.view.SetVms(std::move(aVms));
}

void
Node::Impl::RefreshTargets()
{
  const auto configuration = this->context.configuration.Current();
  if (configuration == nullptr) {
    return;
  }
  const Instant now = MonotonicNow();
  for (const Service& service : configuration->services) {
    auto& dispatcher = this->context.dispatchers[service.name];
    if (dispatcher == nullptr) {
      dispatcher = std::make_unique<Dispatcher>(
        this->context.executor,
        Dispatcher::Options{ .availabilityZone =
                               this->settings.availabilityZone,
                             .queueLimit = service.queueLimit,
                             .limits = &this->context.targetLimits,
                             .pauses = &this->context.targetPauses });
    }
    dispatcher->SetNodeCount(this->context.directory.Count());
    dispatcher->SetQueueLimit(service.queueLimit);
    dispatcher->SetTargets(this->context.view.TargetsFor(service, now), now);
  }
}

void
Node::Impl::RefuseQuarantined()
{
  for (const auto& [name, dispatcher] : this->context.dispatchers) {
    dispatcher->RefuseQuarantined(this->context.quarantine, MonotonicNow());
  }
}

Task<void>
Node::Impl::MeasureFleetPeriodically()
{
  for (;;) {
    asio::steady_timer timer(this->context.executor, kFleetMeasureInterval);
    co_await timer.async_wait(kAsTuple);
    const auto configuration = this->context.configuration.Current();
    if (configuration != nullptr) {
      const UnixMillis now = WallNow();
      this->context.burnLedger.AddFleetTime(
        this->context.view.MeasureFleetTime(
          *configuration, kFleetMeasureInterval, MonotonicNow()),
        now);
      this->context.burnLedger.Prune(now);
    }
  }
}

Task<void>
Node::Impl::DispatchWaitingPeriodically()
{
  for (;;) {
    asio::steady_timer timer(this->context.executor, kDispatchInterval);
    co_await timer.async_wait(kAsTuple);
    for (const auto& [name, dispatcher] : this->context.dispatchers) {
      dispatcher->DispatchWaiting(MonotonicNow());
    }
  }
}

Task<void>
Node::Impl::RefreshTargetsPeriodically()
{
  for (;;) {
    asio::steady_timer timer(this->context.executor, kRefreshInterval);
    co_await timer.async_wait(kAsTuple);
    this->RefreshTargets();
  }
}

std::size_t
Node::Impl::PendingEnds() const
{
  std::size_t pending = 0;
  for (const auto& journal : this->context.journals) {
    pending += journal->PendingEnds();
  }
  return pending;
}

void
Node::Impl::Stop(std::function<void()> aDone)
{
  if (this->context.draining) {
    return;
  }
  this->context.draining = true;
  this->callerServer->CloseAfterNextResponse();
  LogLine("node_draining")
    .With("in_flight", std::int64_t{ this->context.requestsInFlight })
    .Info();
  asio::co_spawn(
    this->context.executor,
    [this, done = std::move(aDone)]() -> Task<void> {
      co_await this->Drain(done);
    },
    asio::detached);
}

Task<void>
Node::Impl::Drain(std::function<void()> aDone)
{
  asio::steady_timer timer(this->context.executor, this->settings.drainGrace);
  co_await timer.async_wait(kAsTuple);
  this->callerServer->Stop();
  const auto pause = [&]() -> Task<void> {
    timer.expires_after(milliseconds(20));
    co_await timer.async_wait(kAsTuple);
  };
  while (this->callerServer->ConnectionCount() > 0) {
    co_await pause();
  }
  this->plannerLease.Release();
  this->nodeLease.Release();
  const Instant flushDeadline = MonotonicNow() + kJournalFlushTimeout;
  while (this->PendingEnds() > 0 && MonotonicNow() < flushDeadline) {
    co_await pause();
  }
  LogLine("node_stopped")
    .With("unwritten_ends", static_cast<std::int64_t>(this->PendingEnds()))
    .Info();
  this->callerServer->LogCounts();
  aDone();
}

Node::Node(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

Node::~Node() = default;

Result<std::unique_ptr<Node>>
Node::Make(asio::any_io_executor aExecutor, Settings aSettings)
{
  auto impl =
    std::make_unique<Impl>(std::move(aExecutor), std::move(aSettings));
  const auto started = impl->Start();
  if (!started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

void
Node::Stop(std::function<void()> aDone)
{
  this->impl->Stop(std::move(aDone));
}

} // namespace apricottrack
