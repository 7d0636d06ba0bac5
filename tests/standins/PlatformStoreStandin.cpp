#include "standins/PlatformStoreStandin.h"

#include "base/JsonFields.h"
#include "kv/EtcdMessages.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace apricottrack::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using detail::DecodeBase64;
using detail::EncodeBase64;

namespace {

constexpr Duration kExpiryInterval = milliseconds(20);
/// Between two checks of a waiting watch for events.
constexpr Duration kWatchInterval = milliseconds(2);
constexpr std::size_t kMaxTxnEntries = 32;

std::string
DecodeQuery(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text.push_back(static_cast<char>(
        std::stoi(std::string(aText.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      text.push_back(aText[i]);
    }
  }
  return text;
}

std::int64_t
NumberOf(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoll(aText);
}

HttpResponse
Respond(unsigned aStatus, const json::object& aBody = {})
{
  return JsonResponse(aStatus, json::serialize(aBody));
}

bool
IsOfOthers(std::string_view aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

/// Returns the array of a member; an empty one if it is absent.
json::array
RowsOf(const json::object& aBody, std::string_view aName)
{
  const json::array* const rows = JsonArray(aBody, aName);
  return rows == nullptr ? json::array{} : *rows;
}

} // namespace

PlatformStoreStandin::PlatformStoreStandin(asio::any_io_executor aExecutor,
                                           Options aOptions)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , era(this->options.era)
  , holdTimer(this->executor)
  , server(*HttpServer::Make(
      this->executor,
      { .address = this->options.address,
        .handler = [this](HttpExchange& aExchange) -> Task<void> {
          co_await this->Handle(aExchange);
        },
        .errorResponder = {} }))
{
  asio::co_spawn(
    this->executor,
    [this]() -> Task<void> { co_await this->ExpireLeasesPeriodically(); },
    asio::detached);
}

void
PlatformStoreStandin::Put(const std::string& aKey, std::string aValue)
{
  ++this->contents.revision;
  this->Write(aKey, std::move(aValue), 0);
}

void
PlatformStoreStandin::Remove(const std::string& aKey)
{
  ++this->contents.revision;
  this->Erase(aKey);
}

void
PlatformStoreStandin::Restore()
{
  this->contents = this->copy;
  std::erase_if(this->contents.items,
                [](const auto& aItem) { return aItem.second.lease != 0; });
  this->leases.clear();
  this->events.clear();
  this->historyStart = this->contents.revision;
  ++this->era;
}

void
PlatformStoreStandin::HoldNextResponse(std::string aPath)
{
  this->pathToHold = std::move(aPath);
  this->holdTimer.expires_at(asio::steady_timer::time_point::max());
}

void
PlatformStoreStandin::ReleaseResponse()
{
  this->isHolding = false;
  this->holdTimer.cancel();
}

int
PlatformStoreStandin::Calls(const std::string& aPath) const
{
  const auto found = this->calls.find(aPath);
  return found == this->calls.end() ? 0 : found->second;
}

std::optional<std::string>
PlatformStoreStandin::ValueOf(const std::string& aKey) const
{
  const auto found = this->contents.items.find(aKey);
  if (found == this->contents.items.end()) {
    return std::nullopt;
  }
  return found->second.value;
}

PlatformStoreStandin::Call
PlatformStoreStandin::ReadCall(const HttpRequest& aRequest)
{
  const std::string target(aRequest.target());
  const std::size_t end = target.find('?');
  Call call{ .path = target.substr(0, end), .lease = 0, .query = {} };
  const std::size_t slash = call.path.rfind('/');
  if (slash != 0 && slash != std::string::npos) {
    call.lease = NumberOf(call.path.substr(slash + 1));
    call.path.resize(slash);
  }
  std::string_view rest;
  if (end != std::string::npos) {
    rest = std::string_view(target).substr(end + 1);
  }
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = std::min(pair.find('='), pair.size() - 1);
    call.query[std::string(pair.substr(0, equals))] =
      DecodeQuery(pair.substr(equals + 1));
  }
  return call;
}

Task<void>
PlatformStoreStandin::Handle(HttpExchange& aExchange)
{
  const Call call = ReadCall(aExchange.Request());
  ++this->calls[call.path];
  if (this->beforeCall) {
    this->beforeCall(call.path);
  }
  std::optional<HttpResponse> response;
  if (this->isUp && call.path == "/kv-watch") {
    response = co_await this->Watch(call);
  } else if (this->isUp) {
    response = this->Answer(call, aExchange.Request().body());
  }
  if (!response) {
    aExchange.CloseAfterHandler();
    co_return;
  }
  response->set("Store-Era", std::to_string(this->era));
  if (this->pathToHold == call.path) {
    this->pathToHold.clear();
    this->isHolding = true;
    co_await this->holdTimer.async_wait(kAsTuple);
  }
  co_await aExchange.Reply(std::move(*response));
}

HttpResponse
PlatformStoreStandin::Answer(const Call& aCall, const std::string& aBody)
{
  if (aCall.path == "/kv-key") {
    return this->Key(aCall.query.at("key"));
  }
  if (aCall.path == "/kv-range") {
    return this->Range(aCall);
  }
  if (aCall.path == "/kv-keep") {
    return this->Keep(aCall.lease);
  }
  if (aCall.path == "/kv-lease-end") {
    return this->EndLease(aCall.lease);
  }
  const auto body = ParseJsonObject(aBody, "kv", "caller");
  if (body && aCall.path == "/kv-txn") {
    return this->Txn(*body);
  }
  if (body && aCall.path == "/kv-lease") {
    return this->Grant(*body);
  }
  return Respond(400);
}

HttpResponse
PlatformStoreStandin::Key(const std::string& aKey) const
{
  const auto found = this->contents.items.find(aKey);
  json::object body;
  if (found != this->contents.items.end()) {
    body = EncodeItem(aKey, found->second);
  }
  body["store_revision"] = this->contents.revision;
  return Respond(found == this->contents.items.end() ? 404 : 200, body);
}

HttpResponse
PlatformStoreStandin::Range(const Call& aCall) const
{
  const std::string& prefix = aCall.query.at("prefix");
  const auto after = aCall.query.find("after");
  auto item = after == aCall.query.end()
                ? this->contents.items.lower_bound(prefix)
                : this->contents.items.upper_bound(after->second);
  json::array items;
  bool hasMore = false;
  for (; item != this->contents.items.end() && item->first.starts_with(prefix);
       ++item) {
    if (items.size() == this->options.pageSize) {
      hasMore = true;
      break;
    }
    items.push_back(EncodeItem(item->first, item->second));
  }
  return Respond(200,
                 { { "items", std::move(items) },
                   { "has_more", hasMore },
                   { "store_revision", this->contents.revision } });
}

Task<std::optional<HttpResponse>>
PlatformStoreStandin::Watch(Call aCall)
{
  const std::int64_t eraBefore = this->era;
  const std::int64_t after = NumberOf(aCall.query.at("after"));
  const Instant end =
    MonotonicNow() + milliseconds(NumberOf(aCall.query.at("wait_ms")));
  if (after > this->contents.revision || after < this->historyStart) {
    co_return Respond(410);
  }
  while (!this->HasEvent(after, aCall.query.at("prefix")) &&
         MonotonicNow() < end) {
    asio::steady_timer timer(this->executor, kWatchInterval);
    co_await timer.async_wait(kAsTuple);
    if (!this->isUp || this->era != eraBefore) {
      co_return std::nullopt;
    }
  }
  co_return this->Events(after, aCall.query.at("prefix"));
}

bool
PlatformStoreStandin::HasEvent(std::int64_t aAfter,
                               const std::string& aPrefix) const
{
  return std::any_of(
    this->events.begin(), this->events.end(), [&](const Event& aEvent) {
      return aEvent.revision > aAfter && aEvent.key.starts_with(aPrefix);
    });
}

HttpResponse
PlatformStoreStandin::Events(std::int64_t aAfter,
                             const std::string& aPrefix) const
{
  json::array rows;
  for (const Event& event : this->events) {
    if (event.revision <= aAfter || !event.key.starts_with(aPrefix)) {
      continue;
    }
    rows.push_back(event.item ? EncodeItem(event.key, *event.item)
                              : json::object{ { "key", event.key },
                                              { "revision", event.revision },
                                              { "removed", true } });
  }
  return Respond(200,
                 { { "events", std::move(rows) },
                   { "store_revision", this->contents.revision } });
}

HttpResponse
PlatformStoreStandin::Txn(const json::object& aBody)
{
  const json::array rows = RowsOf(aBody, "precondition");
  const json::array puts = RowsOf(aBody, "puts");
  const json::array removals = RowsOf(aBody, "remove");
  if (rows.size() + puts.size() + removals.size() > kMaxTxnEntries) {
    return Respond(400);
  }
  bool matches = true;
  json::array current;
  for (const json::value& row : rows) {
    const std::string key = JsonText(row.as_object(), "key");
    const auto found = this->contents.items.find(key);
    const bool exists = found != this->contents.items.end();
    current.push_back(EncodeItem(key, exists ? found->second : Item{}));
    matches = matches && JsonInteger(row.as_object(), "revision") ==
                           (exists ? found->second.revision : 0);
  }
  if (!matches) {
    return Respond(412, { { "items", std::move(current) } });
  }
  for (const json::value& put : puts) {
    const std::int64_t lease = JsonInteger(put.as_object(), "lease");
    if (lease != 0 && !this->leases.contains(lease)) {
      return Respond(404);
    }
    if (IsOfOthers(JsonText(put.as_object(), "key"))) {
      return Respond(403);
    }
  }
  ++this->contents.revision;
  for (const json::value& put : puts) {
    this->Write(JsonText(put.as_object(), "key"),
                DecodeBase64(JsonText(put.as_object(), "value")).value(),
                JsonInteger(put.as_object(), "lease"));
  }
  for (const json::value& key : removals) {
    this->Erase(std::string(key.as_string()));
  }
  return Respond(200, { { "revision", this->contents.revision } });
}

HttpResponse
PlatformStoreStandin::Grant(const json::object& aBody)
{
  const std::int64_t ttlMs = JsonInteger(aBody, "ttl_ms");
  const std::int64_t id = this->contents.nextLease++;
  this->leases[id] = { .ttl = milliseconds(ttlMs),
                       .expiresAt = MonotonicNow() + milliseconds(ttlMs) };
  return Respond(200, { { "lease", id }, { "ttl_ms", ttlMs } });
}

HttpResponse
PlatformStoreStandin::Keep(std::int64_t aLease)
{
  const auto found = this->leases.find(aLease);
  if (found == this->leases.end()) {
    return Respond(404);
  }
  found->second.expiresAt = MonotonicNow() + found->second.ttl;
  return Respond(200, { { "ttl_ms", found->second.ttl / milliseconds(1) } });
}

HttpResponse
PlatformStoreStandin::EndLease(std::int64_t aLease)
{
  if (!this->leases.contains(aLease)) {
    return Respond(404);
  }
  this->RemoveLease(aLease);
  return Respond(200);
}

void
PlatformStoreStandin::Write(const std::string& aKey,
                            std::string aValue,
                            std::int64_t aLease)
{
  Item& item = this->contents.items[aKey];
  item.value = std::move(aValue);
  item.revision = this->contents.revision;
  item.created = item.created == 0 ? item.revision : item.created;
  item.lease = aLease;
  this->events.push_back(
    { .revision = item.revision, .key = aKey, .item = item });
}

void
PlatformStoreStandin::Erase(const std::string& aKey)
{
  this->contents.items.erase(aKey);
  this->events.push_back(
    { .revision = this->contents.revision, .key = aKey, .item = std::nullopt });
}

void
PlatformStoreStandin::RemoveLease(std::int64_t aLease)
{
  this->leases.erase(aLease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : this->contents.items) {
    if (item.lease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    this->Remove(key);
  }
}

Task<void>
PlatformStoreStandin::ExpireLeasesPeriodically()
{
  for (;;) {
    asio::steady_timer timer(this->executor, kExpiryInterval);
    co_await timer.async_wait(kAsTuple);
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : this->leases) {
      if (this->isUp && lease.expiresAt <= MonotonicNow()) {
        expired.push_back(id);
      }
    }
    for (const std::int64_t id : expired) {
      this->RemoveLease(id);
    }
  }
}

json::object
PlatformStoreStandin::EncodeItem(const std::string& aKey, const Item& aItem)
{
  return { { "key", aKey },
           { "value", EncodeBase64(aItem.value) },
           { "revision", aItem.revision },
           { "created", aItem.created },
           { "lease", aItem.lease } };
}

} // namespace apricottrack::standins
