#ifndef APRICOTTRACK_TESTS_STANDINS_KVSTANDIN_H
#define APRICOTTRACK_TESTS_STANDINS_KVSTANDIN_H

#include "apricottrack/Time.h"
#include "http/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

namespace apricottrack::standins {

/// Stands in for the platform's key-value service in tests. Implements the part
/// of etcd's JSON gateway that the system uses; a POST to /control sets faults
/// and returns the number of calls by path.
class KvStandin
{
public:
  explicit KvStandin(boost::asio::any_io_executor aExecutor);

  Task<void> Handle(HttpExchange& aExchange);

private:
  /// A stored key's value.
  struct Item
  {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };

  /// One change, kept for watches.
  struct Event
  {
    std::int64_t revision = 0;
    std::string key;
    std::string value;
    bool deleted = false;
  };

  /// Faults to inject, set by a POST to /control.
  struct Faults
  {
    /// Connections are closed without a reply.
    bool outage = false;
    /// Delay before each call is handled.
    int delayMs = 0;
    /// Number of further writes that take effect but get no reply.
    int repliesToLose = 0;
    /// Calls per second, above which calls get status 429; zero means
    /// unlimited.
    int rateLimit = 0;
  };

  Task<void> HandleControl(HttpExchange& aExchange);
  Task<void> HandleWatch(HttpExchange& aExchange,
                         const boost::json::object& aBody);
  /// Handles a call other than a watch; returns an empty text for an unknown
  /// path and sets aHasWritten if a value was written.
  std::string HandleCall(std::string_view aPath,
                         const boost::json::object& aBody,
                         bool& aHasWritten);
  std::string Range(const boost::json::object& aBody) const;
  /// Supports one comparison of a mod_revision, followed by one put.
  std::string Txn(const boost::json::object& aBody, bool& aHasWritten);
  std::string Grant(const boost::json::object& aBody);
  std::string KeepAlive(const boost::json::object& aBody);
  std::string Revoke(const boost::json::object& aBody);
  void Put(const std::string& aKey, std::string aValue, std::int64_t aLease);
  /// Removes expired leases and the keys that were put with them.
  void ExpireLeases();
  Task<void> ExpireLeasesPeriodically();
  /// Counts a call and returns whether it exceeds the rate limit.
  bool IsOverRateLimit();
  boost::json::object MakeHeader() const;
  static boost::json::object EncodeEvent(const Event& aEvent);
  std::string EncodeWatchMessage(const boost::json::array& aChanges) const;

  boost::asio::any_io_executor executor;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  /// Expiry time and time to live in seconds, by lease id.
  std::map<std::int64_t, std::pair<Instant, std::int64_t>> leases;
  std::int64_t revision = 1;
  std::int64_t nextLeaseId = 1000;
  Faults faults;
  /// Number of calls by path, without those to /control.
  std::map<std::string, std::int64_t> callCounts;
  /// Current one-second window of the rate limit.
  Instant windowStart;
  int windowCalls = 0;
};

} // namespace apricottrack::standins

#endif
