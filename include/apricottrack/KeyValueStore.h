#ifndef APRICOTTRACK_KEYVALUESTORE_H
#define APRICOTTRACK_KEYVALUESTORE_H

#include "apricottrack/Error.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// The platform's key-value service as the system sees it.
namespace apricottrack {

template<typename T>
using Task = boost::asio::awaitable<T>;

/// Grows with every write anywhere in the service; zero means "no such key".
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

/// One compare-and-swap: the write happens only if the key's revision is
/// still `expected` (zero: the key must not exist).
struct Swap
{
  std::string key;
  Revision expected = 0;
  std::string value;
  LeaseId lease = 0;
};

/// Asynchronous access to the platform's service. Errors with kNoReply leave
/// it open whether a write took effect; the caller reads back.
class KeyValueStore
{
public:
  using WatchCallback =
    std::function<bool(const std::vector<KeyValue>& aChanges)>;

  virtual ~KeyValueStore() = default;

  /// The key's value; a KeyValue of revision zero where there is none.
  virtual Task<Result<KeyValue>> Get(std::string aKey) = 0;

  /// All keys with the prefix, and the service's revision at that moment.
  virtual Task<Result<std::vector<KeyValue>>> List(std::string aPrefix,
                                                   Revision& aRevision) = 0;

  /// The revision of the write, or kConflict.
  virtual Task<Result<Revision>> CompareAndSwap(Swap aSwap) = 0;

  virtual Task<Result<LeaseId>> GrantLease(std::int64_t aTtlSeconds) = 0;

  /// The remaining seconds, or kRefused where the lease has lapsed.
  virtual Task<Result<std::int64_t>> RenewLease(LeaseId aLease) = 0;

  /// Ends a lease at once, and with it its keys.
  virtual Task<Result<void>> EndLease(LeaseId aLease) = 0;

  /// Time between two reports of a watch, where each is a call of its own;
  /// others ignore it.
  virtual void PaceWatches(std::chrono::milliseconds) {}

  /// Reports changes under the prefix from a revision on until the
  /// connection fails, or the callback returns false; returns that failure,
  /// or kRefused for the callback's. A store may also call back without any
  /// changes, as a sign that the watch is alive.
  virtual Task<Error> Watch(std::string aPrefix,
                            Revision aFrom,
                            WatchCallback aCallback) = 0;
};

} // namespace apricottrack

#endif
