#ifndef APRICOTTRACK_RETRY_RETRYPOLICY_H
#define APRICOTTRACK_RETRY_RETRYPOLICY_H

#include "apricottrack/Outcome.h"
#include "apricottrack/Time.h"

#include <string_view>

namespace apricottrack {

class RetryBudget;

/// How one attempt at one target ended.
enum class AttemptEnd
{
  kAnswered,
  /// The connection was never made; not a byte was sent.
  kNotSent,
  /// The target's contract says that this refusal means "not run".
  kRefusedNotRun,
  /// Sent, then the connection failed or stayed silent.
  kNoAnswer,
  /// The answer broke off or was malformed.
  kTruncated,
  /// The answer belongs to another request.
  kForeignAnswer,
  kCallerGone,
};

std::string_view
AttemptEndName(AttemptEnd aEnd);

/// True if the target provably did not run the request.
bool
ProvesNotRun(AttemptEnd aEnd);

struct RetryQuestion
{
  AttemptEnd end = AttemptEnd::kAnswered;
  bool idempotent = true;
  /// Attempts made so far, this one included.
  int attempts = 1;
  int maxAttempts = 3;
  /// True if an earlier attempt may have run the request.
  bool mayHaveRun = false;
  /// Bytes of a streamed answer already reached the caller.
  bool streamStarted = false;
  /// The engine continues a stream from a given event.
  bool canResume = false;
  Instant deadline;
};

enum class RetryAction
{
  kDone,
  /// Send the request to another target.
  kRetry,
  /// Continue the stream after its last whole event.
  kResume,
  /// Tell the caller; RetryDecision::outcome says what.
  kGiveUp,
};

struct RetryDecision
{
  RetryAction action = RetryAction::kDone;
  Outcome outcome = Outcome::kAnswered;

  friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

/// Decides what follows an attempt.
class RetryPolicy
{
public:
  virtual ~RetryPolicy() = default;
  virtual RetryDecision Decide(const RetryQuestion& aQuestion,
                               RetryBudget& aBudget,
                               Instant aNow) const = 0;
};

/// Retries only where the request cannot run twice against its mark.
class SafeRetryPolicy final : public RetryPolicy
{
public:
  RetryDecision Decide(const RetryQuestion& aQuestion,
                       RetryBudget& aBudget,
                       Instant aNow) const override;
};

/// Retries on any error. For proofs only: it must be caught by checkers.
class RetryOnErrorPolicy final : public RetryPolicy
{
public:
  RetryDecision Decide(const RetryQuestion& aQuestion,
                       RetryBudget& aBudget,
                       Instant aNow) const override;
};

} // namespace apricottrack

#endif
