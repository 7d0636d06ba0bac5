#ifndef APRICOTTRACK_NODE_NODECONTEXT_H
#define APRICOTTRACK_NODE_NODECONTEXT_H

#include "apricottrack/Settings.h"
#include "base/Counters.h"
#include "config/ConfigurationHolder.h"
#include "http/HttpClient.h"
#include "limits/AccountLimiter.h"
#include "membership/NodeDirectory.h"
#include "node/Dispatcher.h"
#include "node/JournalTask.h"
#include "node/NodeView.h"
#include "report/BurnLedger.h"
#include "retry/RetryPolicy.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace apricottrack {

/// What the tasks of one node share. Used by the node's one thread.
struct NodeContext
{
  const Settings& settings;
  boost::asio::any_io_executor executor;
  /// Identifies this process among the node's lives.
  std::string incarnation;
  Counters counters;
  BurnLedger burn;
  ConfigurationHolder configuration;
  AccountLimiter limiter;
  NodeDirectory directory;
  NodeView view;
  HttpConnectionPool targetPool;
  std::unique_ptr<RetryPolicy> retryPolicy;
  std::map<std::string, std::unique_ptr<Dispatcher>, std::less<>> dispatchers;
  std::vector<std::unique_ptr<JournalTask>> journals;
  /// Requests being handled.
  int inFlight = 0;
  bool draining = false;
};

} // namespace apricottrack

#endif
