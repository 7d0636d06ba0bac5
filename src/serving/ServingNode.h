#ifndef APRICOTTRACK_SERVING_SERVINGNODE_H
#define APRICOTTRACK_SERVING_SERVINGNODE_H

#include "apricottrack/Error.h"
#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Settings.h"
#include "base/Counters.h"
#include "serving/PlatformProtocol.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace apricottrack {

/// A serving node on one entry VM, for a platform whose store holds the
/// operator's catalog and the target entries. Owns the caller, readiness, admin
/// and peer servers and all tasks.
class ServingNode
{
public:
  struct Platform
  {
    std::unique_ptr<PlatformProtocol> protocol;
    std::function<std::unique_ptr<KeyValueStore>(Counters&)> makeStore;
  };

  /// Binds all addresses and starts. The executor must run on a single thread
  /// and outlive the node.
  static Result<std::unique_ptr<ServingNode>> Make(
    boost::asio::any_io_executor aExecutor,
    Settings aSettings,
    Platform aPlatform);

  ~ServingNode();

  /// Applies the settings that are read again at each use, such as the retry
  /// slack, the revocation bound and the stop limit; others need a restart.
  void Reload(Settings aSettings);

  /// Stops gracefully: reports not ready, accepts connections until the
  /// platform has removed the node, completes requests in flight within the
  /// stop limit, then calls `aOnDone`.
  void Stop(std::function<void()> aOnDone);

private:
  class Impl;
  explicit ServingNode(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace apricottrack

#endif
