#ifndef APRICOTTRACK_KV_ETCDSTORE_H
#define APRICOTTRACK_KV_ETCDSTORE_H

#include "apricottrack/KeyValueStore.h"
#include "http/HttpClient.h"

#include <map>

namespace apricottrack {

/// Key-value store over the version 3 JSON gateway of etcd. Uses the paths
/// /v3/kv/range, /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive,
/// /v3/lease/revoke and /v3/watch, with keys and values in base64.
class EtcdStore final : public KeyValueStore
{
public:
  struct Options
  {
    /// IP:port of the service.
    std::string address;
    /// Limit for sending a call, and for each read of its response.
    Duration callTimeout = seconds(2);
    /// Timeout of a call over an idle connection. After that it is sent again
    /// on a new one.
    Duration idleConnectionTimeout = milliseconds(500);
    /// A watch that receives nothing for longer fails, and its caller opens it
    /// again. The service's progress notifications arrive more often than this
    /// on an intact watch.
    Duration watchTimeout = seconds(20);
  };

  EtcdStore(boost::asio::any_io_executor aExecutor, Options aOptions);

  Task<Result<KeyValue>> Get(std::string aKey) override;
  Task<Result<std::vector<KeyValue>>> List(std::string aPrefix,
                                           Revision& aRevision) override;
  Task<Result<Revision>> CompareAndSwap(Swap aSwap) override;
  Task<Result<LeaseId>> GrantLease(std::int64_t aTtlSeconds) override;
  Task<Result<std::int64_t>> RenewLease(LeaseId aLease) override;
  Task<Result<void>> RevokeLease(LeaseId aLease) override;
  Task<Error> Watch(std::string aPrefix,
                    Revision aFrom,
                    WatchCallback aCallback) override;

  /// Number of calls so far, by path. A watch counts once, when it is opened.
  const std::map<std::string, std::int64_t>& Calls() const
  {
    return this->calls;
  }

private:
  Task<Result<std::string>> Call(std::string aPath, std::string aBody);

  boost::asio::any_io_executor executor;
  Options options;
  HttpConnectionPool pool;
  std::map<std::string, std::int64_t> calls;
};

} // namespace apricottrack

#endif
