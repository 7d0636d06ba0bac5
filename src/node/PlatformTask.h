#ifndef APRICOTTRACK_NODE_PLATFORMTASK_H
#define APRICOTTRACK_NODE_PLATFORMTASK_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <random>

namespace apricottrack {

/// Follows the shared state at the platform's service: lists it, watches it,
/// and lists it again when the watch fails or a slow check is due, so that
/// neither a lost watch nor a lost event can hide a change for long.
class PlatformTask
{
public:
  struct Options
  {
    Duration slowCheck = seconds(10);
    Duration retryLeast = milliseconds(200);
    Duration retryMost = seconds(5);
  };

  /// `aComplete`: the values are all there are, so that absent keys are gone.
  using ChangeSink =
    std::function<void(const std::vector<KeyValue>& aValues, bool aComplete)>;

  PlatformTask(boost::asio::any_io_executor aExecutor,
               KeyValueStore& aStore,
               Options aOptions,
               ChangeSink aSink);

  void Start();

  /// When the service was last heard from.
  Instant LastHeard() const { return this->lastHeard; }

private:
  Task<void> FollowWatch();
  Task<void> CheckSlowly();
  /// Revision of the state that was listed, or zero on failure.
  Task<Revision> ListAll();
  Task<void> Pause(Duration aMean);

  boost::asio::any_io_executor executor;
  KeyValueStore& store;
  Options options;
  ChangeSink sink;
  Instant lastHeard;
  std::mt19937_64 random;
};

} // namespace apricottrack

#endif
