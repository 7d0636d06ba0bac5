#ifndef APRICOTTRACK_JOURNAL_JOURNALWRITER_H
#define APRICOTTRACK_JOURNAL_JOURNALWRITER_H

#include "apricottrack/KeyValueStore.h"
#include "apricottrack/Time.h"
#include "journal/JournalIndex.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// What an intent's owner may do.
enum class IntentVerdict
{
  /// The intent is in the journal under its own nonce: run it.
  kRun,
  /// Another attempt was made; JournalResolution::entry tells of it.
  kDuplicate,
  /// The key was used for a different request.
  kKeyReused,
  /// Not resolved in time. This attempt must never reach a target.
  kUnavailable,
};

struct JournalResolution
{
  std::string nonce;
  IntentVerdict verdict = IntentVerdict::kUnavailable;
  /// The other attempt, for kDuplicate.
  std::optional<JournalEntry> entry;
};

/// The next call to make at the platform's service.
struct JournalCall
{
  enum class Kind
  {
    /// Read all segments of the journal.
    kLoad,
    /// Read the last segment again.
    kRead,
    kSwap,
  };
  Kind kind = Kind::kLoad;
  /// Key, or key prefix for kLoad.
  std::string key;
  Swap swap;
};

/// Appends intents and ends to one journal by compare-and-swap, many a write.
/// Holds no socket: the caller makes each JournalCall, one at a time, and
/// feeds back its result. An intent whose fate stays open at its deadline is
/// given up, and recorded as not run should it turn up in the journal later.
class JournalWriter
{
public:
  struct Options
  {
    /// Key prefix of this journal's segments, ending in a slash.
    std::string prefix;
    std::size_t segmentBytes = std::size_t{ 64 } * 1024;
    Duration flushInterval = milliseconds(20);
    /// A last segment seen longer ago is read again before a write: other
    /// nodes have probably written, and reads are cheaper than conflicts.
    Duration freshFor = milliseconds(30);
    /// Pause after a failed call; doubled up to the most.
    Duration retryLeast = milliseconds(50);
    Duration retryMost = seconds(2);
  };

  explicit JournalWriter(Options aOptions);

  /// Queues an intent, to be resolved by the deadline.
  void AddIntent(JournalIntent aIntent, Instant aDeadline);

  /// Queues an end; written as soon as the service allows.
  void AddEnd(JournalEnd aEnd);

  /// The call to make now, if any. Until its result is fed back there is
  /// no other.
  std::optional<JournalCall> NextCall(Instant aNow);

  /// When NextCall may have something, if nothing else happens before.
  std::optional<Instant> WakeAt() const;

  void OnLoaded(Result<std::vector<KeyValue>> aSegments, Instant aNow);
  void OnRead(Result<KeyValue> aSegment, Instant aNow);
  void OnSwapped(Result<Revision> aRevision, Instant aNow);

  /// Gives up intents whose deadline has passed.
  void Expire(Instant aNow);

  /// Verdicts since the last call.
  std::vector<JournalResolution> TakeResolutions();

  /// Nonces whose end is now in the journal, since the last call.
  std::vector<std::string> TakeWrittenEnds();

  const JournalIndex& Index() const { return this->index; }
  std::size_t PendingEnds() const { return this->ends.size(); }
  std::int64_t Conflicts() const { return this->conflicts; }

private:
  struct PendingIntent
  {
    JournalIntent intent;
    Instant deadline;
    /// A swap that holds this intent was sent.
    bool sent = false;
  };

  std::string SegmentKey() const;
  JournalCall MakeRead();
  JournalCall MakeSwap();
  void Ingest(std::string_view aText, Revision aRevision);
  void Settle();
  void SettleAbandoned();
  void SettleEnds();
  void Fail(Instant aNow);
  void Resolve(const PendingIntent& aPending);
  void NextSegment();

  Options options;
  JournalIndex index;
  std::deque<PendingIntent> intents;
  std::deque<JournalEnd> ends;
  /// An intent given up after it was sent. It is forgotten once the last
  /// segment has moved beyond the state that the swap expected.
  struct Abandoned
  {
    std::string key;
    int segment = 0;
    Revision revision = 0;
  };

  /// By nonce.
  std::map<std::string, Abandoned> abandoned;
  std::vector<JournalResolution> resolutions;
  std::vector<std::string> writtenEnds;

  int segment = 1;
  /// Text of the last segment as of its revision.
  std::string text;
  Revision revision = 0;
  std::string swapText;
  bool loaded = false;
  bool stale = false;
  bool calling = false;
  Instant nextAt;
  /// When the last segment's text was last known to be current.
  Instant syncedAt;
  /// Nothing was written since the last read.
  bool justRead = false;
  Duration retryDelay;
  std::int64_t conflicts = 0;
};

} // namespace apricottrack

#endif
