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

/// Result of recording an intent: whether its owner may run the request.
enum class IntentVerdict
{
  /// The intent is in the journal under its own nonce: the request may run.
  kRun,
  /// Another attempt is recorded; see JournalResolution::entry.
  kDuplicate,
  /// The key was already used for a different request.
  kKeyReused,
  /// Not resolved by the deadline. This attempt must never be sent to a target.
  kUnavailable,
};

/// The verdict on one intent.
struct JournalResolution
{
  /// Nonce of the intent.
  std::string nonce;
  IntentVerdict verdict = IntentVerdict::kUnavailable;
  /// The other attempt, for kDuplicate.
  std::optional<JournalEntry> entry;
};

/// A call to make to the platform's key-value service.
struct JournalCall
{
  enum class Kind
  {
    /// Read all segments of the journal.
    kLoad,
    /// Read the last segment again.
    kRead,
    /// Replace the last segment by compare-and-swap.
    kSwap,
  };
  Kind kind = Kind::kLoad;
  /// Key, or key prefix for kLoad.
  std::string key;
  /// The replacement to write; used for kSwap only.
  Swap swap;
};

/// Appends intents and ends to one journal by compare-and-swap, many per write.
/// Does no I/O: the caller makes each JournalCall, one at a time, and passes
/// its result back. An intent that is unresolved at its deadline is abandoned.
/// If its write took effect nevertheless, the writer records it as not run, so
/// that the key can be attempted again.
class JournalWriter
{
public:
  struct Options
  {
    /// Key prefix of this journal's segments, ending in a slash.
    std::string prefix;
    /// A segment is sealed once it has at least this many bytes.
    std::size_t segmentBytes = std::size_t{ 64 } * 1024;
    /// Minimum time between two writes.
    Duration flushInterval = milliseconds(20);
    /// Maximum age of the local copy of the last segment before a write. An
    /// older copy is read again first: other nodes have probably written since,
    /// and a read is cheaper than a conflict.
    Duration maxCopyAge = milliseconds(30);
    /// Initial backoff after a failed call; doubled after each further failure.
    Duration minBackoff = milliseconds(50);
    /// Maximum backoff.
    Duration maxBackoff = seconds(2);
  };

  explicit JournalWriter(Options aOptions);

  /// Queues an intent. Its resolution is available by the deadline if Expire is
  /// called then.
  void AddIntent(JournalIntent aIntent, Instant aDeadline);

  /// Queues an end. It has no deadline: it is retried until it is in the
  /// journal, and dropped if the journal holds no intent with its nonce.
  void AddEnd(JournalEnd aEnd);

  /// Returns the call to make now, if any. Returns no other call until the
  /// result of this one was passed to OnLoaded, OnRead or OnSwapped.
  std::optional<JournalCall> NextCall(Instant aNow);

  /// Returns the earliest time at which NextCall may return a call if no other
  /// method is called until then; empty if there is nothing to do or a call is
  /// running.
  std::optional<Instant> NextCallAt() const;

  /// Accept the result of a kLoad, kRead or kSwap call.
  void OnLoaded(Result<std::vector<KeyValue>> aSegments, Instant aNow);
  void OnRead(Result<KeyValue> aSegment, Instant aNow);
  void OnSwapped(Result<Revision> aRevision, Instant aNow);

  /// Abandons intents whose deadline has passed; their verdict is kUnavailable.
  void Expire(Instant aNow);

  /// Returns the resolutions since the last call.
  std::vector<JournalResolution> TakeResolutions();

  /// Returns the nonces whose end was written to the journal since the last
  /// call.
  std::vector<std::string> TakeWrittenEnds();

  const JournalIndex& Index() const { return this->index; }
  std::size_t PendingEnds() const { return this->ends.size(); }
  /// Number of swaps that failed because another writer had changed the
  /// segment.
  std::int64_t Conflicts() const { return this->conflicts; }

private:
  struct PendingIntent
  {
    JournalIntent intent;
    Instant deadline;
    /// A swap that contains this intent was sent.
    bool sent = false;
  };

  std::string SegmentKey() const;
  JournalCall MakeRead();
  JournalCall MakeSwap();
  /// Replaces the local copy of the last segment by the given text and revision
  /// and applies the lines that the copy lacked. Moves on to the next segment
  /// if this one is sealed.
  void ApplySegment(std::string_view aText, Revision aRevision);
  /// Resolves the queued intents whose key allows no new attempt: their own, or
  /// another one, is in the journal.
  void ResolveIntents();
  /// Records abandoned intents that were found in the journal as not run, and
  /// removes those that can no longer be written.
  void CloseAbandonedIntents();
  /// Removes queued ends that are in the journal or whose intent is not.
  void RemoveWrittenEnds();
  /// Applies the backoff after a failed call.
  void StartBackoff(Instant aNow);
  /// Adds the resolution of an intent whose key is in the journal.
  void AddResolution(const PendingIntent& aPending);
  void StartNextSegment();

  Options options;
  JournalIndex index;
  std::deque<PendingIntent> intents;
  std::deque<JournalEnd> ends;
  /// An intent whose deadline passed after it was sent to the store, with the
  /// last segment and its revision at that time. This record is removed when
  /// the intent is found in the journal, where it then gets the outcome "not
  /// run", or when the segment or revision has advanced: the write of the
  /// intent expects an older revision and can no longer succeed.
  struct AbandonedIntent
  {
    std::string key;
    int segment = 0;
    Revision revision = 0;
  };

  /// By nonce.
  std::map<std::string, AbandonedIntent> abandoned;
  std::vector<JournalResolution> resolutions;
  std::vector<std::string> writtenEnds;

  /// Number of the last segment.
  int segment = 1;
  /// Text of the last segment as of its revision.
  std::string text;
  Revision revision = 0;
  /// Text that the running swap writes.
  std::string swapText;
  /// All segments have been read once.
  bool loaded = false;
  /// The last segment must be read before the next write.
  bool stale = false;
  /// A call was returned by NextCall and its result has not arrived.
  bool callRunning = false;
  /// Earliest time of the next call.
  Instant nextCallAt;
  /// When the result of the last successful call arrived.
  Instant syncedAt;
  /// No swap was sent since the last read.
  bool readSinceSwap = false;
  /// Backoff after the next failed call.
  Duration backoff;
  std::int64_t conflicts = 0;
};

} // namespace apricottrack

#endif
