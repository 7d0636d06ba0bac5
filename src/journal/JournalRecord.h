#ifndef APRICOTTRACK_JOURNAL_JOURNALRECORD_H
#define APRICOTTRACK_JOURNAL_JOURNALRECORD_H

#include "apricottrack/Outcome.h"
#include "apricottrack/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// Written before a non-idempotent request may reach a target.
struct JournalIntent
{
  /// Hash of client account, service and idempotency key.
  std::string key;
  /// Identifies this attempt; only its writer may run the request.
  std::string nonce;
  /// Hash of the request itself, to tell a reused key from a repeat.
  std::string fingerprint;
  std::string requestId;
  std::string account;
  std::string service;
  std::string kind;
  std::string node;
  UnixMillis at = 0;

  friend bool operator==(const JournalIntent&, const JournalIntent&) = default;
};

/// Written once the attempt has ended.
struct JournalEnd
{
  std::string key;
  std::string nonce;
  Outcome outcome = Outcome::kUnknown;
  /// HTTP status of the answer; zero without one.
  int status = 0;
  /// The answer's content type and body, kept if small.
  std::string contentType;
  std::string body;
  bool bodyKept = false;
  std::string target;
  UnixMillis at = 0;

  friend bool operator==(const JournalEnd&, const JournalEnd&) = default;
};

/// What the journal says about one key.
struct JournalEntry
{
  JournalIntent intent;
  /// Absent while the attempt runs, or if its node died.
  std::optional<JournalEnd> end;

  friend bool operator==(const JournalEntry&, const JournalEntry&) = default;
};

/// One line of JSON with its newline.
std::string
EncodeLine(const JournalIntent& aIntent);
std::string
EncodeLine(const JournalEnd& aEnd);

/// The line that closes a segment.
std::string_view
SealLine();

} // namespace apricottrack

#endif
