#ifndef APRICOTTRACK_RETRY_RETRYPOLICY_H
#define APRICOTTRACK_RETRY_RETRYPOLICY_H

#include "apricottrack/Outcome.h"
#include "apricottrack/Time.h"

#include <string_view>

namespace apricottrack {

class RetryBudget;

/// The result of one attempt at one target.
enum class AttemptEnd
{
  /// A complete response arrived.
  kAnswered,
  /// No connection was established; no bytes were sent.
  kNotSent,
  /// The target refused, and by its protocol the request was not run.
  kRefusedNotRun,
  /// The status of the response states that the request was not run, but the
  /// target does not guarantee it.
  kUnconfirmedRefusal,
  /// The request was sent; then the connection failed or no response arrived
  /// in time.
  kNoAnswer,
  /// The response was incomplete or malformed.
  kTruncated,
  /// The response carries the id of another request.
  kForeignAnswer,
  /// The caller closed its connection.
  kCallerGone,
};

/// Name used in logs, metrics and responses.
std::string_view
AttemptEndName(AttemptEnd aEnd);

/// True if the result proves that the target did not run the request.
bool
ProvesNotRun(AttemptEnd aEnd);

/// The state of a request after an attempt, on which a retry is decided.
struct RetryState
{
  /// Result of the last attempt.
  AttemptEnd end = AttemptEnd::kAnswered;
  bool idempotent = true;
  /// Attempts so far, including the last one.
  int attempts = 1;
  int maxAttempts = 3;
  /// True if an earlier attempt may have run the request.
  bool mayHaveRun = false;
  /// True if the request is suspected to crash the targets that run it.
  bool mayCrashTargets = false;
  /// True if bytes of a streamed response were already sent to the caller.
  bool streamStarted = false;
  /// True if the engine can resume a stream after a given event.
  bool canResume = false;
  Instant deadline;
};

enum class RetryAction
{
  /// The request is complete.
  kDone,
  /// Send the request to another target.
  kRetry,
  /// Continue the stream at another target after its last complete event.
  kResume,
  /// Report RetryDecision::outcome to the caller.
  kGiveUp,
};

/// The result of RetryPolicy::Decide.
struct RetryDecision
{
  RetryAction action = RetryAction::kDone;
  /// Meaningful for kGiveUp: kNotRun only if no attempt can have run.
  Outcome outcome = Outcome::kAnswered;

  friend bool operator==(const RetryDecision&, const RetryDecision&) = default;
};

/// Decides whether a request is retried after an attempt.
class RetryPolicy
{
public:
  virtual ~RetryPolicy() = default;
  /// May consume a retry from `aBudget` if it decides to retry or resume.
  virtual RetryDecision Decide(const RetryState& aState,
                               RetryBudget& aBudget,
                               Instant aNow) const = 0;
};

/// Retries idempotent requests, and others only if they provably did not run,
/// so that a non-idempotent request never runs twice.
class SafeRetryPolicy final : public RetryPolicy
{
public:
  RetryDecision Decide(const RetryState& aState,
                       RetryBudget& aBudget,
                       Instant aNow) const override;
};

/// Retries on any error, ignoring idempotency, deadline and budget. Only for
/// tests: a scenario with this policy runs requests twice, which its checks
/// must detect.
class RetryOnErrorPolicy final : public RetryPolicy
{
public:
  RetryDecision Decide(const RetryState& aState,
                       RetryBudget& aBudget,
                       Instant aNow) const override;
};

} // namespace apricottrack

#endif
