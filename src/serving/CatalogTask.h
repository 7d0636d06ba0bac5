#ifndef APRICOTTRACK_SERVING_CATALOGTASK_H
#define APRICOTTRACK_SERVING_CATALOGTASK_H

#include "http/SharedCall.h"
#include "kv/StoreHistory.h"
#include "serving/ServingContext.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace apricottrack {

/// Keeps the catalog in force up to date and its last verification time recent,
/// and with it the evacuated zones, which the same reads show.
/// Asks the store periodically, at times randomly spread by 15 percent, because
/// a watch without events does not prove that the catalog is still the newest
/// one. Only a changed document is transferred: while there is no planner all
/// nodes ask, and a large document for each of them would saturate the store's
/// link.
class CatalogTask
{
public:
  struct Options
  {
    /// Between two reads of an active task; well below the bound within which a
    /// change has to be in force.
    Duration readInterval = milliseconds(800);
    /// The same at the planner's node, as the other nodes rely on its reads.
    Duration plannerReadInterval = milliseconds(450);
    /// Age of the last verification at which an inactive task reads the store
    /// itself. Bounds the delay of a change whatever the planner's node does.
    Duration maxVerificationAge = milliseconds(1200);
    /// After the first failed read; the connection may have been the cause.
    Duration firstRetryInterval = milliseconds(100);
    /// After further failed reads. Not shorter, because store calls are charged
    /// for and a verification stays valid for several retries.
    Duration retryInterval = milliseconds(800);
    /// After a restore of the store, time for the operator to write again what
    /// was lost. Until then a read does not prove that the catalog is still the
    /// newest one: a revocation of a key may be missing.
    Duration restoreSettleTime = milliseconds(500);
    /// The same for a process that did not run before the restore, unless nodes
    /// that did have recorded that the store has settled.
    Duration witnessTime = milliseconds(2000);
    /// Between two reads of such a process until then.
    Duration unsettledReadInterval = milliseconds(300);
  };

  /// `aOnChange` is called after a newer catalog has come into force.
  CatalogTask(ServingContext& aContext,
              KeyValueStore& aStore,
              Options aOptions,
              std::function<void()> aOnChange);

  void Start();

  /// Starts or stops the periodic reads. While another node verifies the
  /// catalog, an inactive task makes no store calls except by ReadOnce and
  /// Confirm.
  void SetActive(bool aActive);

  /// Sets whether other nodes rely on the reads of this one.
  void SetIsPlanner(bool aIsPlanner);

  /// Reads the catalog once, whether active or not, if it has changed. Returns
  /// false if the store call failed.
  Task<bool> ReadOnce();

  /// The same where a change is known, so that no check for one is made.
  Task<bool> ReadChanged();

  /// Waits for a read of the catalog, which all that wait at the same time
  /// share. Returns false if it fails or does not end by `aUntil`, and at once
  /// while the store is unreachable.
  Task<bool> Confirm(Instant aUntil);

  /// Applies a newer document that another node read from the store;
  /// `aVerifiedAt` is when it was last verified to be the newest. Serves nodes
  /// that cannot reach the store, and saves one store read per node and change.
  void ApplyRelayed(Revision aRevision,
                    const std::string& aDocument,
                    Instant aVerifiedAt);

  /// Records that another node has verified the catalog in force.
  void ConfirmRelayed(Instant aVerifiedAt);

  /// True if this node can tell whether the store shows the present state or an
  /// older one that it was restored from.
  bool TrustsStore(Instant aNow) const
  {
    return this->history.IsWitness() || this->history.IsSettled(aNow);
  }

  /// True if the store did not respond to the last read.
  bool HasReadFailed() const { return this->hasReadFailed; }

  /// When the store last responded again after a failed read.
  Instant RecoveredAt() const { return this->recoveredAt; }

  /// Text of the last catalog that could be decoded, to send to other nodes.
  const std::string& DocumentText() const { return this->document; }

  /// Revision of the document in force; zero before the first, and after one
  /// that could not be decoded.
  Revision KnownRevision() const { return this->knownRevision; }

  /// Revision of the newest document that was read, in force or not.
  Revision SeenRevision() const
  {
    return std::max(this->knownRevision, this->outdatedRevision);
  }

private:
  Task<void> Run();
  /// Reads the catalog unless it is known not to have changed since
  /// `aCheckedRevision`.
  Task<bool> ReadIfChanged(Revision aCheckedRevision);
  /// Records that a read of the store has failed.
  void OnReadFailed(const Error& aError);
  /// Records that a read of the store has succeeded, and shows its state up to
  /// this revision.
  void OnReadSucceeded(Revision aRevision);
  /// What a read of the store has shown.
  struct OperatorChange
  {
    KeyChange catalog;
    /// None where zones are not evacuated.
    std::optional<PrefixChange> operatorKeys;
  };
  /// Reads what the operator has written since `aCheckedRevision`.
  Task<Result<OperatorChange>> ReadOperatorKeys(Revision aCheckedRevision);
  /// Applies what a read that was sent at `aReadSentAt` has shown.
  void ApplyRead(const OperatorChange& aChange, Instant aReadSentAt);
  /// Applies the evacuations of a read. `aIsSettled`: it shows all that the
  /// operator wrote before a restore of the store.
  void ApplyEvacuations(const PrefixChange& aChange, bool aIsSettled);
  /// Reads the record of the store's history.
  Task<Result<void>> ReadHistoryRecord();
  /// Writes the record if this node knows more than it says. `aReadSentAt`: of
  /// the last read of the catalog.
  Task<void> UpdateHistoryRecord(Instant aReadSentAt);
  /// Tells `history` which one the store reports.
  void ObserveHistory();
  /// How a document reached this node.
  enum class Source
  {
    kStore,
    kPlanner,
  };

  /// `aReadSentAt`: when the store was asked for the document or, if another
  /// node did, when that verified it to be the newest.
  void Apply(Revision aRevision,
             std::string aDocument,
             Instant aReadSentAt,
             Source aSource);
  /// Reports a change if the catalog was not verified before.
  void ReportFirstVerification(bool aWasVerified);
  /// Logs that a newer catalog has come into force. `aDelay`: time since the
  /// previous one was last verified to be the newest, so the longest for which
  /// the store can have held the newer one; none at the first catalog.
  void RecordInForce(Revision aRevision,
                     Source aSource,
                     std::optional<Duration> aDelay);
  /// Counts a read of the store, and logs it if it was slow.
  void RecordRead(Duration aDuration, bool aSucceeded);
  /// Returns the mean time from a read to the next one.
  Duration ReadInterval(bool aSucceeded, Instant aNow) const;
  /// Returns when the store is to be read next.
  Instant NextReadAt() const;
  /// Returns up to when a read, sent at `aReadSentAt`, proves that the catalog
  /// of this version, which it returned, is the newest.
  Instant ProvenAt(Instant aReadSentAt, std::int64_t aVersion) const;

  ServingContext& context;
  KeyValueStore& store;
  Options options;
  /// Runs until the next read; cancelled when the task becomes active, so that
  /// it reads without delay.
  boost::asio::steady_timer readTimer;
  SharedCall confirmation;
  std::function<void()> onChange;
  /// Revision of the last decoded document; zero after a document that could
  /// not be decoded.
  Revision knownRevision = 0;
  /// Revision of the store up to which the document is known to be the newest;
  /// zero to read it again in any case.
  Revision checkedRevision = 0;
  /// Revision of a document that is older than the one in force, which the
  /// store holds since it was restored; zero if it holds none.
  Revision outdatedRevision = 0;
  StoreHistory history;
  /// History whose record was read, and the record's revision then.
  std::optional<std::int64_t> recordedHistory;
  Revision recordRevision = 0;
  std::string document;
  bool active = false;
  bool isPlanner = false;
  /// No periodic read is made before.
  Instant nextPeriodicReadAt;
  /// Random part of the interval to the next read, from 0.85 to 1.15.
  double intervalFactor = 1;
  /// Failed reads since the last one that succeeded.
  int failures = 0;
  /// The last read of the store succeeded.
  bool isStoreReachable = false;
  bool hasReadFailed = false;
  Instant recoveredAt;
};

} // namespace apricottrack

#endif
