#ifndef APRICOTTRACK_NODE_LEASETASK_H
#define APRICOTTRACK_NODE_LEASETASK_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <random>
#include <string>

namespace apricottrack {

/// Acquires a key of the key-value service under a lease and renews the lease.
/// Used for this node's entry in the list of nodes and for the planner's key,
/// which the first node to write it holds. HoldsKey() alone does not protect
/// shared data: the process can pause after the call, and the lease can expire
/// during the pause. Writes need a compare-and-swap or a fencing token as well.
class LeaseTask
{
public:
  struct Options
  {
    std::string key;
    /// Written to the key; must be unique to this process.
    std::string value;
    /// Time to live of the lease after each renewal.
    std::int64_t ttlSeconds = 5;
    /// Mean time between renewals; each is varied by up to half of it.
    Duration renewInterval = milliseconds(1500);
    /// Mean time between attempts to acquire a key that this node does not
    /// hold, varied in the same way; zero means the renewal interval.
    Duration acquireInterval = Duration::zero();
    /// Whether this node may read a key that it does not hold. While it returns
    /// false, the task makes no calls for such a key. May be empty, which means
    /// yes.
    std::function<bool()> mayQuery;
    /// Whether this node may acquire the key when no other node holds it. May
    /// be empty, which means yes.
    std::function<bool()> mayAcquire;
    /// Called with the value of the current holder, if that is another node.
    /// May be empty.
    std::function<void(const std::string& aValue)> onOtherHolder;
    /// Called when reading the key failed. May be empty.
    std::function<void()> onReadFailure = {};
    /// Delay before the first attempt, so that nodes that start together do
    /// not all query the service at the same time.
    Duration firstDelay = Duration::zero();
  };

  LeaseTask(boost::asio::any_io_executor aExecutor,
            KeyValueStore& aStore,
            Options aOptions);

  void Start();

  /// True while this node holds the key: from the acquisition until the lease
  /// expires by this node's monotonic clock.
  bool HoldsKey(Instant aNow) const { return aNow < this->leaseExpiresAt; }

  /// Revision at which this node last acquired the key; zero if it never did.
  /// It increases with each holder and so serves as a fencing token.
  Revision AcquiredRevision() const { return this->acquiredRevision; }

  /// True from the acquisition of the key until the service refuses a renewal
  /// or the lease is cleared or released. Stays true while the service is
  /// unreachable, even past the expiry by this node's clock.
  bool HasLease() const { return this->lease != 0; }

  /// Clears the lease locally, after another node proved to hold the key.
  /// Makes no call to the service.
  void ClearLease();

  /// Revokes the lease, so that another node can acquire the key. This node
  /// acquires it again only if `mayAcquire` allows that.
  void Resign();

  /// Stops renewing and revokes the lease, so that another node can acquire
  /// the key without waiting for the lease to expire.
  void Release();

private:
  Task<void> Run();
  /// True if a key that this node does not hold may be queried.
  bool MayQuery() const;
  /// Returns true if the key was acquired under a new lease.
  Task<bool> Acquire();
  Task<void> Revoke(LeaseId aLease);

  boost::asio::any_io_executor executor;
  KeyValueStore& store;
  Options options;
  std::mt19937_64 random;
  /// Zero while no lease is held.
  LeaseId lease = 0;
  Revision acquiredRevision = 0;
  /// Expiry of the lease by this node's monotonic clock.
  Instant leaseExpiresAt;
  /// True once Release was called; the key is then not acquired again.
  bool released = false;
};

} // namespace apricottrack

#endif
