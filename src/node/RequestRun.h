#ifndef APRICOTTRACK_NODE_REQUESTRUN_H
#define APRICOTTRACK_NODE_REQUESTRUN_H

#include "intake/RequestIntake.h"
#include "journal/JournalRecord.h"
#include "node/NodeContext.h"
#include "node/ResponseRelay.h"
#include "quarantine/StreamSoundness.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

class TargetAttempt;

/// Handles one caller's request: parses it, applies the account's limit, waits
/// for a slot, journals a non-idempotent request, makes attempts at targets
/// and responds. Lives as long as the exchange.
class RequestRun
{
public:
  RequestRun(NodeContext& aContext, HttpExchange& aExchange);

  Task<void> Serve();

private:
  /// How the request ended. Without a refusal, the caller gets the response
  /// that the relay holds.
  struct RequestResult
  {
    Outcome outcome = Outcome::kNotRun;
    std::optional<Refusal> refusal;

    /// True if the result counts for or against the service's objective.
    bool CountsForObjective() const;
  };

  /// Returns whether this node knows the service but none of its targets.
  bool HearsNoTarget(std::string_view aService) const;
  /// Returns true once another node has served the request, because this one
  /// hears no target of its service.
  Task<bool> TryForward();
  /// Parses the request and charges its account's limit.
  std::optional<Refusal> ParseAndCharge();
  /// Does the same by a configuration that is recent enough for a refusal, and
  /// not older than that of the node that has forwarded the request.
  Task<std::optional<Refusal>> ParseByNewestConfiguration();
  /// True if another node has forwarded the request and has admitted it by a
  /// newer configuration.
  bool HasOlderConfigurationThanSender() const;
  /// Waits for a slot of the service.
  Task<std::optional<Refusal>> Admit();
  /// Runs an admitted request. If it is not idempotent, records its intent in
  /// the journal before the run and its end after it.
  Task<RequestResult> Execute();
  /// Records the request's intent in the journal. Returns nothing if the
  /// request may run, otherwise its result.
  Task<std::optional<RequestResult>> RecordIntent();
  /// Returns the result of a request whose earlier attempt the journal holds.
  RequestResult HandleDuplicate(const JournalEntry& aEntry);
  Task<void> RecordEnd(const RequestResult& aResult);
  Task<RequestResult> RunAttempts();
  Task<AttemptEnd> RunAttempt(const Target& aTarget);
  /// Returns the result if no further attempt is made.
  RequestResult ResultAfter(const RetryDecision& aDecision,
                            AttemptEnd aEnd) const;
  /// Returns the refusal of a request that no target may have run, if all
  /// targets have asked for a pause.
  std::optional<Refusal> PauseRefusal() const;
  HttpRequest BuildTargetRequest(const Target& aTarget,
                                 const std::string& aAttemptId) const;
  void OnStreamProgress(Instant aNow);
  void RecordForAttribution(const TargetAttempt& aAttempt,
                            AttemptEnd aEnd,
                            Instant aNow);
  /// True if the request is suspected to crash the targets that run it.
  bool MayCrashTargets() const;
  /// Returns the refusal of a request in quarantine.
  std::optional<Refusal> QuarantineRefusal() const;
  /// Returns what the journal holds of a non-idempotent request that is in
  /// quarantine, otherwise the refusal.
  Task<RequestResult> RefuseAfterJournal(Refusal aRefusal);
  Task<void> SendResponse(const RequestResult& aResult);
  void RecordMetrics(const RequestResult& aResult);
  /// Replaces the estimated tokens charged to the account's limit by those that
  /// the request used, as far as they are known.
  void ReconcileCharge(const RequestResult& aResult);
  /// Returns the journal that holds `journalKey`.
  JournalTask& Journal();

  NodeContext& context;
  HttpExchange& exchange;
  Instant arrivedAt;
  RequestSpec spec;
  ResponseRelay relay;
  Dispatcher* dispatcher = nullptr;
  /// Ids of the targets of earlier attempts.
  std::set<std::string> triedTargetIds;
  /// Random id of this request's intent in the journal.
  std::string nonce;
  std::string journalKey;
  std::string lastTargetId;
  std::string identity;
  /// Keys of the request in attribution and quarantine.
  std::vector<std::string> crashKeys;
  /// Identifies this run in attribution. Callers may repeat their request id.
  std::string runId;
  /// Of the current attempt's response.
  StreamSoundness soundness;
  /// The response of any attempt has shown the request to be sound.
  bool provenSound = false;
  /// Time from arrival to the first byte of the last response; zero if none.
  Duration firstByteDelay = Duration::zero();
  int attempts = 0;
  /// True if a target may have run the request.
  bool mayHaveRun = false;
  /// True if the request's estimated tokens were charged to the account's
  /// limit.
  bool limitCharged = false;
  /// True if the journal held an earlier attempt of this request.
  bool isDuplicate = false;
};

} // namespace apricottrack

#endif
