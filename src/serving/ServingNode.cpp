#include "serving/ServingNode.h"

#include "base/Log.h"
#include "config/CapacityShares.h"
#include "http/HttpServer.h"
#include "placement/ColdTargets.h"
#include "serving/CatalogTask.h"
#include "serving/FleetRelay.h"
#include "serving/FleetTask.h"
#include "serving/FollowTask.h"
#include "serving/PlannerTask.h"
#include "serving/QuarantineTask.h"
#include "serving/ReachTask.h"
#include "serving/RequestFlow.h"
#include "serving/RequestServers.h"
#include "serving/StallTask.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Time after this node first read the fleet, from the store or from a planner,
/// within which entries that had expired before return to the store.
constexpr Duration kEntryReturnTime = milliseconds(2300);
/// How long a small VM that restarts waits for a planner. A large one takes the
/// lease and lists the fleet within this time.
constexpr Duration kSmallVmRestartDelay = milliseconds(1500);
/// Time for which a stopping node still accepts connections: the platform sends
/// them until it removes the node after two failed probes one second apart.
constexpr Duration kLeaveDuration = milliseconds(2600);
/// Time left of the platform's stop limit when the process exits by itself.
constexpr Duration kStopMargin = milliseconds(400);
/// Time before that in which the callers of unfinished requests get an error
/// response.
constexpr Duration kLastResponseTime = milliseconds(200);
/// Smallest part of that time that a delayed node takes, also if less of the
/// stop limit is left then.
constexpr Duration kMinLastResponseTime = milliseconds(100);
/// Subtracted from the lifetime of a catalog verification, for the time that a
/// request takes to its target.
constexpr Duration kVerificationMargin = milliseconds(300);

/// Returns how long the node waits for a response of the planner's node before
/// it reads the store. A draining target has to be noticed there before its
/// drain bound ends.
Duration
PlannerTimeout(const ServingSettings& aSettings)
{
  // Reserved for reading the store and noticing the target there.
  constexpr Duration kStoreFallbackTime = milliseconds(1100);
  constexpr Duration kMinPlannerTimeout = milliseconds(300);
  return std::max(kMinPlannerTimeout,
                  aSettings.drainBound - kStoreFallbackTime);
}

} // namespace

class ServingNode::Impl
{
public:
  Impl(asio::any_io_executor aExecutor, Settings aSettings, Platform aPlatform);

  Result<void> Start();
  void Reload(Settings aSettings);
  void Stop(std::function<void()> aOnDone);

private:
  void OnCatalogChange();
  void OnFleetChange();
  /// Hedges the running requests of replicas that lost a member.
  void HedgeCallsToBrokenReplicas();
  /// Cancels the running requests that have a prompt part in quarantine.
  void CancelQuarantinedRequests();
  /// True if the entries that the store lists are complete: expired ones have
  /// had the time to return.
  bool EntriesSettled() const;
  /// True if a planner was followed until a short time ago, and long enough for
  /// entries that had expired before to have returned.
  bool FollowedSettledPlanner() const;
  bool IsReady() const;
  Task<void> HandleAdminRequest(HttpExchange& aExchange);
  Task<void> Drain(std::function<void()> aOnDone);

  Settings settings;
  Platform platform;
  ServingContext context;
  std::unique_ptr<KeyValueStore> store;
  CatalogTask catalogTask;
  FleetTask fleetTask;
  PlannerTask planner;
  FollowTask follower;
  QuarantineTask quarantineTask;
  FleetRelay relay;
  ReachTask reachTask;
  StallTask stallTask;
  /// This node is the planner and had followed the previous one until then.
  bool entriesTrustedAtTakeover = false;
  RequestServers servers;
  std::shared_ptr<HttpServer> readyServer;
  std::shared_ptr<HttpServer> adminServer;
};

ServingNode::Impl::Impl(asio::any_io_executor aExecutor,
                        Settings aSettings,
                        Platform aPlatform)
  : settings(std::move(aSettings))
  , platform(std::move(aPlatform))
  , context{
    .settings = this->settings,
    .protocol = *this->platform.protocol,
    .executor = aExecutor,
    .counters = {},
    .catalog = CatalogHolder(CatalogHolder::Options{
      .maxVerificationAge = this->settings.serving->revokeBound - kVerificationMargin }),
    .fleet = Fleet(Fleet::Options{}),
    .candidates = {},
    .loads = LoadTracker(LoadTracker::Options{}),
    .stalls = StallDetector(StallDetector::Options{}),
    .limits =
      TargetLimits(TargetLimits::Options{}, std::random_device{}()),
    .pauses = TargetPauses(TargetPauses::Options{}),
    .demand = DemandMeter(DemandMeter::Options{}),
    .fleetDemands = {},
    .targetPool =
      HttpConnectionPool(aExecutor,
                         HttpConnectionPool::Options{
                           .idlePerAddress = 32,
                           .idleTimeout = seconds(3),
                           .connectTimeout = milliseconds(300) }),
    .callerMemory = ByteBudget(SharesOf(this->settings).memory),
    .startGate = StartGate(aExecutor),
    .retryBudgets = {},
    .running = {},
    .random = std::mt19937_64(std::random_device{}()),
  }
  , store(this->platform.makeStore(this->context.counters))
  , catalogTask(this->context,
                *this->store,
                CatalogTask::Options{},
                [this] { this->OnCatalogChange(); })
  , fleetTask(this->context,
              *this->store,
              FleetTask::Options{},
              [this] { this->OnFleetChange(); })
  , planner(this->context,
            *this->store,
            PlannerTask::Options{},
            PlannerTask::Hooks{
              .mayQuery = [this] { return !this->follower.FollowsPlanner(); },
              .mayAcquire =
                [this] {
                  // The entries of a node that has just started may be
                  // incomplete.
                  return this->settings.serving->firstStart ||
                         this->EntriesSettled() || this->FollowedSettledPlanner();
                },
              .trustsStore =
                [this] { return this->catalogTask.TrustsStore(MonotonicNow()); },
              .plannerResponds = [this] { return this->follower.PlannerResponds(); },
              .onOtherHolder =
                [this](const std::string& aAddress) {
                  this->follower.SetPlannerAddress(aAddress);
                },
              .onPlannerChange =
                [this](bool aIsPlanner) {
                  this->entriesTrustedAtTakeover =
                    aIsPlanner && this->FollowedSettledPlanner();
                  this->follower.SetIsPlanner(aIsPlanner);
                  this->relay.NotifyWaitingNodes();
                },
              .onReplicaChange = [this] { this->OnFleetChange(); },
              .entriesSettled = [this] { return this->EntriesSettled(); },
              .fleetLastContactAt = [this] { return this->fleetTask.LastContactAt(); },
              .onConnectFailed = [this] { this->reachTask.CheckNow(); },
            })
  , follower(this->context,
             this->catalogTask,
             this->fleetTask,
             FollowTask::Options{
               .plannerTimeout = PlannerTimeout(*this->settings.serving),
               .restartDelay = this->planner.IsLargeVm() ? Duration::zero()
                                                         : kSmallVmRestartDelay },
             [this] { this->OnFleetChange(); })
  , quarantineTask(
      this->context,
      *this->store,
      QuarantineTask::Options{},
      QuarantineTask::Hooks{
        .isPlanner = [this] { return this->planner.IsPlanner(); },
        .readsStore =
          [this] { return this->fleetTask.ListedSince().has_value(); },
        .onChange =
          [this] {
            this->CancelQuarantinedRequests();
            this->relay.NotifyWaitingNodes();
          },
      })
  , relay(this->context,
          this->catalogTask,
          this->fleetTask,
          this->planner,
          this->quarantineTask)
  , reachTask(this->context,
              ReachTask::Options{},
              [this] { this->planner.OnReachJudged(MonotonicNow()); })
  , stallTask(this->context, this->planner, this->follower, this->reachTask)
  , servers(this->context)
{
}

Result<void>
ServingNode::Impl::Start()
{
  if (const auto listening = this->servers.Start(); !listening) {
    return tl::unexpected(listening.error());
  }
  auto newReadyServer = ListenForRequests(
    this->context,
    this->settings.serving->readyListen,
    SharesOf(this->settings).readyConnections,
    [this](HttpExchange& aExchange) -> Task<void> {
      const bool isReady = this->IsReady();
      co_await aExchange.Reply(
        TextResponse(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n"));
    });
  if (!newReadyServer) {
    return tl::unexpected(newReadyServer.error());
  }
  this->readyServer = *newReadyServer;
  auto newAdminServer =
    ListenForRequests(this->context,
                      this->settings.adminListen,
                      SharesOf(this->settings).adminConnections,
                      [this](HttpExchange& aExchange) -> Task<void> {
                        co_await this->HandleAdminRequest(aExchange);
                      });
  if (!newAdminServer) {
    return tl::unexpected(newAdminServer.error());
  }
  this->adminServer = *newAdminServer;
  const auto relayStarted = this->relay.Start();
  if (!relayStarted) {
    return tl::unexpected(relayStarted.error());
  }
  this->context.confirmCatalog = [this](Instant aUntil) -> Task<bool> {
    co_return co_await this->catalogTask.Confirm(aUntil);
  };
  this->catalogTask.Start();
  this->fleetTask.Start();
  this->planner.Start();
  this->follower.Start();
  this->quarantineTask.Start();
  this->stallTask.Start();
  LogLine("node_started")
    .With("node", this->settings.node)
    .With("listen", this->settings.listen)
    .With("first_start", std::int64_t{ this->settings.serving->firstStart })
    .Info();
  return {};
}

void
ServingNode::Impl::OnCatalogChange()
{
  this->servers.SetLimits(this->context.catalog.Current()->Contents().limits);
  this->OnFleetChange();
  this->relay.NotifyWaitingNodes();
}

void
ServingNode::Impl::OnFleetChange()
{
  const CatalogPointer& catalog = this->context.catalog.Current();
  if (catalog != nullptr) {
    this->context.candidates.Rebuild(catalog->Contents(),
                                     this->context.fleet,
                                     this->context.broken,
                                     this->context.vouched,
                                     this->context.evacuations.Evacuated());
    ColdTargets::Limit(catalog->Contents(),
                       this->context.fleet,
                       this->context.evacuations,
                       this->context.limits,
                       MonotonicNow());
    const bool knowsFleet =
      this->fleetTask.ListedSince() || this->follower.FirstFollowedAt();
    if (knowsFleet && this->context.catalog.WasVerified()) {
      this->context.startGate.Open();
    }
  }
  this->HedgeCallsToBrokenReplicas();
  this->CancelQuarantinedRequests();
  this->relay.OnFleetChange();
}

void
ServingNode::Impl::CancelQuarantinedRequests()
{
  for (const auto& [target, flow] : this->context.running) {
    flow->CancelIfQuarantined();
  }
}

void
ServingNode::Impl::HedgeCallsToBrokenReplicas()
{
  for (const auto& [target, flow] : this->context.running) {
    if (this->context.broken.contains(flow->Replica())) {
      flow->HedgeCurrentCall(RequestFlow::HedgeReason::kReplicaBroken);
    }
  }
}

bool
ServingNode::Impl::EntriesSettled() const
{
  const auto& listedSince = this->fleetTask.ListedSince();
  return this->entriesTrustedAtTakeover ||
         (listedSince && MonotonicNow() - *listedSince > kEntryReturnTime);
}

bool
ServingNode::Impl::FollowedSettledPlanner() const
{
  const Instant now = MonotonicNow();
  const auto& firstFollowedAt = this->follower.FirstFollowedAt();
  return firstFollowedAt && now - *firstFollowedAt > kEntryReturnTime &&
         this->follower.HasFollowedRecently(now);
}

bool
ServingNode::Impl::IsReady() const
{
  return !this->context.draining &&
         this->context.catalog.MayAcceptKeys(MonotonicNow());
}

Task<void>
ServingNode::Impl::HandleAdminRequest(HttpExchange& aExchange)
{
  if (aExchange.Request().target() != "/metrics") {
    co_await aExchange.Reply(TextResponse(404, "try /metrics\n"));
    co_return;
  }
  this->context.counters.Set("requests_in_flight", {}, this->context.inFlight);
  this->servers.ExportCounts();
  this->context.callerMemory.ExportCounts(this->context.counters);
  this->context.counters.Set(
    "planner_leads", {}, this->planner.IsPlanner() ? 1 : 0);
  this->context.counters.Set(
    "catalog_proof_age_seconds",
    {},
    ToSeconds(this->context.catalog.VerificationAge(MonotonicNow())));
  co_await aExchange.Reply(TextResponse(200, this->context.counters.Text()));
}

void
ServingNode::Impl::Reload(Settings aSettings)
{
  const bool needsRestart = aSettings.listen != this->settings.listen ||
                            aSettings.platform != this->settings.platform ||
                            aSettings.peerListen != this->settings.peerListen;
  LogLine("settings_reloaded")
    .With("changed", std::int64_t{ aSettings != this->settings })
    .With("needs_restart", std::int64_t{ needsRestart })
    .Info();
  if (aSettings.serving) {
    this->settings.serving = aSettings.serving;
    this->context.catalog.SetMaxVerificationAge(aSettings.serving->revokeBound -
                                                kVerificationMargin);
  }
}

void
ServingNode::Impl::Stop(std::function<void()> aOnDone)
{
  if (this->context.draining) {
    return;
  }
  this->context.draining = true;
  const Instant now = MonotonicNow();
  this->context.connectionsEndAt = now + kLeaveDuration;
  this->context.requestsEndAt =
    now + this->settings.serving->stopLimit - kStopMargin - kLastResponseTime;
  this->planner.Release();
  this->relay.NotifyWaitingNodes();
  this->servers.CloseAfterNextResponse();
  LogLine("node_draining")
    .With("in_flight", std::int64_t{ this->context.inFlight })
    .Info();
  asio::co_spawn(
    this->context.executor,
    [this, onDone = std::move(aOnDone)]() -> Task<void> {
      co_await this->Drain(onDone);
    },
    asio::detached);
}

Task<void>
ServingNode::Impl::Drain(std::function<void()> aOnDone)
{
  const Instant requestsEndAt = *this->context.requestsEndAt;
  asio::steady_timer timer(this->context.executor, kLeaveDuration);
  co_await timer.async_wait(kAsTuple);
  this->servers.Stop();
  co_await this->servers.WaitForConnections(requestsEndAt);
  for (const auto& [target, flow] : this->context.running) {
    flow->CancelForStop();
  }
  // This node may have been delayed, and its callers wait for the responses.
  const Instant responsesEndAt = std::max(
    requestsEndAt + kLastResponseTime, MonotonicNow() + kMinLastResponseTime);
  this->servers.CloseIdleConnections();
  co_await this->servers.WaitForConnections(responsesEndAt);
  LogLine("node_stopped")
    .With("in_flight", std::int64_t{ this->context.inFlight })
    .Info();
  this->servers.LogCounts();
  aOnDone();
}

ServingNode::ServingNode(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

ServingNode::~ServingNode() = default;

Result<std::unique_ptr<ServingNode>>
ServingNode::Make(asio::any_io_executor aExecutor,
                  Settings aSettings,
                  Platform aPlatform)
{
  auto impl = std::make_unique<Impl>(
    std::move(aExecutor), std::move(aSettings), std::move(aPlatform));
  const auto started = impl->Start();
  if (!started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<ServingNode>(new ServingNode(std::move(impl)));
}

void
ServingNode::Reload(Settings aSettings)
{
  this->impl->Reload(std::move(aSettings));
}

void
ServingNode::Stop(std::function<void()> aOnDone)
{
  this->impl->Stop(std::move(aOnDone));
}

} // namespace apricottrack
