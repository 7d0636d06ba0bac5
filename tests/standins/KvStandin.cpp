#include "standins/KvStandin.h"

#include "base/JsonFields.h"
#include "kv/EtcdMessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace apricottrack::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using detail::DecodeBase64;
using detail::EncodeBase64;
using detail::NumberField;

namespace {

/// Interval at which expired leases and their keys are removed.
constexpr Duration kExpiryInterval = milliseconds(100);
/// Longest time between two messages of a watch without changes.
constexpr Duration kProgressInterval = seconds(5);

std::string
DecodeField(const json::object& aObject, std::string_view aName)
{
  return DecodeBase64(JsonText(aObject, aName)).value_or(std::string{});
}

} // namespace

KvStandin::KvStandin(asio::any_io_executor aExecutor)
  : executor(std::move(aExecutor))
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->ExpireLeasesPeriodically(); },
    asio::detached);
}

Task<void>
KvStandin::Handle(HttpExchange& aExchange)
{
  const std::string path(aExchange.Request().target());
  if (path == "/control") {
    co_await this->HandleControl(aExchange);
    co_return;
  }
  ++this->callCounts[path];
  if (this->faults.outage) {
    aExchange.CloseAfterHandler();
    co_return;
  }
  if (this->faults.delayMs > 0) {
    asio::steady_timer timer(this->executor,
                             milliseconds(this->faults.delayMs));
    co_await timer.async_wait(kAsTuple);
  }
  if (this->IsOverRateLimit()) {
    co_await aExchange.Reply(JsonResponse(429, R"({"error":"rate limit"})"));
    co_return;
  }
  const auto body = ParseJsonObject(aExchange.Request().body(), "kv", "caller");
  if (!body) {
    co_await aExchange.Reply(JsonResponse(400, R"({"error":"json"})"));
    co_return;
  }
  if (path == "/v3/watch") {
    co_await this->HandleWatch(aExchange, *body);
    co_return;
  }
  bool hasWritten = false;
  const std::string response = this->HandleCall(path, *body, hasWritten);
  if (hasWritten && this->faults.repliesToLose > 0) {
    --this->faults.repliesToLose;
    aExchange.CloseAfterHandler();
    co_return;
  }
  co_await aExchange.Reply(
    JsonResponse(response.empty() ? 404 : 200, response));
}

bool
KvStandin::IsOverRateLimit()
{
  const Instant now = MonotonicNow();
  if (now - this->windowStart >= seconds(1)) {
    this->windowStart = now;
    this->windowCalls = 0;
  }
  ++this->windowCalls;
  return this->faults.rateLimit > 0 &&
         this->windowCalls > this->faults.rateLimit;
}

Task<void>
KvStandin::HandleControl(HttpExchange& aExchange)
{
  const auto body =
    ParseJsonObject(aExchange.Request().body(), "control", "caller");
  if (body) {
    if (body->contains("outage")) {
      this->faults.outage = JsonFlag(*body, "outage");
    }
    if (body->contains("delay_ms")) {
      this->faults.delayMs = static_cast<int>(JsonInteger(*body, "delay_ms"));
    }
    if (body->contains("lose_replies")) {
      this->faults.repliesToLose =
        static_cast<int>(JsonInteger(*body, "lose_replies"));
    }
    if (body->contains("rate_limit")) {
      this->faults.rateLimit =
        static_cast<int>(JsonInteger(*body, "rate_limit"));
    }
  }
  json::object counts;
  for (const auto& [path, count] : this->callCounts) {
    counts[path] = count;
  }
  co_await aExchange.Reply(JsonResponse(200, json::serialize(counts)));
}

json::object
KvStandin::MakeHeader() const
{
  return json::object{ { "revision", std::to_string(this->revision) } };
}

std::string
KvStandin::HandleCall(std::string_view aPath,
                      const json::object& aBody,
                      bool& aHasWritten)
{
  if (aPath == "/v3/kv/range") {
    return this->Range(aBody);
  }
  if (aPath == "/v3/kv/txn") {
    return this->Txn(aBody, aHasWritten);
  }
  if (aPath == "/v3/lease/grant") {
    return this->Grant(aBody);
  }
  if (aPath == "/v3/lease/keepalive") {
    return this->KeepAlive(aBody);
  }
  if (aPath == "/v3/lease/revoke") {
    return this->Revoke(aBody);
  }
  return {};
}

std::string
KvStandin::Range(const json::object& aBody) const
{
  const std::string first = DecodeField(aBody, "key");
  const std::string end = aBody.contains("range_end")
                            ? DecodeField(aBody, "range_end")
                            : first + std::string(1, '\0');
  json::array kvs;
  for (auto item = this->items.lower_bound(first);
       item != this->items.end() && item->first < end;
       ++item) {
    kvs.push_back(json::object{
      { "key", EncodeBase64(item->first) },
      { "value", EncodeBase64(item->second.value) },
      { "mod_revision", std::to_string(item->second.revision) } });
  }
  return json::serialize(
    json::object{ { "header", this->MakeHeader() }, { "kvs", kvs } });
}

std::string
KvStandin::Txn(const json::object& aBody, bool& aHasWritten)
{
  const json::object& compare = JsonArray(aBody, "compare")->at(0).as_object();
  const std::string key = DecodeField(compare, "key");
  const auto found = this->items.find(key);
  const std::int64_t currentRevision =
    found == this->items.end() ? 0 : found->second.revision;
  const bool matches = currentRevision == NumberField(compare, "mod_revision");
  if (matches) {
    const json::object& put = JsonArray(aBody, "success")
                                ->at(0)
                                .as_object()
                                .at("request_put")
                                .as_object();
    this->Put(DecodeField(put, "key"),
              DecodeField(put, "value"),
              NumberField(put, "lease"));
    aHasWritten = true;
  }
  return json::serialize(
    json::object{ { "header", this->MakeHeader() }, { "succeeded", matches } });
}

void
KvStandin::Put(const std::string& aKey, std::string aValue, std::int64_t aLease)
{
  ++this->revision;
  this->events.push_back(Event{ .revision = this->revision,
                                .key = aKey,
                                .value = aValue,
                                .deleted = false });
  this->items[aKey] = Item{ .value = std::move(aValue),
                            .revision = this->revision,
                            .lease = aLease };
}

std::string
KvStandin::Grant(const json::object& aBody)
{
  const std::int64_t ttl = NumberField(aBody, "TTL");
  const std::int64_t id = this->nextLeaseId++;
  this->leases[id] = { MonotonicNow() + seconds(ttl), ttl };
  return json::serialize(json::object{ { "ID", std::to_string(id) },
                                       { "TTL", std::to_string(ttl) } });
}

std::string
KvStandin::KeepAlive(const json::object& aBody)
{
  const std::int64_t id = NumberField(aBody, "ID");
  const auto found = this->leases.find(id);
  std::int64_t ttl = 0;
  if (found != this->leases.end()) {
    ttl = found->second.second;
    found->second.first = MonotonicNow() + seconds(ttl);
  }
  return json::serialize(
    json::object{ { "result",
                    json::object{ { "ID", std::to_string(id) },
                                  { "TTL", std::to_string(ttl) } } } });
}

std::string
KvStandin::Revoke(const json::object& aBody)
{
  const auto found = this->leases.find(NumberField(aBody, "ID"));
  if (found != this->leases.end()) {
    found->second.first = MonotonicNow();
    this->ExpireLeases();
  }
  return json::serialize(json::object{ { "header", this->MakeHeader() } });
}

void
KvStandin::ExpireLeases()
{
  const Instant now = MonotonicNow();
  std::erase_if(this->leases, [&](const auto& aLease) {
    if (aLease.second.first > now) {
      return false;
    }
    std::erase_if(this->items, [&](const auto& aItem) {
      if (aItem.second.lease != aLease.first) {
        return false;
      }
      ++this->revision;
      this->events.push_back(Event{ .revision = this->revision,
                                    .key = aItem.first,
                                    .value = {},
                                    .deleted = true });
      return true;
    });
    return true;
  });
}

Task<void>
KvStandin::ExpireLeasesPeriodically()
{
  for (;;) {
    asio::steady_timer timer(this->executor, kExpiryInterval);
    co_await timer.async_wait(kAsTuple);
    this->ExpireLeases();
  }
}

json::object
KvStandin::EncodeEvent(const Event& aEvent)
{
  const json::object kv{ { "key", EncodeBase64(aEvent.key) },
                         { "value", EncodeBase64(aEvent.value) },
                         { "mod_revision", std::to_string(aEvent.revision) } };
  return json::object{ { "type", aEvent.deleted ? "DELETE" : "PUT" },
                       { "kv", kv } };
}

std::string
KvStandin::EncodeWatchMessage(const json::array& aChanges) const
{
  const json::object result{ { "header", this->MakeHeader() },
                             { "events", aChanges } };
  return json::serialize(json::object{ { "result", result } }) + "\n";
}

Task<void>
KvStandin::HandleWatch(HttpExchange& aExchange, const json::object& aBody)
{
  const json::object* const create = JsonObject(aBody, "create_request");
  if (create == nullptr) {
    co_return;
  }
  const std::string first = DecodeField(*create, "key");
  const std::string end = DecodeField(*create, "range_end");
  const std::int64_t from = NumberField(*create, "start_revision");
  HttpHeaders headers;
  headers.emplace_back("Content-Type", "application/json");
  bool connected = co_await aExchange.BeginStream(200, std::move(headers));
  std::size_t next = 0;
  Instant lastSent;
  while (connected && !this->faults.outage) {
    json::array changes;
    for (; next < this->events.size(); ++next) {
      const Event& event = this->events[next];
      if (event.revision >= from && event.key >= first && event.key < end) {
        changes.push_back(EncodeEvent(event));
      }
    }
    if (!changes.empty() || MonotonicNow() - lastSent >= kProgressInterval) {
      lastSent = MonotonicNow();
      connected =
        co_await aExchange.WriteChunk(this->EncodeWatchMessage(changes));
      continue;
    }
    asio::steady_timer timer(this->executor, milliseconds(20));
    co_await timer.async_wait(kAsTuple);
  }
  aExchange.CloseAfterHandler();
}

} // namespace apricottrack::standins
