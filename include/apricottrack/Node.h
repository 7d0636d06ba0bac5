#ifndef APRICOTTRACK_NODE_H
#define APRICOTTRACK_NODE_H

#include "apricottrack/Error.h"
#include "apricottrack/Settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace apricottrack {

/// The process on one entry VM. It accepts callers' requests and routes them
/// to targets, and it can act as the planner that maintains replica groups.
/// All nodes run the same code.
class Node
{
public:
  /// Binds all addresses and starts. The executor must run on a single thread
  /// and outlive the node.
  static Result<std::unique_ptr<Node>> Make(
    boost::asio::any_io_executor aExecutor,
    Settings aSettings);

  ~Node();

  /// Stops gracefully: fails the health check, closes the listener after the
  /// grace period, finishes the requests in flight, then calls back.
  void Stop(std::function<void()> aDone);

private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace apricottrack

#endif
