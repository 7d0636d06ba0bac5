#include "serving/CatalogTask.h"

#include "base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// Reads that take longer are logged.
constexpr Duration kSlowRead = milliseconds(300);

} // namespace

CatalogTask::CatalogTask(ServingContext& aContext,
                         KeyValueStore& aStore,
                         Options aOptions,
                         std::function<void()> aOnChange)
  : context(aContext)
  , store(aStore)
  , options(aOptions)
  , readTimer(aContext.executor)
  , confirmation(
      aContext.executor,
      {},
      [this]() -> Task<bool> { co_return co_await this->ReadOnce(); })
  , onChange(std::move(aOnChange))
{
}

void
CatalogTask::Start()
{
  asio::co_spawn(
    this->context.executor,
    [this]() -> Task<void> { co_await this->Run(); },
    asio::detached);
}

void
CatalogTask::SetActive(bool aActive)
{
  if (aActive && !this->active) {
    this->nextPeriodicReadAt = Instant{};
    this->readTimer.cancel();
  }
  this->active = aActive;
}

void
CatalogTask::SetIsPlanner(bool aIsPlanner)
{
  this->isPlanner = aIsPlanner;
}

Task<void>
CatalogTask::Run()
{
  std::uniform_real_distribution<double> factorDistribution(0.85, 1.15);
  for (;;) {
    if (this->NextReadAt() <= MonotonicNow()) {
      // SetActive may ask for another read during this one.
      this->nextPeriodicReadAt = Instant::max();
      const bool succeeded = co_await this->ReadOnce();
      const Instant now = MonotonicNow();
      this->intervalFactor = factorDistribution(this->context.random);
      this->nextPeriodicReadAt = std::min(
        this->nextPeriodicReadAt,
        now + FromSeconds(this->intervalFactor *
                          ToSeconds(this->ReadInterval(succeeded, now))));
    }
    this->readTimer.expires_after(this->NextReadAt() - MonotonicNow());
    co_await this->readTimer.async_wait(kAsTuple);
  }
}

Task<bool>
CatalogTask::Confirm(Instant aUntil)
{
  if (this->failures > 1) {
    co_return false;
  }
  co_return co_await this->confirmation.Join(aUntil);
}

Instant
CatalogTask::NextReadAt() const
{
  if (this->active) {
    return this->nextPeriodicReadAt;
  }
  const Instant verifiedUntil =
    this->context.catalog.VerifiedAt() +
    FromSeconds(std::min(1.0, this->intervalFactor) *
                ToSeconds(this->options.maxVerificationAge));
  return std::max(this->nextPeriodicReadAt, verifiedUntil);
}

Duration
CatalogTask::ReadInterval(bool aSucceeded, Instant aNow) const
{
  if (!aSucceeded) {
    return this->failures <= 1 ? this->options.firstRetryInterval
                               : this->options.retryInterval;
  }
  const bool isSettling = this->restoredAt && aNow - *this->restoredAt <
                                                this->options.restoreSettleTime;
  if (isSettling) {
    return this->options.restoreSettleTime;
  }
  return this->isPlanner ? this->options.plannerReadInterval
                         : this->options.readInterval;
}

Task<bool>
CatalogTask::ReadOnce()
{
  co_return co_await this->ReadIfChanged(this->checkedRevision);
}

Task<bool>
CatalogTask::ReadChanged()
{
  co_return co_await this->ReadIfChanged(0);
}

Task<bool>
CatalogTask::ReadIfChanged(Revision aCheckedRevision)
{
  const Instant readSentAt = MonotonicNow();
  const auto read = co_await this->ReadOperatorKeys(aCheckedRevision);
  this->RecordRead(MonotonicNow() - readSentAt, read.has_value());
  if (!read) {
    if (this->isStoreReachable) {
      LogLine("catalog_unreachable").With(read.error()).Warn();
    }
    this->isStoreReachable = false;
    this->hasReadFailed = true;
    ++this->failures;
    co_return false;
  }
  const KeyChange* const change = &read->catalog;
  if (!this->isStoreReachable) {
    LogLine("catalog_reachable")
      .With("revision", change->checkedRevision)
      .Info();
  }
  this->isStoreReachable = true;
  this->failures = 0;
  const Instant now = MonotonicNow();
  if (std::exchange(this->hasReadFailed, false)) {
    this->recoveredAt = now;
  }
  const std::int64_t restores = this->store.RestoreCount();
  if (this->restoreCount != restores) {
    this->restoredAt = now;
  }
  this->restoreCount = restores;
  if (read->operatorKeys) {
    this->ApplyEvacuations(*read->operatorKeys, readSentAt);
  }
  // A document that is not known must not be skipped by later reads.
  if (this->knownRevision > 0 || change->value) {
    // An evacuation that ends before the restored store has settled is found by
    // a read of all keys only.
    const bool mayCheck = !read->operatorKeys || this->IsSettled(readSentAt);
    this->checkedRevision = mayCheck ? change->checkedRevision : 0;
  }
  if (change->value && change->value->revision == 0) {
    // The store holds no catalog; the one in force stays, but is not verified.
    this->outdatedRevision = change->checkedRevision;
    co_return true;
  }
  if (!change->value || change->value->revision == this->knownRevision) {
    if (this->outdatedRevision == 0) {
      this->context.catalog.ConfirmCurrent(this->ProvenAt(readSentAt));
    }
    co_return true;
  }
  if (change->value->revision < this->knownRevision) {
    // Another node relayed a newer document while this read was in flight.
    co_return true;
  }
  this->Apply(change->value->revision,
              change->value->value,
              this->ProvenAt(readSentAt),
              Source::kStore);
  co_return true;
}

Task<Result<CatalogTask::OperatorChange>>
CatalogTask::ReadOperatorKeys(Revision aCheckedRevision)
{
  const std::string catalogKey = this->context.protocol.CatalogKey();
  if (!this->context.settings.serving->evacuationBound) {
    auto change =
      co_await this->store.GetIfChanged(catalogKey, aCheckedRevision);
    if (!change) {
      co_return tl::unexpected(change.error());
    }
    co_return OperatorChange{ .catalog = std::move(*change),
                              .operatorKeys = std::nullopt };
  }
  auto keys = co_await this->store.ListIfChanged(
    this->context.protocol.OperatorPrefix(), aCheckedRevision);
  if (!keys) {
    co_return tl::unexpected(keys.error());
  }
  OperatorChange change{ .catalog = { .checkedRevision =
                                        keys->checkedRevision },
                         .operatorKeys = std::nullopt };
  if (keys->isComplete) {
    change.catalog.value =
      KeyValue{ .key = catalogKey, .value = {}, .revision = 0 };
  }
  for (const KeyValue& value : keys->values) {
    if (value.key == catalogKey) {
      change.catalog.value = value;
    }
  }
  change.operatorKeys = std::move(*keys);
  co_return change;
}

void
CatalogTask::ApplyEvacuations(const PrefixChange& aChange, Instant aReadSentAt)
{
  ZoneEvacuations& evacuations = this->context.evacuations;
  ZoneEvacuations::Reading reading{ .zones = {},
                                    .revision = aChange.checkedRevision,
                                    .mayEnd = this->IsSettled(aReadSentAt) };
  if (!aChange.isComplete) {
    reading.zones = evacuations.Evacuated();
  }
  for (const KeyValue& value : aChange.values) {
    const std::string zone = this->context.protocol.EvacuatedZoneOf(value.key);
    if (!zone.empty() && value.revision > 0) {
      reading.zones.insert(zone);
    } else if (!zone.empty()) {
      reading.zones.erase(zone);
    }
  }
  if (!evacuations.Apply(reading, MonotonicNow())) {
    return;
  }
  this->context.counters.Set(
    "zones_evacuated", {}, static_cast<double>(evacuations.Evacuated().size()));
  // Without a catalog there are no candidates yet that could change.
  if (this->context.catalog.Current() != nullptr) {
    this->onChange();
  }
}

void
CatalogTask::RecordRead(Duration aDuration, bool aSucceeded)
{
  const std::string_view result = aSucceeded ? "ok" : "failed";
  this->context.counters.Observe(
    "catalog_read_seconds", { { "result", result } }, ToSeconds(aDuration));
  if (aDuration >= kSlowRead) {
    LogLine("catalog_read_slow")
      .With("result", result)
      .With("took_ms", std::int64_t{ aDuration / milliseconds(1) })
      .Info();
  }
}

Instant
CatalogTask::ProvenAt(Instant aReadSentAt) const
{
  return this->IsSettled(aReadSentAt) ? aReadSentAt : Instant{};
}

bool
CatalogTask::IsSettled(Instant aReadSentAt) const
{
  return !this->restoredAt ||
         aReadSentAt - *this->restoredAt >= this->options.restoreSettleTime;
}

void
CatalogTask::ApplyRelayed(Revision aRevision,
                          const std::string& aDocument,
                          Instant aVerifiedAt)
{
  if (aRevision > this->SeenRevision()) {
    this->Apply(aRevision, aDocument, aVerifiedAt, Source::kPlanner);
  }
}

void
CatalogTask::Apply(Revision aRevision,
                   std::string aDocument,
                   Instant aVerifiedAt,
                   Source aSource)
{
  auto catalog = this->context.protocol.ReadCatalog(aDocument);
  const CatalogPointer& inForce = this->context.catalog.Current();
  if (catalog && inForce != nullptr &&
      catalog->version < inForce->Contents().version) {
    LogLine("catalog_outdated")
      .With("version", catalog->version)
      .With("revision", aRevision)
      .With("in_force", inForce->Contents().version)
      .Warn();
    this->context.counters.Add("catalogs_outdated");
    this->outdatedRevision = aRevision;
    return;
  }
  this->outdatedRevision = 0;
  this->knownRevision = aRevision;
  if (!catalog) {
    // The catalog in force stays and is no longer verified; the next read
    // decodes the document again.
    LogLine("catalog_unreadable")
      .With("revision", aRevision)
      .With(catalog.error())
      .Warn();
    this->knownRevision = 0;
    this->checkedRevision = 0;
    return;
  }
  this->document = std::move(aDocument);
  std::optional<Duration> delay;
  if (inForce != nullptr) {
    delay = this->context.catalog.VerificationAge(MonotonicNow());
  }
  if (this->context.catalog.Apply(std::move(*catalog), aVerifiedAt)) {
    this->RecordInForce(aRevision, aSource, delay);
    this->onChange();
  }
}

void
CatalogTask::RecordInForce(Revision aRevision,
                           Source aSource,
                           std::optional<Duration> aDelay)
{
  const Catalog& contents = this->context.catalog.Current()->Contents();
  const std::string_view source =
    aSource == Source::kStore ? "store" : "planner";
  LogLine line("catalog_in_force");
  line.With("version", contents.version)
    .With("revision", aRevision)
    .With("routes", static_cast<std::int64_t>(contents.routes.size()))
    .With("source", source);
  if (aDelay) {
    line.With("delay_ms_at_most", std::int64_t{ *aDelay / milliseconds(1) });
    this->context.counters.Observe(
      "catalog_delay_seconds", { { "source", source } }, ToSeconds(*aDelay));
  }
  line.Info();
}

} // namespace apricottrack
