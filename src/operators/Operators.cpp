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

/// Compare-and-swap tries against other operators and store errors.
constexpr int kDrainAttempts = 10;
constexpr Duration kStatusTimeout = milliseconds(1500);

StoredConfiguration
ReadStored(const KeyValue& aValue)
{
  if (aValue.revision == 0) {
    return {};
  }
  return ParseStoredConfiguration(aValue.value, aValue.key)
    .value_or(StoredConfiguration{});
}

Error
ConflictWith(const StoredConfiguration& aPresent, std::uint64_t aBase)
{
  return Error{ .code = ErrorCode::kConflict,
                .step = "configuration.apply",
                .peer = "platform",
                .detail = fmt::format(
                  "version {} (submission {}) is in force, but the change "
                  "was based on version {}; review it with 'apricottrack "
                  "diff' and apply it again with --base {}",
                  aPresent.version,
                  aPresent.submission,
                  aBase,
                  aPresent.version) };
}

} // namespace

Task<Result<StoredConfiguration>>
ReadConfiguration(KeyValueStore& aStore)
{
  const auto value = co_await aStore.Get(std::string(keys::kConfiguration));
  if (!value) {
    co_return tl::unexpected(value.error());
  }
  co_return ReadStored(*value);
}

Task<Result<StoredConfiguration>>
ApplyConfiguration(KeyValueStore& aStore,
                   std::string aText,
                   ApplyOptions aOptions)
{
  Error last;
  std::uint64_t base = aOptions.base;
  for (int i = 0; i < aOptions.attempts; ++i) {
    const auto present = co_await aStore.Get(std::string(keys::kConfiguration));
    if (!present) {
      last = present.error();
      continue;
    }
    const StoredConfiguration before = ReadStored(*present);
    if (before.submission == aOptions.submission) {
      co_return before;
    }
    if (base == 0) {
      base = before.version;
    }
    if (before.version != base) {
      co_return tl::unexpected(ConflictWith(before, base));
    }
    const StoredConfiguration after{ .version = before.version + 1,
                                     .submission = aOptions.submission,
                                     .submittedAt = aOptions.now,
                                     .text = aText };
    Swap swap{ .key = std::string(keys::kConfiguration),
               .expected = present->revision,
               .value = EncodeStoredConfiguration(after),
               .lease = 0 };
    const auto swapped = co_await aStore.CompareAndSwap(std::move(swap));
    if (swapped) {
      co_return after;
    }
    last = swapped.error();
  }
  last.detail +=
    "; it is unknown whether the submission was accepted: apply it "
    "again with --submission " +
    aOptions.submission;
  co_return tl::unexpected(last);
}

namespace {

using NodeAnswers = std::vector<std::pair<NodeRecord, std::string>>;

/// Queries a path of every registered node's admin endpoint. The text is empty
/// for a node that does not respond within kStatusTimeout.
Task<Result<NodeAnswers>>
AskNodes(boost::asio::any_io_executor aExecutor,
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
  NodeAnswers answers;
  for (const KeyValue& record : *records) {
    const auto node = ParseNodeRecord(record.value);
    if (!node) {
      continue;
    }
    HttpRequest request(boost::beast::http::verb::get, aPath, 11);
    const auto answer =
      co_await Fetch(pool, node->admin, std::move(request), kStatusTimeout);
    answers.emplace_back(*node, answer ? answer->body() : std::string{});
  }
  co_return answers;
}

} // namespace

Task<Result<std::vector<NodeStatus>>>
ReadNodes(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore)
{
  const std::string path = "/status";
  const auto answers = co_await AskNodes(aExecutor, aStore, path);
  if (!answers) {
    co_return tl::unexpected(answers.error());
  }
  std::vector<NodeStatus> nodes;
  for (const auto& [record, text] : *answers) {
    NodeStatus node;
    node.node = record.node;
    node.admin = record.admin;
    node.status = ParseJsonObject(text, "node.status", record.admin)
                    .value_or(json::object());
    nodes.push_back(std::move(node));
  }
  co_return nodes;
}

Task<Result<BurnLedger>>
ReadBurn(boost::asio::any_io_executor aExecutor, KeyValueStore& aStore)
{
  const std::string path = "/report";
  const auto answers = co_await AskNodes(aExecutor, aStore, path);
  if (!answers) {
    co_return tl::unexpected(answers.error());
  }
  BurnLedger sum;
  for (const auto& [record, text] : *answers) {
    sum.Merge(ParseBurnLedger(text));
  }
  co_return sum;
}

Task<Result<DrainedVms>>
ChangeDrained(KeyValueStore& aStore, std::vector<std::string> aVms, bool aDrain)
{
  Error last;
  for (int i = 0; i < kDrainAttempts; ++i) {
    const auto present = co_await aStore.Get(std::string(keys::kDrained));
    if (!present) {
      last = present.error();
      continue;
    }
    DrainedVms vms = ParseDrainedVms(present->value);
    for (const std::string& vm : aVms) {
      if (aDrain) {
        vms.insert(vm);
      } else {
        vms.erase(vm);
      }
    }
    Swap swap{ .key = std::string(keys::kDrained),
               .expected = present->revision,
               .value = EncodeDrainedVms(vms),
               .lease = 0 };
    const auto swapped = co_await aStore.CompareAndSwap(std::move(swap));
    if (swapped) {
      co_return vms;
    }
    last = swapped.error();
  }
  co_return tl::unexpected(last);
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
