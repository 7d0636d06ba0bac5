#ifndef APRICOTTRACK_TESTS_STANDINS_TARGETSTANDIN_H
#define APRICOTTRACK_TESTS_STANDINS_TARGETSTANDIN_H

#include "apricottrack/Time.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace apricottrack::standins {

/// Options of one target's stand-in.
struct TargetOptions
{
  std::string vm;
  std::string address;
  /// Serves any path as a plain service, instead of chat completions as a
  /// member of a replica group.
  bool plain = false;
  /// Refuses orders with an older epoch than the current one.
  bool checksFencing = true;
  /// Chat requests beyond four times this number wait.
  int slots = 8;
  /// Time to load the model after an order.
  int loadMs = 200;
  /// Time before the first token; a quarter of it if the prefix is cached.
  int prefillMs = 20;
  /// Time for each token.
  int tokenMs = 2;
  /// Processing time of a plain request.
  int workMs = 2;
  /// Interval at which the reported number of running requests is updated.
  int reportLagMs = 100;
  /// Prompt prefixes that the cache holds.
  std::size_t cachedPrefixes = 64;
  /// File of JSON lines that records orders and requests; shared by targets.
  std::string recordFile;
};

/// Stands in for a model engine, which is one member of a replica group, or for
/// a plain service. Responses depend on the request alone, so that a test can
/// check that a response belongs to its request.
class TargetStandin
{
public:
  TargetStandin(boost::asio::any_io_executor aExecutor, TargetOptions aOptions);

  Task<void> Handle(HttpExchange& aExchange);

private:
  /// The group assignment that was received last.
  struct CurrentOrder
  {
    std::string group;
    std::uint64_t epoch = 0;
    int rank = 0;
    /// Addresses of all members, the head first.
    std::vector<std::string> members;
    /// When the model is loaded and the target can get ready.
    Instant loadedAt;
  };

  /// Faults to inject, set by a POST to /control; each POST replaces them all.
  struct Faults
  {
    /// Requests run, but the connection is closed without a response.
    bool dropResponses = false;
    /// Requests run and are answered with this status, as if they had not run;
    /// 0 means never.
    unsigned refuseAfterRun = 0;
    /// Streams are cut off after this many tokens; -1 means never.
    int truncateAfter = -1;
    /// Streams stall for an hour after this many tokens; -1 means never.
    int stallAfter = -1;
    /// Responses carry another request's id.
    bool wrongRequestIds = false;
    /// Each response is sent twice on its connection.
    bool duplicateResponses = false;
    /// Multiplies all processing times.
    double slowFactor = 1;
    /// Sent as X-Request-Limit in responses; nothing if empty.
    std::string requestLimit;
  };

  void SetRequestLimit(HttpResponse& aResponse) const;
  /// Status of the responses to requests that have run.
  unsigned RunStatus() const;
  Task<void> HandleStatus(HttpExchange& aExchange);
  Task<void> HandleOrder(HttpExchange& aExchange);
  Task<void> HandleControl(HttpExchange& aExchange);
  Task<void> HandleChat(HttpExchange& aExchange);
  Task<void> StreamCompletion(HttpExchange& aExchange,
                              std::string aPrompt,
                              int aTokens);
  Task<void> HandlePlain(HttpExchange& aExchange);
  /// On the head of a group, updates readiness every 200 ms.
  Task<void> WatchMembers();
  /// Returns whether all other members report the same group and epoch.
  Task<bool> OtherMembersReportOrder();
  /// Publishes the number of running requests at the configured interval.
  Task<void> UpdateReportPeriodically();
  /// Waits for a time that the fault `slowFactor` multiplies.
  Task<void> Sleep(double aMs);
  /// Responds that the request was not run.
  Task<void> RefuseRequest(HttpExchange& aExchange, std::string_view aReason);
  /// Returns whether the target is a ready head and the request carries its
  /// group and epoch.
  bool IsAdmissible(const HttpRequest& aRequest) const;
  /// Returns whether the prompt's prefix was cached, and caches it.
  bool TouchCache(const std::string& aPrompt);
  /// Appends a line to the record file, if there is one.
  void RecordEvent(std::string_view aEvent, const HttpRequest& aRequest);
  /// Returns the request id to send with the response.
  std::string ResponseId(const HttpRequest& aRequest) const;

  boost::asio::any_io_executor executor;
  TargetOptions options;
  std::string incarnation;
  HttpConnectionPool pool;
  CurrentOrder order;
  Faults faults;
  bool ready = false;
  /// Incremented when the group breaks or gets a new order; running requests
  /// compare it with its value at their start and abort.
  int groupBreaks = 0;
  /// Requests that run or wait.
  int running = 0;
  /// Value of `running` that the status reports; lags behind it.
  int reportedRunning = 0;
  /// Hashes of cached prompt prefixes, most recently used first.
  std::deque<std::uint64_t> cache;
  std::int64_t cacheHits = 0;
  /// Requests that were started.
  std::int64_t served = 0;
};

/// Returns the token at a position of the response to a prompt.
std::string
TokenAt(const std::string& aPrompt, int aIndex);

} // namespace apricottrack::standins

#endif
