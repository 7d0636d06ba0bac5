#include "serving/CatalogTask.h"

#include "base/Log.h"
#include "kv/PlatformKeys.h"

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
  , history(StoreHistory::Options{ .isFirstStart =
                                     aContext.settings.serving->firstStart,
                                   .rewriteTime = aOptions.restoreSettleTime,
                                   .witnessTime = aOptions.witnessTime })
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
  if (!this->history.IsSettled(aNow)) {
    return this->history.IsWitness() ? this->options.restoreSettleTime
                                     : this->options.unsettledReadInterval;
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
  if (!this->history.IsSettled(MonotonicNow())) {
    // Before the read, so that this shows all that had been written when the
    // store was recorded to have settled.
    const auto record = co_await this->ReadHistoryRecord();
    if (!record) {
      this->OnReadFailed(record.error());
      co_return false;
    }
  }
  const Instant readSentAt = MonotonicNow();
  const auto read = co_await this->ReadOperatorKeys(aCheckedRevision);
  this->RecordRead(MonotonicNow() - readSentAt, read.has_value());
  if (!read) {
    this->OnReadFailed(read.error());
    co_return false;
  }
  this->OnReadSucceeded(read->catalog.checkedRevision);
  this->ApplyRead(*read, readSentAt);
  co_await this->UpdateHistoryRecord(readSentAt);
  co_return true;
}

void
CatalogTask::OnReadFailed(const Error& aError)
{
  if (this->isStoreReachable) {
    LogLine("catalog_unreachable").With(aError).Warn();
  }
  this->isStoreReachable = false;
  this->hasReadFailed = true;
  ++this->failures;
}

void
CatalogTask::OnReadSucceeded(Revision aRevision)
{
  if (!std::exchange(this->isStoreReachable, true)) {
    LogLine("catalog_reachable").With("revision", aRevision).Info();
  }
  this->failures = 0;
  if (std::exchange(this->hasReadFailed, false)) {
    this->recoveredAt = MonotonicNow();
  }
  this->ObserveHistory();
}

void
CatalogTask::ObserveHistory()
{
  this->history.OnHistory(this->store.History(),
                          this->store.RestoreCount() > 0,
                          this->context.catalog.WasVerified(),
                          MonotonicNow());
}

void
CatalogTask::ApplyRead(const OperatorChange& aChange, Instant aReadSentAt)
{
  const KeyChange& change = aChange.catalog;
  const bool isSettled =
    this->history.IsSettled(aReadSentAt) && this->outdatedRevision == 0;
  if (aChange.operatorKeys) {
    this->ApplyEvacuations(*aChange.operatorKeys, isSettled);
  }
  // A document that is not known must not be skipped by later reads.
  if (this->knownRevision > 0 || change.value) {
    // An evacuation that ends before the restored store has settled is found by
    // a read of all keys only.
    const bool mayCheck = !aChange.operatorKeys || isSettled;
    this->checkedRevision = mayCheck ? change.checkedRevision : 0;
  }
  if (change.value && change.value->revision == 0) {
    // The store holds no catalog; the one in force stays, but is not verified.
    this->outdatedRevision = change.checkedRevision;
    return;
  }
  if (!change.value || change.value->revision == this->knownRevision) {
    const CatalogPointer& inForce = this->context.catalog.Current();
    if (this->outdatedRevision == 0 && inForce != nullptr) {
      const bool wasVerified = this->context.catalog.WasVerified();
      this->context.catalog.ConfirmCurrent(
        this->ProvenAt(aReadSentAt, inForce->Contents().version));
      this->ReportFirstVerification(wasVerified);
    }
    return;
  }
  if (change.value->revision < this->knownRevision) {
    // Another node relayed a newer document while this read was in flight.
    return;
  }
  this->Apply(
    change.value->revision, change.value->value, aReadSentAt, Source::kStore);
}

Task<Result<void>>
CatalogTask::ReadHistoryRecord()
{
  const auto item = co_await this->store.Get(std::string(keys::kHistoryKey));
  if (!item) {
    co_return tl::unexpected(item.error());
  }
  this->ObserveHistory();
  this->recordedHistory = this->store.History();
  this->recordRevision = item->revision;
  this->history.OnRecord(HistoryRecord::Decode(item->value), MonotonicNow());
  co_return Result<void>{};
}

Task<void>
CatalogTask::UpdateHistoryRecord(Instant aReadSentAt)
{
  const CatalogHolder& holder = this->context.catalog;
  const bool isProven =
    holder.WasVerified() && holder.VerifiedAt() >= aReadSentAt;
  const bool isOutdated = this->outdatedRevision != 0;
  const bool mustTell =
    this->isPlanner || isOutdated || !this->history.IsSettled(aReadSentAt);
  if (!mustTell || !this->store.History()) {
    co_return;
  }
  if (this->recordedHistory != this->store.History() &&
      !co_await this->ReadHistoryRecord()) {
    co_return;
  }
  const auto record = this->history.RecordToWrite(
    { .catalogVersion =
        holder.WasVerified() ? holder.Current()->Contents().version : 0,
      .isProven = isProven,
      .isOutdated = isOutdated });
  if (!record) {
    co_return;
  }
  Swap swap{ .key = std::string(keys::kHistoryKey),
             .expected = this->recordRevision,
             .value = record->Encode() };
  const auto written = co_await this->store.CompareAndSwap(std::move(swap));
  if (!written) {
    // The next read finds what another node has written.
    this->recordedHistory.reset();
    co_return;
  }
  LogLine("store_history_recorded")
    .With("history", record->history)
    .With("version", record->catalogVersion)
    .With("settled", std::int64_t{ record->isSettled })
    .Info();
  this->recordRevision = *written;
  this->history.OnRecord(record, MonotonicNow());
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
CatalogTask::ApplyEvacuations(const PrefixChange& aChange, bool aIsSettled)
{
  ZoneEvacuations& evacuations = this->context.evacuations;
  ZoneEvacuations::Reading reading{ .zones = {},
                                    .revision = aChange.checkedRevision,
                                    .mayEnd = aIsSettled };
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
CatalogTask::ProvenAt(Instant aReadSentAt, std::int64_t aVersion) const
{
  return this->history.IsSettled(aReadSentAt) &&
             aVersion >= this->history.MinCatalogVersion()
           ? aReadSentAt
           : CatalogHolder::kUnproven;
}

void
CatalogTask::ConfirmRelayed(Instant aVerifiedAt)
{
  const bool wasVerified = this->context.catalog.WasVerified();
  this->context.catalog.ConfirmCurrent(aVerifiedAt);
  if (this->context.catalog.WasVerified()) {
    this->history.OnCatalogVerified();
  }
  this->ReportFirstVerification(wasVerified);
}

void
CatalogTask::ReportFirstVerification(bool aWasVerified)
{
  if (!aWasVerified && this->context.catalog.WasVerified()) {
    this->onChange();
  }
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
                   Instant aReadSentAt,
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
  const Instant verifiedAt = aSource == Source::kStore
                               ? this->ProvenAt(aReadSentAt, catalog->version)
                               : aReadSentAt;
  const bool wasVerified = this->context.catalog.WasVerified();
  if (this->context.catalog.Apply(std::move(*catalog), verifiedAt)) {
    this->RecordInForce(aRevision, aSource, delay);
    this->onChange();
  } else {
    this->ReportFirstVerification(wasVerified);
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
