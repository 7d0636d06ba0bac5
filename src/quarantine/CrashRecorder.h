#ifndef APRICOTTRACK_QUARANTINE_CRASHRECORDER_H
#define APRICOTTRACK_QUARANTINE_CRASHRECORDER_H

#include "quarantine/CrashReports.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricottrack {

/// Records which prompt parts this node's requests had when their target
/// crashed, and how many requests with a part were answered. The identity of a
/// request counts as one more part. Each serving node
/// has one; CrashAttribution combines the records of all nodes.
class CrashRecorder
{
public:
  struct Options
  {
    /// Lost requests and answers are kept for this long; answers for up to half
    /// of it longer.
    Duration lifetime = seconds(30);
    std::size_t maxLostRequests = 512;
    /// Lost requests in one report, which bounds the size of a message. Those
    /// that were lost at the same moment stay together.
    std::size_t maxReportedRequests = 128;
    /// Bounds the memory of the answer counts.
    std::size_t maxCountedParts = 4096;
  };

  explicit CrashRecorder(Options aOptions)
    : options(aOptions)
  {
  }

  /// The call in which a request was lost.
  struct LostCall
  {
    /// Id of the caller's attempt.
    std::string attempt;
    /// From sending the request to its loss.
    Duration runTime = Duration::zero();
  };

  /// Records a request that was lost with its target. Has no effect without
  /// parts.
  void OnLost(const std::string& aTarget,
              const std::vector<std::string>& aParts,
              const LostCall& aCall,
              Instant aNow);

  /// Records a request that was answered completely.
  void OnAnswered(const std::vector<std::string>& aParts, Instant aNow);

  /// Returns the requests that were lost after `aSince`, oldest first.
  std::vector<LostRequest> LostSince(Instant aSince, Instant aNow) const;

  /// Returns the first of them, as many as one report may have, and sets
  /// `aUntil` to the time up to which these are all.
  std::vector<LostRequest> NextReport(Instant aSince,
                                      Instant aNow,
                                      Instant& aUntil) const;

  /// Sets the parts whose answers SuspectAnswers returns.
  void SetSuspects(std::vector<std::string> aParts);
  const std::vector<std::string>& Suspects() const { return this->suspects; }

  /// Returns whether a part is a suspect of which this node has seen no answer.
  bool IsUnansweredSuspect(const std::string& aPart) const;

  /// Returns the number of answers of each suspect that has any.
  std::vector<PartAnswers> SuspectAnswers(Instant aNow);

private:
  using Counts = std::unordered_map<std::string, int>;

  struct Loss
  {
    std::string target;
    std::vector<std::string> parts;
    LostCall call;
    Instant at;
  };

  int AnswersOf(const std::string& aPart) const;
  /// Starts a new counting period if the current one has ended.
  void RotateCounts(Instant aNow);

  Options options;
  std::deque<Loss> losses;
  std::vector<std::string> suspects;
  Counts currentCounts;
  Counts previousCounts;
  /// Start of the period of `currentCounts`.
  Instant periodStartedAt;
};

} // namespace apricottrack

#endif
