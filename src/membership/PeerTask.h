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
#include <random>
#include <string>

namespace apricottrack {

/// Talks with other nodes: reports demand to the nodes that sum it up, takes
/// their totals, and passes on newer configurations, so that a node cut off
/// from the platform's service still learns them.
class PeerTask
{
public:
  struct Options
  {
    std::string node;
    std::string listen;
    Duration interval = seconds(1);
    Duration timeout = milliseconds(800);
  };

  /// Called with a configuration that another node holds.
  using ConfigurationSink = std::function<void(const StoredConfiguration&)>;

  PeerTask(boost::asio::any_io_executor aExecutor,
           Options aOptions,
           NodeDirectory& aDirectory,
           AccountLimiter& aLimiter,
           const ConfigurationHolder& aConfiguration,
           ConfigurationSink aSink);

  Result<void> Start();

  std::int64_t Exchanges() const { return this->exchanges; }

private:
  Task<void> Run();
  Task<void> ExchangeWith(NodeRecord aPeer, Demands aDemands);
  Task<void> FetchConfiguration(std::shared_ptr<PeerLink> aLink);
  std::optional<PeerMessage> Answer(PeerMessage aQuestion);
  DemandTotals AnswerReport(const DemandReport& aReport);
  /// Own demand grouped by owner; one random other node is always included.
  std::map<std::string, Demands> GroupByOwner(Instant aNow);
  void ApplyTotals(const Demands& aTotals);
  std::shared_ptr<PeerLink> LinkTo(const NodeRecord& aPeer);

  boost::asio::any_io_executor executor;
  Options options;
  NodeDirectory& directory;
  AccountLimiter& limiter;
  const ConfigurationHolder& configuration;
  ConfigurationSink sink;
  DemandLedger ledger;
  Demands otherDemand;
  std::map<std::string, std::shared_ptr<PeerLink>> links;
  std::shared_ptr<PeerServer> server;
  std::mt19937_64 random;
  std::int64_t exchanges = 0;
};

} // namespace apricottrack

#endif
