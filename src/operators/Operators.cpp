#include "operators/Operators.h"

#include "base/JsonFields.h"
#include "http/HttpClient.h"
#include "kv/PlatformKeys.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace apricottrack {

namespace json = boost::json;

namespace {

/// Maximum number of compare-and-swap attempts, which fail if another operator
/// writes first or the store is unreachable.
constexpr int kMaxUpdateAttempts = 10;
/// Timeout of a request to the admin endpoint of a node; see Fetch for what it
/// limits.
constexpr Duration kAdminRequestTimeout = milliseconds(1500);
/// Maximum size of a node's response, in bytes; audit records are the largest.
constexpr std::uint64_t kMaxAdminResponseBytes =
  std::uint64_t{ 64 } * 1024 * 1024;

/// Returns version zero for a key without a value or with an invalid one.
StoredConfiguration
ParseStoredValue(const KeyValue& aValue)
{
  if (aValue.revision == 0) {
    return {};
  }
  return ParseStoredConfiguration(aValue.value, aValue.key)
    .value_or(StoredConfiguration{});
}

Error
MakeConflict(const StoredConfiguration& aCurrent, std::uint64_t aBaseVersion)
{
  return Error{ .code = ErrorCode::kConflict,
                .step = "configuration.apply",
                .peer = "platform",
                .detail = fmt::format(
                  "version {} (submission {}) is in force, but the change "
                  "was based on version {}; review it with 'apricottrack "
                  "diff' and apply it again with --base {}",
                  aCurrent.version,
                  aCurrent.submission,
                  aBaseVersion,
                  aCurrent.version) };
}

} // namespace

Task<Result<StoredConfiguration>>
ReadConfiguration(KeyValueStore& aStore)
{
  const auto value = co_await aStore.Get(std::string(keys::kConfigurationKey));
  if (!value) {
    co_return tl::unexpected(value.error());
  }
  co_return ParseStoredValue(*value);
}

Task<Result<StoredConfiguration>>
ApplyConfiguration(KeyValueStore& aStore,
                   std::string aText,
                   ApplyOptions aOptions)
{
  Error lastError;
  std::uint64_t baseVersion = aOptions.baseVersion;
  for (int i = 0; i < aOptions.maxAttempts; ++i) {
    const auto current =
      co_await aStore.Get(std::string(keys::kConfigurationKey));
    if (!current) {
      lastError = current.error();
      continue;
    }
    const StoredConfiguration before = ParseStoredValue(*current);
    if (before.submission == aOptions.submission) {
      // An earlier attempt was written, but its reply was lost.
      co_return before;
    }
    if (baseVersion == 0) {
      baseVersion = before.version;
    }
    if (before.version != baseVersion) {
      co_return tl::unexpected(MakeConflict(before, baseVersion));
    }
    const StoredConfiguration after{ .version = before.version + 1,
                                     .submission = aOptions.submission,
                                     .submittedAt = aOptions.now,
                                     .text = aText };
    Swap swap{ .key = std::string(keys::kConfigurationKey),
               .expected = current->revision,
               .value = EncodeStoredConfiguration(after),
               .lease = 0 };
    const auto swapped = co_await aStore.CompareAndSwap(std::move(swap));
    if (swapped) {
      co_return after;
    }
    lastError = swapped.error();
  }
  lastError.detail +=
    "; it is unknown whether the submission was accepted: apply it "
    "again with --submission " +
    aOptions.submission;
  co_return tl::unexpected(lastError);
}

namespace {

using NodeResponses = std::vector<std::pair<NodeRecord, std::string>>;

/// Sends a GET request for aPath to each registered node's admin endpoint, one
/// after another. The text is empty for a node that does not respond in
/// time.
Task<Result<NodeResponses>>
QueryNodes(boost::asio::any_io_executor aExecutor,
           KeyValueStore& aStore,
           std::string aPath)
{
  Revision revision = 0;
  const auto records =
    co_await aStore.List(std::string(keys::kNodePrefix), revision);
  if (!records) {
    co_return tl::unexpected(records.error());
  }
  HttpConnectionPool pool(aExecutor, HttpConnectionPool::Options{});
  NodeResponses responses;
  for (const KeyValue& record : *records) {
    const auto node = ParseNodeRecord(record.value);
    if (!node) {
      continue;
    }
    HttpRequest request(boost::beast::http::verb::get, aPath, 11);
    const auto response = co_await Fetch(
      pool,
      node->admin,
      std::move(request),
      { .timeout = kAdminRequestTimeout, .bodyBytes = kMaxAdminResponseBytes });
    responses.emplace_back(*node, response ? response->body() : std::string{});
  }
  co_return responses;
}

} // namespace

Task<Result<std::vector<NodeStatus>>>
ReadNodeStatuses(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore)
{
  const std::string path = "/status";
  const auto responses = co_await QueryNodes(aExecutor, aStore, path);
  if (!responses) {
    co_return tl::unexpected(responses.error());
  }
  std::vector<NodeStatus> nodes;
  for (const auto& [record, text] : *responses) {
    NodeStatus node;
    node.node = record.node;
    node.admin = record.admin;
    node.status = ParseJsonObject(text, "node.status", record.admin)
                    .value_or(json::object());
    nodes.push_back(std::move(node));
  }
  co_return nodes;
}

std::vector<std::string>
UnconfirmedNodes(const std::vector<NodeStatus>& aNodes, std::uint64_t aVersion)
{
  if (aNodes.empty()) {
    return { "(no node is registered)" };
  }
  std::vector<std::string> names;
  for (const NodeStatus& node : aNodes) {
    const auto version = static_cast<std::uint64_t>(
      JsonInteger(node.status, "configuration_version"));
    if (version < aVersion) {
      names.push_back(node.node);
    }
  }
  return names;
}

Task<Result<BurnLedger>>
ReadBurnLedger(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore)
{
  const std::string path = "/report";
  const auto responses = co_await QueryNodes(aExecutor, aStore, path);
  if (!responses) {
    co_return tl::unexpected(responses.error());
  }
  BurnLedger sum;
  for (const auto& [record, text] : *responses) {
    sum.Merge(ParseBurnLedger(text));
  }
  co_return sum;
}

namespace {

using Names = std::set<std::string, std::less<>>;

Result<Names>
ReadDrainedValue(const KeyValue& aValue)
{
  return ParseDrainedVms(aValue.value);
}

Result<Names>
ReadEvacuatedValue(const KeyValue& aValue)
{
  return aValue.revision == 0 ? Result<Names>(Names{})
                              : ParseEvacuatedZones(aValue.value, aValue.key);
}

/// Adds names to the set in one key (aAdd) or removes them from it, and returns
/// the new set. Fails at once if aRead does, otherwise with the last store
/// error after kMaxUpdateAttempts.
Task<Result<Names>>
UpdateNames(KeyValueStore& aStore,
            std::string aKey,
            std::vector<std::string> aNames,
            bool aAdd,
            Result<Names> (*aRead)(const KeyValue&),
            std::string (*aEncode)(const Names&))
{
  Error lastError;
  for (int i = 0; i < kMaxUpdateAttempts; ++i) {
    const auto current = co_await aStore.Get(aKey);
    if (!current) {
      lastError = current.error();
      continue;
    }
    auto names = aRead(*current);
    if (!names) {
      co_return tl::unexpected(names.error());
    }
    for (const std::string& name : aNames) {
      if (aAdd) {
        names->insert(name);
      } else {
        names->erase(name);
      }
    }
    Swap swap{ .key = aKey,
               .expected = current->revision,
               .value = aEncode(*names),
               .lease = 0 };
    const auto swapped = co_await aStore.CompareAndSwap(std::move(swap));
    if (swapped) {
      co_return *names;
    }
    lastError = swapped.error();
  }
  co_return tl::unexpected(lastError);
}

} // namespace

Task<Result<DrainedVms>>
UpdateDrainedVms(KeyValueStore& aStore,
                 std::vector<std::string> aVms,
                 bool aDrain)
{
  std::string key(keys::kDrainedVmsKey);
  co_return co_await UpdateNames(aStore,
                                 std::move(key),
                                 std::move(aVms),
                                 aDrain,
                                 &ReadDrainedValue,
                                 &EncodeDrainedVms);
}

Task<Result<EvacuatedZones>>
ReadEvacuatedZones(KeyValueStore& aStore)
{
  std::string key(keys::kEvacuatedZonesKey);
  const auto value = co_await aStore.Get(std::move(key));
  if (!value) {
    co_return tl::unexpected(value.error());
  }
  co_return ReadEvacuatedValue(*value);
}

Task<Result<EvacuatedZones>>
UpdateEvacuatedZones(KeyValueStore& aStore,
                     std::vector<std::string> aZones,
                     bool aEvacuate)
{
  std::string key(keys::kEvacuatedZonesKey);
  co_return co_await UpdateNames(aStore,
                                 std::move(key),
                                 std::move(aZones),
                                 aEvacuate,
                                 &ReadEvacuatedValue,
                                 &EncodeEvacuatedZones);
}

Task<Result<JournalIndex>>
ReadJournals(KeyValueStore& aStore)
{
  Revision revision = 0;
  const auto segments =
    co_await aStore.List(std::string(keys::kJournalPrefix), revision);
  if (!segments) {
    co_return tl::unexpected(segments.error());
  }
  JournalIndex index;
  for (const KeyValue& segment : *segments) {
    index.Apply(segment.value);
  }
  co_return index;
}

} // namespace apricottrack
