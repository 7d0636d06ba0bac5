#ifndef APRICOTTRACK_NODE_PLATFORMTASK_H
#define APRICOTTRACK_NODE_PLATFORMTASK_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"
#include "http/SharedCall.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <random>

namespace apricottrack {

/// Follows the shared state in the platform's key-value service: lists it,
/// watches it, and lists it again when the watch fails and periodically. The
/// periodic list bounds how long a lost watch or event can hide a change.
class PlatformTask
{
public:
  struct Options
  {
    /// Mean time between periodic lists.
    Duration listInterval = seconds(10);
    /// Mean delay before listing and watching again after a failure; doubles
    /// up to `maxRetryDelay` until a list succeeds.
    Duration minRetryDelay = milliseconds(200);
    Duration maxRetryDelay = seconds(5);
  };

  /// Called with changed values. If `aComplete`, they are the complete state,
  /// and keys that are not among them were deleted.
  using ChangeSink =
    std::function<void(const std::vector<KeyValue>& aValues, bool aComplete)>;

  PlatformTask(boost::asio::any_io_executor aExecutor,
               KeyValueStore& aStore,
               Options aOptions,
               ChangeSink aSink);

  void Start();

  /// Waits for a read of the configuration, which all that wait at the same
  /// time share. Returns false if it fails or does not end by `aUntil`.
  Task<bool> ConfirmConfiguration(Instant aUntil)
  {
    return this->confirmation.Join(aUntil);
  }

  /// When the latest read was sent that has shown the newest configuration. A
  /// watch without events proves nothing.
  Instant ConfigurationVerifiedAt() const
  {
    return this->configurationVerifiedAt;
  }

  /// Time of the service's last list response or watch report.
  Instant LastContactAt() const { return this->lastContactAt; }

private:
  Task<void> FollowWatch();
  Task<void> ListPeriodically();
  /// Returns the revision of the listed state, or zero on failure.
  Task<Revision> ListAll();
  /// Reads the configuration alone. Returns false on failure.
  Task<bool> ReadConfiguration();
  /// Waits for a random time of half to one and a half of the mean.
  Task<void> WaitWithJitter(Duration aMean);

  boost::asio::any_io_executor executor;
  KeyValueStore& store;
  Options options;
  ChangeSink sink;
  Instant lastContactAt;
  Instant configurationVerifiedAt;
  SharedCall confirmation;
  std::mt19937_64 random;
};

} // namespace apricottrack

#endif
