#include "serving/QuarantineTask.h"

#include "base/JsonFields.h"
#include "base/Log.h"
#include "kv/PlatformKeys.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace apricottrack {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Longest remaining time that is accepted from the store, whose times come
/// from the clocks of other VMs.
constexpr Duration kMaxStoredTime = seconds(3600);
/// An end that differs less from the stored one is not written again.
constexpr Duration kEndTolerance = seconds(10);

std::string
EncodeCombinations(const std::vector<QuarantinedParts>& aCombinations,
                   UnixMillis aWallNow)
{
  json::array items;
  for (const QuarantinedParts& item : aCombinations) {
    items.push_back(
      json::object{ { "parts", json::value_from(item.parts) },
                    { "ends", aWallNow + item.remaining / milliseconds(1) } });
  }
  return json::serialize(json::object{ { "parts", std::move(items) } });
}

/// Returns the names of an item's parts. An older node has stored the name of a
/// single part.
std::vector<std::string>
DecodeNames(const json::object& aItem)
{
  std::vector<std::string> names;
  if (const json::array* const parts = JsonArray(aItem, "parts")) {
    for (const json::value& part : *parts) {
      if (part.is_string()) {
        names.emplace_back(part.get_string());
      }
    }
  }
  std::string single = JsonText(aItem, "part");
  if (!single.empty()) {
    names.push_back(std::move(single));
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<QuarantinedParts>
DecodeCombinations(const json::object& aDocument, UnixMillis aWallNow)
{
  std::vector<QuarantinedParts> combinations;
  const json::array* const items = JsonArray(aDocument, "parts");
  if (items == nullptr) {
    return combinations;
  }
  for (const json::value& item : *items) {
    if (!item.is_object()) {
      continue;
    }
    const std::int64_t remaining =
      std::clamp<std::int64_t>(JsonInteger(item.get_object(), "ends"),
                               aWallNow,
                               aWallNow + kMaxStoredTime / milliseconds(1)) -
      aWallNow;
    std::vector<std::string> names = DecodeNames(item.get_object());
    if (!names.empty() && remaining > 0) {
      combinations.push_back(
        { .parts = std::move(names), .remaining = milliseconds(remaining) });
    }
  }
  return combinations;
}

} // namespace

QuarantineTask::QuarantineTask(ServingContext& aContext,
                               KeyValueStore& aStore,
                               Options aOptions,
                               Hooks aHooks)
  : context(aContext)
  , store(aStore)
  , options(aOptions)
  , hooks(std::move(aHooks))
  , collector(aContext.settings.node)
{
}

void
QuarantineTask::Start()
{
  this->isLoaded = this->context.settings.serving->firstStart;
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

Task<void>
QuarantineTask::Run()
{
  for (;;) {
    if (!this->hooks.isPlanner()) {
      this->isLoadedAsPlanner = false;
    } else if (this->Attribute(MonotonicNow())) {
      this->hooks.onChange();
    }
    co_await this->Synchronize();
    asio::steady_timer timer(this->context.executor, this->options.interval);
    co_await timer.async_wait(kAsTuple);
  }
}

void
QuarantineTask::RecordReports(const FleetQuestion& aQuestion, Instant aNow)
{
  if (this->hooks.isPlanner()) {
    this->collector.RecordReport({ .node = aQuestion.node,
                                   .lostRequests = aQuestion.lostRequests,
                                   .partAnswers = aQuestion.partAnswers,
                                   .quarantinedParts = {} },
                                 aNow);
  }
  if (this->context.quarantine.Add(aQuestion.quarantinedParts, aNow)) {
    this->hooks.onChange();
  }
}

bool
QuarantineTask::Attribute(Instant aNow)
{
  const std::vector<QuarantinedParts> started = this->collector.Attribute(
    this->context.crashRecorder, this->context.quarantine, aNow);
  this->context.counters.Add(
    "prompt_parts_quarantined", {}, static_cast<std::int64_t>(started.size()));
  this->context.crashRecorder.SetSuspects(this->collector.Suspects());
  return !started.empty();
}

Task<void>
QuarantineTask::Synchronize()
{
  const Instant now = MonotonicNow();
  if (now < this->nextStoreCallAt) {
    co_return;
  }
  const bool isPlanner = this->hooks.isPlanner();
  if (this->restoreCount != this->store.RestoreCount()) {
    // The restored copy may lack parts.
    this->isLoadedAsPlanner = false;
  }
  const bool mustLoad = (isPlanner && !this->isLoadedAsPlanner) ||
                        (!this->isLoaded && this->hooks.readsStore());
  if (mustLoad) {
    co_await this->Load();
  } else if (isPlanner && this->HasUnsavedParts(now)) {
    co_await this->Save();
  }
}

Task<void>
QuarantineTask::Load()
{
  const auto item = co_await this->store.Get(std::string(keys::kQuarantineKey));
  const Instant now = MonotonicNow();
  this->nextStoreCallAt = now + this->options.retryDelay;
  if (!item) {
    co_return;
  }
  this->isLoaded = true;
  this->isLoadedAsPlanner = this->hooks.isPlanner();
  std::vector<QuarantinedParts> combinations;
  if (item->revision > 0) {
    const auto document =
      ParseJsonObject(item->value, "read quarantine", keys::kQuarantineKey);
    if (document) {
      combinations = DecodeCombinations(*document, WallNow());
    } else {
      LogLine("quarantine_unreadable").With(document.error()).Warn();
    }
  }
  this->SetStored(item->revision, combinations, now);
  if (this->context.quarantine.Add(combinations, now)) {
    LogLine("quarantine_loaded")
      .With("parts", static_cast<std::int64_t>(combinations.size()))
      .Info();
    this->hooks.onChange();
  }
}

Task<void>
QuarantineTask::Save()
{
  const std::vector<QuarantinedParts> combinations =
    this->context.quarantine.Combinations(MonotonicNow());
  Swap swap{ .key = std::string(keys::kQuarantineKey),
             .expected = this->storedRevision,
             .value = EncodeCombinations(combinations, WallNow()) };
  const auto revision = co_await this->store.CompareAndSwap(std::move(swap));
  const Instant now = MonotonicNow();
  if (!revision) {
    LogLine("quarantine_not_saved").With(revision.error()).Info();
    this->nextStoreCallAt = now + this->options.retryDelay;
    // The write may have taken effect, or another planner has written.
    this->isLoadedAsPlanner = false;
    co_return;
  }
  this->SetStored(*revision, combinations, now);
}

void
QuarantineTask::SetStored(Revision aRevision,
                          const std::vector<QuarantinedParts>& aCombinations,
                          Instant aNow)
{
  this->storedRevision = aRevision;
  this->restoreCount = this->store.RestoreCount();
  this->storedEnds.clear();
  for (const QuarantinedParts& item : aCombinations) {
    this->storedEnds[item.parts] = aNow + item.remaining;
  }
}

bool
QuarantineTask::HasUnsavedParts(Instant aNow) const
{
  const std::vector<QuarantinedParts> combinations =
    this->context.quarantine.Combinations(aNow);
  return std::any_of(combinations.begin(),
                     combinations.end(),
                     [&](const QuarantinedParts& aItem) {
                       const auto stored = this->storedEnds.find(aItem.parts);
                       return stored == this->storedEnds.end() ||
                              aNow + aItem.remaining >
                                stored->second + kEndTolerance;
                     });
}

} // namespace apricottrack
