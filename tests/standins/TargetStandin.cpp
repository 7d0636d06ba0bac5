#include "standins/TargetStandin.h"

#include "base/Hash.h"
#include "base/JsonFields.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fstream>

namespace apricottrack::standins {

namespace asio = boost::asio;
namespace json = boost::json;

std::string
TokenAt(const std::string& aPrompt, int aIndex)
{
  return fmt::format("w{:x}.{} ", StableHash(aPrompt) & 0xffffff, aIndex);
}

namespace {

/// Interval at which the head of a group queries its members.
constexpr Duration kMemberCheckInterval = milliseconds(200);
constexpr Duration kMemberTimeout = milliseconds(1000);
/// Prompts with the same first bytes share a cache entry.
constexpr std::size_t kPrefixBytes = 512;

std::string
PromptOf(const json::object& aBody)
{
  std::string prompt;
  if (const json::array* const messages = JsonArray(aBody, "messages")) {
    for (const json::value& item : *messages) {
      if (const json::object* const message = item.if_object()) {
        prompt += JsonText(*message, "content");
      }
    }
  }
  return prompt;
}

std::string
CompletionBody(const std::string& aContent, bool aCached)
{
  const json::object message{ { "role", "assistant" },
                              { "content", aContent } };
  const json::object choice{ { "index", 0 }, { "message", message } };
  return json::serialize(json::object{ { "object", "chat.completion" },
                                       { "cached", aCached },
                                       { "choices", json::array{ choice } } });
}

std::string
EventAt(const std::string& aPrompt, int aIndex)
{
  const json::object delta{ { "content", TokenAt(aPrompt, aIndex) } };
  const json::object choice{ { "index", 0 }, { "delta", delta } };
  const json::object chunk{ { "object", "chat.completion.chunk" },
                            { "choices", json::array{ choice } } };
  return fmt::format("id: {}\ndata: {}\n\n", aIndex, json::serialize(chunk));
}

std::string
PlainBody(const std::string& aVm, const HttpRequest& aRequest)
{
  return json::serialize(
    json::object{ { "vm", aVm },
                  { "method", std::string(aRequest.method_string()) },
                  { "path", std::string(aRequest.target()) },
                  { "account", std::string(aRequest["X-Client-Account"]) },
                  { "echo", aRequest.body() } });
}

int
IntegerHeader(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string text(aRequest[aName]);
  return text.empty() ? 0 : std::atoi(text.c_str());
}

} // namespace

TargetStandin::TargetStandin(asio::any_io_executor aExecutor,
                             TargetOptions aOptions)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , incarnation(RandomId())
  , pool(this->executor, HttpConnectionPool::Options{})
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->WatchMembers(); },
    asio::detached);
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->UpdateReportPeriodically(); },
    asio::detached);
}

Task<void>
TargetStandin::Sleep(double aMs)
{
  asio::steady_timer timer(this->executor,
                           FromSeconds(aMs * this->faults.slowFactor / 1000));
  co_await timer.async_wait(kAsTuple);
}

Task<void>
TargetStandin::UpdateReportPeriodically()
{
  for (;;) {
    this->reportedRunning = this->running;
    asio::steady_timer timer(this->executor,
                             milliseconds(this->options.reportLagMs));
    co_await timer.async_wait(kAsTuple);
  }
}

void
TargetStandin::RecordEvent(std::string_view aEvent, const HttpRequest& aRequest)
{
  if (this->options.recordFile.empty()) {
    return;
  }
  const json::object line{
    { "at", WallNow() },
    { "event", aEvent },
    { "vm", this->options.vm },
    { "incarnation", this->incarnation },
    { "group", this->order.group },
    { "epoch", this->order.epoch },
    { "request", std::string(aRequest["X-Original-Request-Id"]) },
    { "attempt", std::string(aRequest["X-Request-Id"]) },
    { "account", std::string(aRequest["X-Client-Account"]) },
    { "key", std::string(aRequest["Idempotency-Key"]) },
    { "members", this->order.members.size() },
    { "path", std::string(aRequest.target()) },
  };
  std::ofstream file(this->options.recordFile, std::ios::app);
  file << json::serialize(line) + "\n";
}

std::string
TargetStandin::ResponseId(const HttpRequest& aRequest) const
{
  return this->faults.wrongRequestIds ? "somebody-else"
                                      : std::string(aRequest["X-Request-Id"]);
}

void
TargetStandin::SetRequestLimit(HttpResponse& aResponse) const
{
  if (!this->faults.requestLimit.empty()) {
    aResponse.set("X-Request-Limit", this->faults.requestLimit);
  }
}

unsigned
TargetStandin::RunStatus() const
{
  return this->faults.refuseAfterRun > 0 ? this->faults.refuseAfterRun : 200;
}

Task<void>
TargetStandin::Handle(HttpExchange& aExchange)
{
  const std::string path(aExchange.Request().target());
  if (path == "/v1/status") {
    co_await this->HandleStatus(aExchange);
  } else if (path == "/v1/order") {
    co_await this->HandleOrder(aExchange);
  } else if (path == "/control") {
    co_await this->HandleControl(aExchange);
  } else if (this->options.plain) {
    co_await this->HandlePlain(aExchange);
  } else if (path == "/v1/chat/completions") {
    co_await this->HandleChat(aExchange);
  } else {
    co_await aExchange.Reply(JsonResponse(404, R"({"error":"path"})"));
  }
}

Task<void>
TargetStandin::HandleStatus(HttpExchange& aExchange)
{
  json::object status{ { "vm", this->options.vm },
                       { "incarnation", this->incarnation },
                       { "ready", this->ready || this->options.plain },
                       { "running", this->reportedRunning },
                       { "queued", 0 },
                       { "served", this->served },
                       { "cache_hits", this->cacheHits } };
  if (!this->order.group.empty()) {
    status["order"] = json::object{ { "group", this->order.group },
                                    { "epoch", this->order.epoch },
                                    { "rank", this->order.rank } };
  }
  co_await aExchange.Reply(JsonResponse(200, json::serialize(status)));
}

Task<void>
TargetStandin::HandleOrder(HttpExchange& aExchange)
{
  const auto body =
    ParseJsonObject(aExchange.Request().body(), "order", "planner");
  if (!body) {
    co_await aExchange.Reply(JsonResponse(400, R"({"error":"json"})"));
    co_return;
  }
  const auto epoch = static_cast<std::uint64_t>(JsonInteger(*body, "epoch"));
  if (this->options.checksFencing && epoch < this->order.epoch) {
    this->RecordEvent("order_refused", aExchange.Request());
    co_await aExchange.Reply(JsonResponse(409, R"({"error":"old epoch"})"));
    co_return;
  }
  this->order =
    CurrentOrder{ .group = JsonText(*body, "group"),
                  .epoch = epoch,
                  .rank = static_cast<int>(JsonInteger(*body, "rank")),
                  .members = {},
                  .loadedAt =
                    MonotonicNow() + milliseconds(this->options.loadMs) };
  if (const json::array* const members = JsonArray(*body, "members")) {
    for (const json::value& member : *members) {
      if (member.is_string()) {
        this->order.members.emplace_back(member.get_string());
      }
    }
  }
  this->ready = false;
  ++this->groupBreaks;
  this->RecordEvent("order", aExchange.Request());
  co_await aExchange.Reply(JsonResponse(200, R"({"ok":true})"));
}

Task<void>
TargetStandin::HandleControl(HttpExchange& aExchange)
{
  const auto body =
    ParseJsonObject(aExchange.Request().body(), "control", "test");
  if (body) {
    const auto number = [&](std::string_view aName, int aDefault) {
      return body->contains(aName) ? static_cast<int>(JsonInteger(*body, aName))
                                   : aDefault;
    };
    this->faults = Faults{ .dropResponses = JsonFlag(*body, "drop_answers"),
                           .refuseAfterRun = static_cast<unsigned>(
                             number("refuse_after_run", 0)),
                           .truncateAfter = number("truncate_after", -1),
                           .stallAfter = number("stall_after", -1),
                           .wrongRequestIds = JsonFlag(*body, "foreign_ids"),
                           .duplicateResponses = JsonFlag(*body, "duplicate"),
                           .slowFactor = number("slow_percent", 100) / 100.0,
                           .requestLimit = JsonText(*body, "request_limit") };
  }
  co_await aExchange.Reply(JsonResponse(200, R"({"ok":true})"));
}

Task<bool>
TargetStandin::OtherMembersReportOrder()
{
  const CurrentOrder expectedOrder = this->order;
  for (std::size_t i = 1; i < expectedOrder.members.size(); ++i) {
    HttpRequest request(boost::beast::http::verb::get, "/v1/status", 11);
    const auto response = co_await Fetch(this->pool,
                                         expectedOrder.members[i],
                                         std::move(request),
                                         { .timeout = kMemberTimeout });
    const auto status =
      response
        ? ParseJsonObject(response->body(), "member", expectedOrder.members[i])
        : Result<json::object>(tl::unexpected(response.error()));
    const json::object* const memberOrder =
      status ? JsonObject(*status, "order") : nullptr;
    if (memberOrder == nullptr ||
        JsonText(*memberOrder, "group") != expectedOrder.group ||
        static_cast<std::uint64_t>(JsonInteger(*memberOrder, "epoch")) !=
          expectedOrder.epoch) {
      co_return false;
    }
  }
  co_return true;
}

Task<void>
TargetStandin::WatchMembers()
{
  for (;;) {
    asio::steady_timer timer(this->executor, kMemberCheckInterval);
    co_await timer.async_wait(kAsTuple);
    const std::uint64_t epoch = this->order.epoch;
    const bool first = !this->order.group.empty() && this->order.rank == 0;
    const bool membersReady = first && co_await this->OtherMembersReportOrder();
    // A new order arrived during the queries.
    if (epoch != this->order.epoch) {
      continue;
    }
    const bool isReady = membersReady && MonotonicNow() >= this->order.loadedAt;
    if (this->ready && !isReady) {
      ++this->groupBreaks;
    }
    this->ready = isReady;
  }
}

Task<void>
TargetStandin::RefuseRequest(HttpExchange& aExchange, std::string_view aReason)
{
  HttpResponse response =
    JsonResponse(503, json::serialize(json::object{ { "error", aReason } }));
  response.set("X-Request-Outcome", "not_run");
  response.set("X-Request-Id", this->ResponseId(aExchange.Request()));
  co_await aExchange.Reply(std::move(response));
}

bool
TargetStandin::IsAdmissible(const HttpRequest& aRequest) const
{
  return this->ready && this->order.rank == 0 &&
         aRequest["X-Replica-Group"] == this->order.group &&
         aRequest["X-Fencing-Number"] == std::to_string(this->order.epoch);
}

bool
TargetStandin::TouchCache(const std::string& aPrompt)
{
  const std::uint64_t prefix =
    StableHash(std::string_view(aPrompt).substr(0, kPrefixBytes));
  const auto found = std::find(this->cache.begin(), this->cache.end(), prefix);
  const bool hit = found != this->cache.end();
  if (hit) {
    this->cache.erase(found);
    ++this->cacheHits;
  }
  this->cache.push_front(prefix);
  if (this->cache.size() > this->options.cachedPrefixes) {
    this->cache.pop_back();
  }
  return hit;
}

Task<void>
TargetStandin::HandleChat(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const auto body = ParseJsonObject(request.body(), "chat", "node");
  if (!body || !this->IsAdmissible(request)) {
    co_await this->RefuseRequest(aExchange, "not serving");
    co_return;
  }
  const std::int64_t requestedTokens = JsonInteger(*body, "max_tokens");
  const int tokens =
    requestedTokens > 0 ? static_cast<int>(requestedTokens) : 16;
  const std::string prompt = PromptOf(*body);
  const int breaksAtStart = this->groupBreaks;
  this->RecordEvent("run", request);
  ++this->running;
  ++this->served;
  while (this->running > this->options.slots * 4) {
    co_await this->Sleep(1);
  }
  const bool hit = this->TouchCache(prompt);
  co_await this->Sleep(hit ? this->options.prefillMs / 4.0
                           : this->options.prefillMs);
  if (this->groupBreaks != breaksAtStart || this->faults.dropResponses) {
    aExchange.CloseAfterHandler();
  } else if (JsonFlag(*body, "stream")) {
    co_await this->StreamCompletion(aExchange, prompt, tokens);
  } else {
    std::string content;
    for (int i = 0; i < tokens; ++i) {
      content += TokenAt(prompt, i);
    }
    co_await this->Sleep(this->options.tokenMs * tokens);
    HttpResponse response =
      JsonResponse(this->RunStatus(), CompletionBody(content, hit));
    response.set("X-Request-Id", this->ResponseId(request));
    this->SetRequestLimit(response);
    if (this->groupBreaks != breaksAtStart) {
      aExchange.CloseAfterHandler();
    } else {
      if (this->faults.duplicateResponses) {
        co_await aExchange.Reply(response);
      }
      co_await aExchange.Reply(std::move(response));
      this->RecordEvent("end", request);
    }
  }
  --this->running;
}

Task<void>
TargetStandin::StreamCompletion(HttpExchange& aExchange,
                                std::string aPrompt,
                                int aTokens)
{
  const HttpRequest& request = aExchange.Request();
  const int breaksAtStart = this->groupBreaks;
  const int first = IntegerHeader(request, "X-Resume-From");
  HttpHeaders headers;
  headers.emplace_back("Content-Type", "text/event-stream");
  headers.emplace_back("X-Request-Id", this->ResponseId(request));
  if (!this->faults.requestLimit.empty()) {
    headers.emplace_back("X-Request-Limit", this->faults.requestLimit);
  }
  bool connected = co_await aExchange.BeginStream(200, std::move(headers));
  for (int i = first; connected && i < aTokens; ++i) {
    if (i - first == this->faults.stallAfter) {
      co_await this->Sleep(3'600'000);
    }
    if (this->groupBreaks != breaksAtStart ||
        i - first == this->faults.truncateAfter) {
      aExchange.CloseAfterHandler();
      co_return;
    }
    co_await this->Sleep(this->options.tokenMs);
    connected = co_await aExchange.WriteChunk(EventAt(aPrompt, i));
  }
  if (connected && co_await aExchange.WriteChunk("data: [DONE]\n\n")) {
    co_await aExchange.EndStream();
    this->RecordEvent("end", request);
  }
}

Task<void>
TargetStandin::HandlePlain(HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  this->RecordEvent("run", request);
  ++this->running;
  ++this->served;
  co_await this->Sleep(this->options.workMs);
  --this->running;
  if (this->faults.dropResponses) {
    aExchange.CloseAfterHandler();
    co_return;
  }
  HttpResponse response =
    JsonResponse(this->RunStatus(), PlainBody(this->options.vm, request));
  response.set("X-Request-Id", this->ResponseId(request));
  this->SetRequestLimit(response);
  if (this->faults.duplicateResponses) {
    co_await aExchange.Reply(response);
  }
  co_await aExchange.Reply(std::move(response));
  this->RecordEvent("end", request);
}

} // namespace apricottrack::standins
