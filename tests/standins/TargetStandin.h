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

struct TargetOptions
{
  std::string vm;
  std::string address;
  /// Answers any path instead of chat completions in a group.
  bool plain = false;
  bool checksFencing = true;
  int slots = 8;
  int loadMs = 200;
  int prefillMs = 20;
  int tokenMs = 2;
  int workMs = 2;
  int reportLagMs = 100;
  std::size_t cachedPrefixes = 64;
  /// JSON lines of all that this target did; shared by many targets.
  std::string recordFile;
};

/// Stands in for a model engine that is one member of a replica group, or
/// for a plain service. Answers are a function of the request alone, so that
/// a checker can tell whose they are.
class TargetStandin
{
public:
  TargetStandin(boost::asio::any_io_executor aExecutor, TargetOptions aOptions);

  Task<void> Handle(HttpExchange& aExchange);

private:
  struct HeldOrder
  {
    std::string group;
    std::uint64_t epoch = 0;
    int rank = 0;
    std::vector<std::string> members;
    Instant loadedAt;
  };

  /// Set by a POST to /control.
  struct Faults
  {
    /// Connections end after the request was run, without an answer.
    bool dropAnswers = false;
    /// Streams and bodies break off after this many tokens; -1: never.
    int truncateAfter = -1;
    /// Streams fall silent after this many tokens; -1: never.
    int stallAfter = -1;
    /// Answers carry another request's id.
    bool foreignIds = false;
    /// Each answer is sent twice on its connection.
    bool duplicate = false;
    double slowFactor = 1;
  };

  Task<void> Status(HttpExchange& aExchange);
  Task<void> TakeOrder(HttpExchange& aExchange);
  Task<void> Control(HttpExchange& aExchange);
  Task<void> Chat(HttpExchange& aExchange);
  Task<void> Stream(HttpExchange& aExchange, std::string aPrompt, int aTokens);
  Task<void> Plain(HttpExchange& aExchange);
  Task<void> WatchMembers();
  Task<bool> MembersPresent();
  Task<void> ReportRegularly();
  Task<void> Sleep(double aMs);
  Task<void> Refuse(HttpExchange& aExchange, std::string_view aReason);
  bool Admissible(const HttpRequest& aRequest) const;
  /// True if the prompt's beginning was in the cache; it is afterwards.
  bool TouchCache(const std::string& aPrompt);
  void Record(std::string_view aEvent, const HttpRequest& aRequest);
  std::string EchoId(const HttpRequest& aRequest) const;

  boost::asio::any_io_executor executor;
  TargetOptions options;
  std::string incarnation;
  HttpConnectionPool pool;
  HeldOrder order;
  Faults faults;
  bool ready = false;
  /// Grows each time the group is seen to be broken; running work ends.
  int breaks = 0;
  int running = 0;
  int reportedRunning = 0;
  std::deque<std::uint64_t> cache;
  std::int64_t cacheHits = 0;
  std::int64_t served = 0;
};

/// The token at a position of the answer to a prompt.
std::string
TokenAt(const std::string& aPrompt, int aIndex);

} // namespace apricottrack::standins

#endif
