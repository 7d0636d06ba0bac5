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
  int slots = 8;
  int loadMs = 200;
  int prefillMs = 20;
  int tokenMs = 2;
  int workMs = 2;
  /// Interval at which the reported number of running requests is updated.
  int reportLagMs = 100;
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
    std::vector<std::string> members;
    /// When the model is loaded and the target can get ready.
    Instant loadedAt;
  };

  /// Set by a POST to /control.
  struct Faults
  {
    /// Requests run, but the connection is closed without a response.
    bool dropResponses = false;
    /// Streams are cut off after this many tokens; -1 means never.
    int truncateAfter = -1;
    /// Streams stall after this many tokens; -1 means never.
    int stallAfter = -1;
    /// Responses carry another request's id.
    bool wrongRequestIds = false;
    /// Each response is sent twice on its connection.
    bool duplicateResponses = false;
    /// Multiplies all processing times.
    double slowFactor = 1;
  };

  Task<void> Status(HttpExchange& aExchange);
  Task<void> HandleOrder(HttpExchange& aExchange);
  Task<void> Control(HttpExchange& aExchange);
  Task<void> Chat(HttpExchange& aExchange);
  Task<void> Stream(HttpExchange& aExchange, std::string aPrompt, int aTokens);
  Task<void> Plain(HttpExchange& aExchange);
  /// On the head of a group, updates readiness every 200 ms.
  Task<void> WatchMembers();
  /// Returns whether all other members report the same group and epoch.
  Task<bool> MembersHoldOrder();
  /// Publishes the number of running requests at the configured interval.
  Task<void> UpdateReportPeriodically();
  /// Waits for a time that the fault `slowFactor` multiplies.
  Task<void> Sleep(double aMs);
  Task<void> Refuse(HttpExchange& aExchange, std::string_view aReason);
  /// Returns whether the target is a ready head and the request carries its
  /// group and epoch.
  bool IsAdmissible(const HttpRequest& aRequest) const;
  /// Returns whether the prompt's prefix was cached, and caches it.
  bool TouchCache(const std::string& aPrompt);
  void Record(std::string_view aEvent, const HttpRequest& aRequest);
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
  int running = 0;
  int reportedRunning = 0;
  std::deque<std::uint64_t> cache;
  std::int64_t cacheHits = 0;
  std::int64_t served = 0;
};

/// The token at a position of the response to a prompt.
std::string
TokenAt(const std::string& aPrompt, int aIndex);

} // namespace apricottrack::standins

#endif
