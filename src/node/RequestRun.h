#ifndef APRICOTTRACK_NODE_REQUESTRUN_H
#define APRICOTTRACK_NODE_REQUESTRUN_H

#include "intake/RequestIntake.h"
#include "journal/JournalRecord.h"
#include "node/AnswerRelay.h"
#include "node/NodeContext.h"

#include <optional>
#include <set>
#include <string>

namespace apricottrack {

/// One caller's request from intake to its end: limits, slot, journal,
/// attempts, answer.
class RequestRun
{
public:
  RequestRun(NodeContext& aContext, HttpExchange& aExchange);

  Task<void> Serve();

private:
  struct Ending
  {
    Outcome outcome = Outcome::kNotRun;
    std::optional<Refusal> refusal;

    /// True unless the caller itself was at fault.
    bool CountsForObjective() const;
  };

  std::optional<Refusal> ReadAndLimit();
  Task<std::optional<Refusal>> Admit();
  Task<Ending> Execute();
  /// Nothing if the request may run; otherwise how it ended.
  Task<std::optional<Ending>> RecordIntent();
  Ending AnswerDuplicate(const JournalEntry& aEntry);
  Task<void> RecordEnd(const Ending& aEnding);
  Task<Ending> RunAttempts();
  Task<AttemptEnd> RunAttempt(const Target& aTarget);
  Ending EndAfter(const RetryDecision& aDecision, AttemptEnd aEnd) const;
  HttpRequest MessageFor(const Target& aTarget,
                         const std::string& aAttemptId) const;
  Task<void> Tell(const Ending& aEnding);
  void Account(const Ending& aEnding);
  /// Gives back tokens that the limit was charged and that were not used.
  void SettleTokens(const Ending& aEnding);
  JournalTask& Journal();

  NodeContext& context;
  HttpExchange& exchange;
  Instant arrived;
  RequestSpec spec;
  AnswerRelay relay;
  Dispatcher* dispatcher = nullptr;
  std::set<std::string> tried;
  std::string nonce;
  std::string journalKey;
  std::string lastTarget;
  Duration firstByte = Duration::zero();
  int attempts = 0;
  bool mayHaveRun = false;
  /// The account's limit was charged.
  bool charged = false;
  /// The answer was recorded by an earlier attempt.
  bool replayed = false;
};

} // namespace apricottrack

#endif
