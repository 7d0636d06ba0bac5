#ifndef APRICOTTRACK_KEYVALUESTORE_H
#define APRICOTTRACK_KEYVALUESTORE_H

#include "apricottrack/Error.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Interface to the platform's key-value service.
namespace apricottrack {

template<typename T>
using Task = boost::asio::awaitable<T>;

/// Version number that every write to the service increases, also a write after
/// the service was restored from an older copy; zero means "no such key".
using Revision = std::int64_t;

/// Zero means "no lease".
using LeaseId = std::int64_t;

struct KeyValue
{
  std::string key;
  std::string value;
  /// Revision of the last write to this key; zero for a deleted key.
  Revision revision = 0;

  friend bool operator==(const KeyValue&, const KeyValue&) = default;
};

/// A compare-and-swap: writes the value only if the key's revision still is
/// `expected` (zero: the key must not exist).
struct Swap
{
  std::string key;
  Revision expected = 0;
  std::string value;
  /// The key is deleted when this lease ends.
  LeaseId lease = 0;
};

/// What the service reports about one key since a revision.
struct KeyChange
{
  /// The key's newest value, with revision zero if it does not exist; none if
  /// it has not changed.
  std::optional<KeyValue> value;
  /// Revision of the service up to which this holds.
  Revision checkedRevision = 0;
};

/// What the service reports about the keys under a prefix since a revision.
struct PrefixChange
{
  /// All keys if `isComplete`; otherwise those that have changed, the last
  /// change of each key last, deleted ones with revision zero.
  std::vector<KeyValue> values;
  bool isComplete = false;
  /// Revision of the service up to which this holds.
  Revision checkedRevision = 0;

  friend bool operator==(const PrefixChange&, const PrefixChange&) = default;
};

/// Asynchronous access to the key-value service. After an error with kNoReply
/// a write may or may not have taken effect; the caller must read back.
class KeyValueStore
{
public:
  /// Receives changed keys, deleted ones with revision zero; returns false to
  /// end the watch.
  using WatchCallback =
    std::function<bool(const std::vector<KeyValue>& aChanges)>;

  virtual ~KeyValueStore() = default;

  /// Returns the key's value, with revision zero if the key does not exist.
  virtual Task<Result<KeyValue>> Get(std::string aKey) = 0;

  /// Returns the key's value if it has changed after `aCheckedRevision`, the
  /// one of an earlier result; with zero, returns the value in any case. For
  /// large values that are checked often. Stores that cannot tell without
  /// reading the value always return it.
  virtual Task<Result<KeyChange>> GetIfChanged(std::string aKey,
                                               Revision aCheckedRevision);

  /// The same for all keys with the prefix. Stores that cannot tell what has
  /// changed return all keys.
  virtual Task<Result<PrefixChange>> ListIfChanged(std::string aPrefix,
                                                   Revision aCheckedRevision);

  /// Returns all keys with the prefix, and sets `aRevision` to the service's
  /// revision at the time of the read.
  virtual Task<Result<std::vector<KeyValue>>> List(std::string aPrefix,
                                                   Revision& aRevision) = 0;

  /// Returns the revision of the write; kConflict if the key's revision is not
  /// the expected one.
  virtual Task<Result<Revision>> CompareAndSwap(Swap aSwap) = 0;

  /// Creates a lease that expires unless it is renewed within the given time.
  virtual Task<Result<LeaseId>> GrantLease(std::int64_t aTtlSeconds) = 0;

  /// Returns the remaining time in seconds; kRefused if the lease has expired.
  virtual Task<Result<std::int64_t>> RenewLease(LeaseId aLease) = 0;

  /// Revokes a lease and deletes the keys attached to it.
  virtual Task<Result<void>> RevokeLease(LeaseId aLease) = 0;

  /// Number of times that the service was restored from an older copy of its
  /// contents since the first call, as far as known. Writes that it
  /// acknowledged before may be lost and leases have ended. Swaps that expect a
  /// revision from before fail with kConflict, and watches from one end.
  virtual std::int64_t RestoreCount() const { return 0; }

  /// Number of the service's present history, as of the newest response. It
  /// grows with each restore from an older copy. None before the first
  /// response, and for services that do not report it.
  virtual std::optional<std::int64_t> History() const { return std::nullopt; }

  /// Sets the time between two polls, for stores whose watch is a series of
  /// calls. Stores with a streaming watch ignore it.
  virtual void SetWatchInterval(std::chrono::milliseconds) {}

  /// Reports changes under the prefix, from the revision `aFrom` (inclusive)
  /// on, until the connection fails or the callback returns false. Returns the
  /// failure, or kRefused if the callback ended the watch. A store may also
  /// call back with an empty list to show that the watch is alive.
  virtual Task<Error> Watch(std::string aPrefix,
                            Revision aFrom,
                            WatchCallback aCallback) = 0;
};

} // namespace apricottrack

#endif
