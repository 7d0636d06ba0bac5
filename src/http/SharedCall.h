#ifndef APRICOTTRACK_HTTP_SHAREDCALL_H
#define APRICOTTRACK_HTTP_SHAREDCALL_H

#include "apricottrack/Time.h"
#include "http/HttpTypes.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>

namespace apricottrack {

/// Lets any number of requests wait for one call, so that callers cannot cause
/// a call each. Must outlive the calls that it has started.
class SharedCall
{
public:
  struct Options
  {
    /// After a failed call, none is made for this long.
    Duration retryDelay = milliseconds(400);
  };

  /// `aCall` returns whether it succeeded.
  SharedCall(boost::asio::any_io_executor aExecutor,
             Options aOptions,
             std::function<Task<bool>()> aCall);

  /// Joins the call in progress or starts one, and waits for its end. Returns
  /// false if it fails, does not end by `aUntil`, or is not made because an
  /// earlier one has just failed.
  Task<bool> Join(Instant aUntil);

private:
  Task<void> Run();

  boost::asio::any_io_executor executor;
  Options options;
  std::function<Task<bool>()> call;
  bool isRunning = false;
  bool hasSucceeded = false;
  Instant nextCallAt;
  /// Timers of those that wait for the call in progress.
  std::set<boost::asio::steady_timer*> waiting;
};

} // namespace apricottrack

#endif
