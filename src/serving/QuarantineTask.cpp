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
EncodeParts(const std::vector<QuarantinedPart>& aParts, UnixMillis aWallNow)
{
  json::array parts;
  for (const QuarantinedPart& part : aParts) {
    parts.push_back(
      json::object{ { "part", part.part },
                    { "ends", aWallNow + part.remaining / milliseconds(1) } });
  }
  return json::serialize(json::object{ { "parts", std::move(parts) } });
}

std::vector<QuarantinedPart>
DecodeParts(const json::object& aDocument, UnixMillis aWallNow)
{
  std::vector<QuarantinedPart> parts;
  const json::array* const items = JsonArray(aDocument, "parts");
  if (items == nullptr) {
    return parts;
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
    const std::string part = JsonText(item.get_object(), "part");
    if (!part.empty() && remaining > 0) {
      parts.push_back({ .part = part, .remaining = milliseconds(remaining) });
    }
  }
  return parts;
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
    this->attribution.RecordLosses(aQuestion.lostRequests, aNow);
    this->attribution.RecordAnswers(aQuestion.node, aQuestion.partAnswers);
  }
  if (this->context.quarantine.Add(aQuestion.quarantinedParts, aNow)) {
    this->hooks.onChange();
  }
}

bool
QuarantineTask::Attribute(Instant aNow)
{
  this->attribution.Adopt(this->context.quarantine.Parts(aNow), aNow);
  this->attribution.RecordLosses(
    this->context.crashRecorder.LostSince(this->ownLossesRecordedUntil, aNow),
    aNow);
  this->ownLossesRecordedUntil = aNow;
  this->attribution.RecordAnswers(
    this->context.settings.node,
    this->context.crashRecorder.SuspectAnswers(aNow));
  const std::vector<QuarantinedPart> parts = this->attribution.Update(aNow);
  for (const QuarantinedPart& part : parts) {
    LogLine("prompt_part_quarantined")
      .With("part", part.part)
      .With("for_s", std::int64_t{ part.remaining / seconds(1) })
      .Warn();
    this->context.counters.Add("prompt_parts_quarantined");
  }
  this->context.crashRecorder.SetSuspects(this->attribution.Suspects());
  return this->context.quarantine.Add(parts, aNow);
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
  std::vector<QuarantinedPart> parts;
  if (item->revision > 0) {
    const auto document =
      ParseJsonObject(item->value, "read quarantine", keys::kQuarantineKey);
    if (document) {
      parts = DecodeParts(*document, WallNow());
    } else {
      LogLine("quarantine_unreadable").With(document.error()).Warn();
    }
  }
  this->SetStored(item->revision, parts, now);
  if (this->context.quarantine.Add(parts, now)) {
    LogLine("quarantine_loaded")
      .With("parts", static_cast<std::int64_t>(parts.size()))
      .Info();
    this->hooks.onChange();
  }
}

Task<void>
QuarantineTask::Save()
{
  const std::vector<QuarantinedPart> parts =
    this->context.quarantine.Parts(MonotonicNow());
  Swap swap{ .key = std::string(keys::kQuarantineKey),
             .expected = this->storedRevision,
             .value = EncodeParts(parts, WallNow()) };
  const auto revision = co_await this->store.CompareAndSwap(std::move(swap));
  const Instant now = MonotonicNow();
  if (!revision) {
    LogLine("quarantine_not_saved").With(revision.error()).Info();
    this->nextStoreCallAt = now + this->options.retryDelay;
    // The write may have taken effect, or another planner has written.
    this->isLoadedAsPlanner = false;
    co_return;
  }
  this->SetStored(*revision, parts, now);
}

void
QuarantineTask::SetStored(Revision aRevision,
                          const std::vector<QuarantinedPart>& aParts,
                          Instant aNow)
{
  this->storedRevision = aRevision;
  this->restoreCount = this->store.RestoreCount();
  this->storedEnds.clear();
  for (const QuarantinedPart& part : aParts) {
    this->storedEnds[part.part] = aNow + part.remaining;
  }
}

bool
QuarantineTask::HasUnsavedParts(Instant aNow) const
{
  const std::vector<QuarantinedPart> parts =
    this->context.quarantine.Parts(aNow);
  return std::any_of(
    parts.begin(), parts.end(), [&](const QuarantinedPart& aPart) {
      const auto stored = this->storedEnds.find(aPart.part);
      return stored == this->storedEnds.end() ||
             aNow + aPart.remaining > stored->second + kEndTolerance;
    });
}

} // namespace apricottrack
