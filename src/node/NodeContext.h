#ifndef APRICOTTRACK_NODE_NODECONTEXT_H
#define APRICOTTRACK_NODE_NODECONTEXT_H

#include "apricottrack/Settings.h"
#include "base/Counters.h"
#include "config/ConfigurationHolder.h"
#include "http/ByteBudget.h"
#include "http/HttpClient.h"
#include "limits/AccountLimiter.h"
#include "limits/TargetLimits.h"
#include "limits/TargetPauses.h"
#include "membership/NodeDirectory.h"
#include "node/Dispatcher.h"
#include "node/JournalTask.h"
#include "node/NodeView.h"
#include "quarantine/CrashRecorder.h"
#include "quarantine/PromptQuarantine.h"
#include "report/BurnLedger.h"
#include "retry/RetryPolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace apricottrack {

/// State shared by the tasks of one node. Accessed from the node's single
/// thread only.
struct NodeContext
{
  const Settings& settings;
  boost::asio::any_io_executor executor;
  /// Random id, new at each start of the node's process.
  std::string incarnation;
  Counters counters;
  BurnLedger burnLedger;
  ConfigurationHolder configuration;
  AccountLimiter limiter;
  NodeDirectory directory;
  NodeView view;
  HttpConnectionPool targetPool;
  /// Memory of the requests that callers and other nodes send.
  ByteBudget callerMemory;
  TargetLimits targetLimits;
  TargetPauses targetPauses;
  std::unique_ptr<RetryPolicy> retryPolicy;
  /// Keyed by service name.
  std::map<std::string, std::unique_ptr<Dispatcher>, std::less<>> dispatchers;
  std::vector<std::unique_ptr<JournalTask>> journals;
  CrashRecorder crashRecorder{ CrashRecorder::Options{} };
  PromptQuarantine quarantine;
  /// Waits until the configuration has been read from the platform, but not
  /// after the given time; returns whether it has.
  std::function<Task<bool>(Instant)> confirmConfiguration;
  /// When the latest read was sent that has shown the newest configuration.
  std::function<Instant()> configurationVerifiedAt;
  /// Number of callers' requests being handled.
  int requestsInFlight = 0;
  /// True once the node was asked to stop; its health check then fails.
  bool draining = false;
};

} // namespace apricottrack

#endif
