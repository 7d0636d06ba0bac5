#ifndef APRICOTTRACK_NODE_LEASETASK_H
#define APRICOTTRACK_NODE_LEASETASK_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <random>
#include <string>

namespace apricottrack {

/// Keeps a key at the platform's service under a lease: this node's entry in
/// the list of nodes, or the planner's key that whoever comes first holds.
/// Holding is a hint: it can lapse during a pause without being noticed.
class LeaseTask
{
public:
  struct Options
  {
    std::string key;
    std::string value;
    std::int64_t ttlSeconds = 5;
    Duration renewEvery = milliseconds(1500);
    /// Between two tries to take a key that this node does not hold; zero for
    /// the time between renewals.
    Duration tryEvery = Duration::zero();
    /// Whether it is worth asking for a key that this node does not hold;
    /// keeps those who only wait from calling the service. May be empty.
    std::function<bool()> mayTry;
    /// Whether this node may take the key where nobody holds it. May be empty.
    std::function<bool()> mayTake;
    /// Told of the value that the present holder wrote. May be empty.
    std::function<void(const std::string& aValue)> onHolder;
    /// Told when the service did not say who holds the key.
    std::function<void()> onNoReply = {};
    /// Before the first try, so that nodes of one start do not all ask.
    Duration firstDelay = Duration::zero();
  };

  LeaseTask(boost::asio::any_io_executor aExecutor,
            KeyValueStore& aStore,
            Options aOptions);

  void Start();

  /// True while the lease has not run out by this node's own clock.
  bool Holds(Instant aNow) const { return aNow < this->validUntil; }

  /// Revision at which this node last took the key; grows with each holder,
  /// and so serves as a fencing token.
  Revision TakenAt() const { return this->takenAt; }

  /// The lease was neither refused nor ended: while the service cannot be
  /// reached, nobody else can have taken the key with its knowledge.
  bool NotKnownLost() const { return this->lease != 0; }

  /// Gives up a key that somebody else proved to hold.
  void Abandon();

  /// Stops renewing and ends the lease, so that its key is free at once.
  void Release();

private:
  Task<void> Run();
  bool MayTry() const;
  Task<bool> Acquire();
  Task<bool> Renew();
  Task<void> End(LeaseId aLease);

  boost::asio::any_io_executor executor;
  KeyValueStore& store;
  Options options;
  std::mt19937_64 random;
  LeaseId lease = 0;
  Revision takenAt = 0;
  Instant validUntil;
  bool released = false;
};

} // namespace apricottrack

#endif
