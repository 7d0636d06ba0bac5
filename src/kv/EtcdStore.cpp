#include "kv/EtcdStore.h"

#include "base/JsonFields.h"
#include "kv/EtcdMessages.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

namespace {

const std::string kRangePath = "/v3/kv/range";
const std::string kTxnPath = "/v3/kv/txn";
const std::string kGrantPath = "/v3/lease/grant";
const std::string kKeepAlivePath = "/v3/lease/keepalive";
const std::string kRevokePath = "/v3/lease/revoke";
const std::string kWatchPath = "/v3/watch";
/// Maximum size of the response to a call, in bytes.
constexpr std::uint64_t kCallBodyLimit = std::uint64_t{ 64 } * 1024 * 1024;
/// Maximum size of one message of a watch, in bytes.
constexpr std::size_t kMaxWatchMessageBytes = std::size_t{ 16 } * 1024 * 1024;
/// Maximum size of the response to a watch, in bytes. All replies of a watch
/// form one response body, so the limit is higher than a watch can reach.
constexpr std::uint64_t kWatchBodyLimit = std::uint64_t{ 1 } << 40;

HttpRequest
PostRequest(std::string aPath, std::string aBody)
{
  HttpRequest request(boost::beast::http::verb::post, aPath, 11);
  request.set(boost::beast::http::field::content_type, "application/json");
  request.body() = std::move(aBody);
  return request;
}

} // namespace

EtcdStore::EtcdStore(boost::asio::any_io_executor aExecutor, Options aOptions)
  : executor(std::move(aExecutor))
  , options(std::move(aOptions))
  , pool(this->executor, HttpConnectionPool::Options{})
{
}

Task<Result<std::string>>
EtcdStore::Call(std::string aPath, std::string aBody)
{
  ++this->calls[aPath];
  // Fetch may send a call twice. That is safe for swaps too: if the first one
  // took effect, the second one fails because the revision has changed. If a
  // repeated call grants two leases, the first one is never renewed and
  // expires.
  auto response = co_await Fetch(
    this->pool,
    this->options.address,
    PostRequest(aPath, std::move(aBody)),
    { .timeout = this->options.callTimeout,
      .bodyBytes = kCallBodyLimit,
      .idleConnectionTimeout = this->options.idleConnectionTimeout });
  if (!response) {
    Error error = response.error();
    error.step = "kv" + aPath;
    co_return tl::unexpected(std::move(error));
  }
  if (response->result_int() != 200) {
    co_return Failure(response->result_int() == 429 ? ErrorCode::kBusy
                                                    : ErrorCode::kNoReply,
                      "kv" + aPath,
                      this->options.address,
                      "status " + std::to_string(response->result_int()));
  }
  co_return std::move(response->body());
}

Task<Result<KeyValue>>
EtcdStore::Get(std::string aKey)
{
  auto text = co_await this->Call(kRangePath, detail::RangeBody(aKey, false));
  if (!text) {
    co_return tl::unexpected(text.error());
  }
  const auto reply = ParseJsonObject(*text, "kv.range", this->options.address);
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  const json::array* const kvs = JsonArray(*reply, "kvs");
  if (kvs == nullptr || kvs->empty() || !kvs->front().is_object()) {
    KeyValue absent;
    absent.key = aKey;
    co_return absent;
  }
  co_return detail::ReadKeyValue(kvs->front().get_object());
}

Task<Result<std::vector<KeyValue>>>
EtcdStore::List(std::string aPrefix, Revision& aRevision)
{
  auto text = co_await this->Call(kRangePath, detail::RangeBody(aPrefix, true));
  if (!text) {
    co_return tl::unexpected(text.error());
  }
  const auto reply = ParseJsonObject(*text, "kv.range", this->options.address);
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  aRevision = detail::HeaderRevision(*reply);
  std::vector<KeyValue> values;
  const json::array* const kvs = JsonArray(*reply, "kvs");
  if (kvs != nullptr) {
    for (const json::value& kv : *kvs) {
      if (kv.is_object()) {
        values.push_back(detail::ReadKeyValue(kv.get_object()));
      }
    }
  }
  co_return values;
}

Task<Result<Revision>>
EtcdStore::CompareAndSwap(Swap aSwap)
{
  auto text = co_await this->Call(kTxnPath, detail::SwapBody(aSwap));
  if (!text) {
    co_return tl::unexpected(text.error());
  }
  const auto reply = ParseJsonObject(*text, "kv.txn", this->options.address);
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  if (!JsonFlag(*reply, "succeeded")) {
    co_return Failure(ErrorCode::kConflict,
                      "kv.txn",
                      this->options.address,
                      "the key's revision has changed: " + aSwap.key);
  }
  co_return detail::HeaderRevision(*reply);
}

Task<Result<LeaseId>>
EtcdStore::GrantLease(std::int64_t aTtlSeconds)
{
  auto text = co_await this->Call(kGrantPath, detail::GrantBody(aTtlSeconds));
  if (!text) {
    co_return tl::unexpected(text.error());
  }
  const auto reply =
    ParseJsonObject(*text, "kv.lease_grant", this->options.address);
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  co_return detail::NumberField(*reply, "ID");
}

Task<Result<std::int64_t>>
EtcdStore::RenewLease(LeaseId aLease)
{
  auto text = co_await this->Call(kKeepAlivePath, detail::LeaseBody(aLease));
  if (!text) {
    co_return tl::unexpected(text.error());
  }
  const auto reply =
    ParseJsonObject(*text, "kv.lease_keepalive", this->options.address);
  if (!reply) {
    co_return tl::unexpected(reply.error());
  }
  const json::object* const result = JsonObject(*reply, "result");
  const std::int64_t ttl =
    result == nullptr ? 0 : detail::NumberField(*result, "TTL");
  if (ttl <= 0) {
    co_return Failure(ErrorCode::kRefused,
                      "kv.lease_keepalive",
                      this->options.address,
                      "the lease has expired");
  }
  co_return ttl;
}

Task<Result<void>>
EtcdStore::RevokeLease(LeaseId aLease)
{
  const auto text = co_await this->Call(kRevokePath, detail::LeaseBody(aLease));
  if (!text) {
    co_return tl::unexpected(text.error());
  }
  co_return Result<void>{};
}

namespace {

/// Passes the changes in each complete line of a watch stream to the callback
/// and removes the line. Skips malformed lines and those without changes.
/// Returns false once the callback ends the watch.
bool
ConsumeLines(std::string& aPending,
             const KeyValueStore::WatchCallback& aCallback,
             const std::string& aPeer)
{
  std::size_t end = 0;
  while ((end = aPending.find('\n')) != std::string::npos) {
    const auto message = ParseJsonObject(
      std::string_view(aPending).substr(0, end), "kv.watch", aPeer);
    aPending.erase(0, end + 1);
    const json::object* const result =
      message ? JsonObject(*message, "result") : nullptr;
    if (result != nullptr) {
      const auto changes = detail::ReadWatchEvents(*result);
      if (!changes.empty() && !aCallback(changes)) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

Task<Error>
EtcdStore::Watch(std::string aPrefix, Revision aFrom, WatchCallback aCallback)
{
  ++this->calls[kWatchPath];
  auto connection =
    co_await this->pool.OpenNewConnection(this->options.address);
  if (!connection) {
    co_return connection.error();
  }
  HttpRequest request =
    PostRequest(kWatchPath, detail::WatchBody(aPrefix, aFrom));
  request.set(boost::beast::http::field::host, this->options.address);
  const auto sent =
    co_await (*connection)->Send(std::move(request), this->options.callTimeout);
  if (!sent) {
    co_return sent.error();
  }
  const auto head = co_await (*connection)
                      ->ReceiveHead(this->options.callTimeout, kWatchBodyLimit);
  if (!head) {
    co_return head.error();
  }
  std::string pending;
  for (;;) {
    auto chunk =
      co_await (*connection)->ReceiveBodyChunk(this->options.watchTimeout);
    if (!chunk) {
      co_return chunk.error();
    }
    if (chunk->empty()) {
      co_return Error{ .code = ErrorCode::kNoReply,
                       .step = "kv.watch",
                       .peer = this->options.address,
                       .detail = "the service closed the watch" };
    }
    pending.append(*chunk);
    if (!ConsumeLines(pending, aCallback, this->options.address)) {
      co_return Error{ .code = ErrorCode::kRefused,
                       .step = "kv.watch",
                       .peer = this->options.address,
                       .detail = "the watch was ended by its callback" };
    }
    if (pending.size() > kMaxWatchMessageBytes) {
      co_return Error{ .code = ErrorCode::kBadReply,
                       .step = "kv.watch",
                       .peer = this->options.address,
                       .detail = "a message exceeds the size limit" };
    }
  }
}

} // namespace apricottrack
