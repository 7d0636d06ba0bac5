#ifndef APRICOTTRACK_NODE_H
#define APRICOTTRACK_NODE_H

#include "apricottrack/Error.h"
#include "apricottrack/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace apricottrack {

/// One entry VM's part of the system: takes callers, routes their requests,
/// takes its turn at keeping groups in order. All nodes are equal.
class Node
{
public:
  /// Binds all addresses and starts. The executor must be that of one thread
  /// and outlive the node.
  static Result<std::unique_ptr<Node>> Make(
    boost::asio::any_io_executor aExecutor,
    Settings aSettings);

  ~Node();

  /// Stops gracefully: fails the health check, takes nothing new after the
  /// grace period, finishes what is in flight, then calls back.
  void Stop(std::function<void()> aDone);

private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace apricottrack

#endif
