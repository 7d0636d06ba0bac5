#ifndef APRICOTTRACK_TESTS_STANDINS_PLATFORMSTORESTANDIN_H
#define APRICOTTRACK_TESTS_STANDINS_PLATFORMSTORESTANDIN_H

#include "apricottrack/Time.h"
#include "http/HttpServer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace apricottrack::standins {

/// Stands in for the platform's metadata store in unit tests. Can be restored
/// from an older copy of its contents: revisions and lease ids are then given
/// out again, and the era in all responses rises by one. Must outlive the last
/// run of the executor.
class PlatformStoreStandin
{
public:
  struct Options
  {
    /// IP:port to listen on.
    std::string address;
    /// Maximum number of items in one response to kv-range.
    std::size_t pageSize = 500;
    /// Era of the first responses.
    std::int64_t era = 3;
  };

  PlatformStoreStandin(boost::asio::any_io_executor aExecutor,
                       Options aOptions);

  /// Writes as the operator or a target.
  void Put(const std::string& aKey, std::string aValue);
  /// Removes as the operator or a target.
  void Remove(const std::string& aKey);

  void TakeCopy() { this->copy = this->contents; }
  /// Goes back to the copy, without leases, their keys and any history. Cuts
  /// waiting watches.
  void Restore();
  /// While the store is down, connections are closed without a response.
  void SetUp(bool aIsUp) { this->isUp = aIsUp; }

  /// Handles the next call of the path, but keeps its response back.
  void HoldNextResponse(std::string aPath);
  bool IsHoldingResponse() const { return this->isHolding; }
  void ReleaseResponse();

  /// Sets a function that runs with the path before each call is handled.
  void SetBeforeCall(std::function<void(const std::string&)> aFunction)
  {
    this->beforeCall = std::move(aFunction);
  }

  /// Number of calls of a path, such as "/kv-key", also while down.
  int Calls(const std::string& aPath) const;
  /// None if the key does not exist.
  std::optional<std::string> ValueOf(const std::string& aKey) const;
  /// Revision number of the last change.
  std::int64_t LastRevision() const { return this->contents.revision; }
  bool HasLease(std::int64_t aLease) const
  {
    return this->leases.contains(aLease);
  }
  std::size_t LeaseCount() const { return this->leases.size(); }

private:
  struct Item
  {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };

  /// What a copy holds.
  struct Contents
  {
    std::map<std::string, Item> items;
    std::int64_t revision = 1;
    std::int64_t nextLease = 1000;
  };

  /// One change; without an item if the key was removed.
  struct Event
  {
    std::int64_t revision = 0;
    std::string key;
    std::optional<Item> item;
  };

  struct Lease
  {
    Duration ttl;
    Instant expiresAt;
  };

  struct Call
  {
    /// Without the id of a lease.
    std::string path;
    std::int64_t lease = 0;
    std::map<std::string, std::string> query;
  };

  static Call ReadCall(const HttpRequest& aRequest);
  Task<void> Handle(HttpExchange& aExchange);
  HttpResponse Answer(const Call& aCall, const std::string& aBody);
  HttpResponse Key(const std::string& aKey) const;
  HttpResponse Range(const Call& aCall) const;
  /// Returns none if the connection is to be cut.
  Task<std::optional<HttpResponse>> Watch(Call aCall);
  bool HasEvent(std::int64_t aAfter, const std::string& aPrefix) const;
  HttpResponse Events(std::int64_t aAfter, const std::string& aPrefix) const;
  HttpResponse Txn(const boost::json::object& aBody);
  HttpResponse Grant(const boost::json::object& aBody);
  HttpResponse Keep(std::int64_t aLease);
  HttpResponse EndLease(std::int64_t aLease);
  /// Writes at the present revision number.
  void Write(const std::string& aKey, std::string aValue, std::int64_t aLease);
  /// Removes at the present revision number.
  void Erase(const std::string& aKey);
  void RemoveLease(std::int64_t aLease);
  Task<void> ExpireLeasesPeriodically();
  static boost::json::object EncodeItem(const std::string& aKey,
                                        const Item& aItem);

  boost::asio::any_io_executor executor;
  Options options;
  Contents contents;
  Contents copy;
  std::map<std::int64_t, Lease> leases;
  std::vector<Event> events;
  /// The history is complete after this revision.
  std::int64_t historyStart = 1;
  std::int64_t era;
  bool isUp = true;
  std::map<std::string, int> calls;
  std::function<void(const std::string&)> beforeCall;
  std::string pathToHold;
  bool isHolding = false;
  boost::asio::steady_timer holdTimer;
  std::shared_ptr<HttpServer> server;
};

} // namespace apricottrack::standins

#endif
