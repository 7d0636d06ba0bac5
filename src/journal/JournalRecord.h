#ifndef APRICOTTRACK_JOURNAL_JOURNALRECORD_H
#define APRICOTTRACK_JOURNAL_JOURNALRECORD_H

#include "apricottrack/Outcome.h"
#include "apricottrack/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// Record of an attempt to run a non-idempotent request. It must be written
/// before the request may be sent to a target.
struct JournalIntent
{
  /// Hash of client account, service and idempotency key.
  std::string key;
  /// Identifies this attempt; only its owner may run the request.
  std::string nonce;
  /// Hash of the request itself, which distinguishes a repeated request from a
  /// reused key.
  std::string fingerprint;
  std::string requestId;
  std::string account;
  std::string service;
  /// Name of the request kind.
  std::string kind;
  /// Node that made the attempt.
  std::string node;
  /// When the attempt was queued for recording.
  UnixMillis at = 0;

  friend bool operator==(const JournalIntent&, const JournalIntent&) = default;
};

/// Record of how an attempt ended.
struct JournalEnd
{
  std::string key;
  std::string nonce;
  Outcome outcome = Outcome::kUnknown;
  /// HTTP status of the response; zero without one.
  int status = 0;
  /// Content type and body of the response; empty unless bodyIsStored is set.
  std::string contentType;
  std::string body;
  /// The body is stored: it was not streamed, is small and fits into JSON.
  bool bodyIsStored = false;
  std::string target;
  /// When the attempt ended.
  UnixMillis at = 0;

  friend bool operator==(const JournalEnd&, const JournalEnd&) = default;
};

/// Returns the outcome that the record proves. Earlier versions recorded as
/// answered what a target had only refused with a status that states not run.
Outcome
ProvenOutcome(const JournalEnd& aEnd);

/// The last attempt recorded in the journal for one key.
struct JournalEntry
{
  JournalIntent intent;
  /// Absent while the attempt runs, or if its node failed before the end was
  /// written.
  std::optional<JournalEnd> end;

  friend bool operator==(const JournalEntry&, const JournalEntry&) = default;
};

/// Returns the record as one line of JSON with its newline.
std::string
EncodeLine(const JournalIntent& aIntent);
std::string
EncodeLine(const JournalEnd& aEnd);

/// Returns the line that seals a segment.
std::string_view
SealLine();

} // namespace apricottrack

#endif
