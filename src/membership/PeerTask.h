#ifndef APRICOTTRACK_MEMBERSHIP_PEERTASK_H
#define APRICOTTRACK_MEMBERSHIP_PEERTASK_H

#include "config/ConfigurationHolder.h"
#include "limits/AccountLimiter.h"
#include "membership/DemandLedger.h"
#include "membership/NodeDirectory.h"
#include "membership/PeerLink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace apricottrack {

/// Periodic exchange with other nodes. Reports demand to the nodes that own the
/// accounts, applies the totals that they return, and fetches newer
/// configurations, so that a node without access to the platform's service
/// still receives them.
class PeerTask
{
public:
  struct Options
  {
    /// Name of this node.
    std::string node;
    /// IP:port to listen on.
    std::string listen;
    /// See PeerServer::Options.
    std::size_t maxConnections = 1024;
    ByteBudget* memory = nullptr;
    /// Time between two rounds of reports.
    Duration interval = seconds(1);
    /// Timeout of one request to another node.
    Duration timeout = milliseconds(800);
  };

  /// Called with a configuration that was fetched from another node.
  using ConfigurationSink = std::function<void(const StoredConfiguration&)>;
  /// Handles another node's report of crashes; returns nothing if this node
  /// does not collect them.
  using CrashReportHandler =
    std::function<std::optional<CrashVerdict>(const CrashReport&)>;

  struct Hooks
  {
    ConfigurationSink onConfiguration;
    CrashReportHandler onCrashReport;
  };

  PeerTask(boost::asio::any_io_executor aExecutor,
           Options aOptions,
           NodeDirectory& aDirectory,
           AccountLimiter& aLimiter,
           const ConfigurationHolder& aConfiguration,
           Hooks aHooks);

  /// Starts to listen and to report; fails if the address cannot be bound.
  Result<void> Start();

  /// Number of reports that were answered with totals.
  std::int64_t AnsweredReports() const { return this->answeredReports; }

private:
  Task<void> Run();
  Task<void> ExchangeWith(NodeRecord aPeer, Demands aDemands);
  Task<void> FetchConfiguration(std::shared_ptr<PeerLink> aLink);
  std::optional<PeerMessage> HandleRequest(PeerMessage aRequest);
  DemandTotals HandleReport(const DemandReport& aReport);
  /// Returns this node's demand grouped by owner. Always includes one random
  /// other node, even without demand, so that configurations spread.
  std::map<std::string, Demands> GroupByOwner(Instant aNow);
  void ApplyTotals(const Demands& aTotals);
  std::shared_ptr<PeerLink> LinkTo(const NodeRecord& aPeer);

  boost::asio::any_io_executor executor;
  Options options;
  NodeDirectory& directory;
  AccountLimiter& limiter;
  const ConfigurationHolder& configuration;
  Hooks hooks;
  DemandLedger ledger;
  /// Latest known demand of all other nodes, by account.
  Demands otherDemand;
  std::map<std::string, std::shared_ptr<PeerLink>> links;
  std::shared_ptr<PeerServer> server;
  std::mt19937_64 random;
  std::int64_t answeredReports = 0;
};

} // namespace apricottrack

#endif
