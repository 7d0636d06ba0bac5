#ifndef APRICOTTRACK_QUARANTINE_CRASHATTRIBUTION_H
#define APRICOTTRACK_QUARANTINE_CRASHATTRIBUTION_H

#include "quarantine/CrashReports.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// Finds the prompt parts that crash targets, from the lost and the answered
/// requests of all nodes. A part is at fault if several crashes cannot be
/// explained without it and its requests are hardly ever answered; parts that
/// sound requests share with the deadly ones are answered often. Parts that
/// always occurred together are quarantined together, so that sound requests
/// with some of them continue. Used at the planner's node.
///
/// A request as a whole can be at fault as well: its identity counts as its
/// last part. It is blamed if it explains all crashes that its parts explain,
/// and only once the caller has repeated it, as a sound request may be lost
/// several times beside a deadly one that takes the same way.
class CrashAttribution
{
public:
  struct Options
  {
    /// Crashes are considered for this long.
    Duration evidenceLifetime = seconds(30);
    /// Crashes before a part is quarantined.
    int minCrashes = 3;
    /// Crashes of a part within less time of each other count once: targets
    /// that fail together, with their zone or replica, have one cause.
    Duration minSeparation = milliseconds(100);
    /// A request that was sent after a crash, up to this inaccuracy of reported
    /// times, and was lost with another target counts again at once.
    Duration timeTolerance = milliseconds(10);
    /// Attempts of a caller before a request as a whole is quarantined.
    std::size_t minAttempts = 2;
    /// Time for all nodes to report the answers of a new suspect.
    Duration answerCollectionTime = milliseconds(800);
    /// A part with more answers than this for each crash is not at fault.
    double maxAnswersPerCrash = 1.0 / 3;
    /// First quarantine of a combination; each further one is twice as long.
    Duration quarantineTime = seconds(120);
    Duration maxQuarantineTime = seconds(3600);
    /// After its quarantine a combination is quarantined again after one crash.
    Duration probationTime = seconds(600);
    std::size_t maxCrashes = 256;
    /// Parts of all requests in crashes together. Older crashes are dropped.
    std::size_t maxParts = std::size_t{ 16 } * 1024;
    /// Those with the most crashes are kept.
    std::size_t maxSuspects = 256;
    /// Parts that are quarantined together.
    std::size_t maxCombinedParts = 16;
    /// Present and former quarantines.
    std::size_t maxQuarantines = 512;
    /// Quarantines that one update starts; the next update continues. Bounds
    /// the time for which it occupies the node.
    int maxStartsPerUpdate = 4;
    /// Requests of one crash that are considered.
    std::size_t maxRequestsPerCrash = 64;
    /// Losses at one target within this time belong to one crash.
    Duration reportSpread = milliseconds(1000);
  };

  explicit CrashAttribution(Options aOptions)
    : options(aOptions)
  {
  }

  void RecordLosses(const std::vector<LostRequest>& aRequests, Instant aNow);

  /// Sets the number of answers that a node has counted for each suspect.
  void RecordAnswers(const std::string& aNode,
                     const std::vector<PartAnswers>& aAnswers);

  /// Takes over what another node has quarantined. If any is new here,
  /// earlier crashes are dropped, as that node has attributed them already.
  void Adopt(const std::vector<QuarantinedParts>& aCombinations, Instant aNow);

  /// Returns the combinations of parts that have to be quarantined from now on.
  std::vector<QuarantinedParts> Update(Instant aNow);

  /// Parts whose answers all nodes should report.
  std::vector<std::string> Suspects() const;

private:
  using Parts = std::vector<std::string>;

  /// A request that was lost in a crash.
  struct Request
  {
    /// In order.
    Parts parts;
    /// The same, sorted.
    Parts sortedParts;
    /// Id of the caller's attempt.
    std::string attempt;
    Instant sentAt;
  };

  struct Crash
  {
    std::string target;
    Instant at;
    /// Without duplicates.
    std::vector<Request> requests;
  };

  struct Quarantine
  {
    Instant end;
    Duration duration;
  };

  /// What the crashes without another explanation say about one part.
  struct Evidence
  {
    /// Crashes that are `minSeparation` apart.
    int crashes = 0;
    Instant lastCountedAt;
    /// The same, and those of requests that were sent after the last one.
    int separateRuns = 0;
    Instant lastRunAt;
    std::set<std::string> attempts;
    /// A crash has no explanation at all.
    bool isNeeded = false;
    int position = 0;
    int answers = 0;
  };
  using EvidenceByPart = std::map<std::string, Evidence>;

  void RecordLoss(const LostRequest& aRequest, Instant aNow);
  void Prune(Instant aNow);
  /// Returns the number of parts of all requests of a crash.
  static std::size_t PartCount(const Crash& aCrash);
  /// True if the request has all of the parts, which are sorted.
  static bool HasParts(const Request& aRequest, const Parts& aParts);
  /// True if a request of the crash has all of the parts, which are sorted.
  static bool HasRequestWith(const Crash& aCrash, const Parts& aParts);
  /// What may explain a crash.
  enum class Explanation
  {
    kAny,
    /// Prompt parts, not a request as a whole.
    kPartsAlone,
  };
  /// True if a request caused the crash that was quarantined by its end.
  bool IsExplained(const Crash& aCrash, Explanation aExplanation) const;
  /// Returns the crashes that are not explained.
  std::vector<const Crash*> UnexplainedCrashes() const;
  EvidenceByPart CollectEvidence() const;
  /// Adds a crash to the evidence of one part of a request.
  void AddEvidence(Evidence& aEvidence,
                   const Crash& aCrash,
                   const Request& aRequest) const;
  bool IsIncriminated(const EvidenceByPart::value_type& aItem) const;
  /// Returns a combination on probation that caused another crash, or nothing.
  std::optional<Parts> FindRelapse() const;
  /// True if all nodes have had the time to report the part's answers.
  bool AreAnswersKnown(const std::string& aPart, Instant aNow) const;
  void UpdateSuspects(const EvidenceByPart& aEvidence, Instant aNow);
  /// Returns the part that most likely caused the crashes; null if none did.
  const EvidenceByPart::value_type* FindCulprit(
    const EvidenceByPart& aEvidence) const;
  /// Returns the part with all others that may as well have caused its crashes,
  /// as each of these had a request with both.
  Parts CombinationOf(const EvidenceByPart::value_type& aCulprit,
                      const EvidenceByPart& aEvidence) const;
  QuarantinedParts StartQuarantine(const Parts& aParts, Instant aNow);

  Options options;
  /// By time.
  std::deque<Crash> crashes;
  /// Earlier crashes are not considered.
  Instant evidenceSince;
  /// When each suspect became one.
  std::map<std::string, Instant> suspectedSince;
  /// Number of answers, by suspect and node.
  std::map<std::string, std::map<std::string, int>> answers;
  /// Present and former quarantines, by sorted parts, until the end of the
  /// probation.
  std::map<Parts, Quarantine> quarantines;
};

} // namespace apricottrack

#endif
