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

/// One entry VM's part of the system on a platform whose store holds the
/// operator's catalog and the targets' entries.
class ServingNode
{
public:
  struct Platform
  {
    std::unique_ptr<PlatformProtocol> protocol;
    std::function<std::unique_ptr<KeyValueStore>(Counters&)> makeStore;
  };

  /// Binds all addresses and starts. The executor must be that of one thread
  /// and outlive the node.
  static Result<std::unique_ptr<ServingNode>> Make(
    boost::asio::any_io_executor aExecutor,
    Settings aSettings,
    Platform aPlatform);

  ~ServingNode();

  /// Takes the bounds of changed settings; addresses need a new start.
  void Reload(Settings aSettings);

  /// Stops gracefully: is not ready any more, goes on serving until new
  /// callers have gone elsewhere, finishes what is in flight, calls back.
  void Stop(std::function<void()> aDone);

private:
  class Impl;
  explicit ServingNode(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace apricottrack

#endif
