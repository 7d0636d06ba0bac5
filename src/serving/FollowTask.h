#ifndef APRICOTTRACK_SERVING_FOLLOWTASK_H
#define APRICOTTRACK_SERVING_FOLLOWTASK_H

#include "membership/PeerLink.h"
#include "serving/CatalogTask.h"
#include "serving/FleetTask.h"
#include "serving/ServingContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace apricottrack {

/// Receives changes from the planner's node by long polling. While that node is
/// unreachable, or cannot reach the store itself, makes this node read the
/// store.
class FollowTask
{
public:
  struct Options
  {
    /// Longest wait for a change; also the interval at which this node sends
    /// its demand and target loads.
    Duration wait = milliseconds(250);
    /// Added to the wait for the answer to arrive; after that the query has
    /// failed.
    Duration replyMargin = milliseconds(250);
    /// Between a failed query and the next one.
    Duration retryDelay = milliseconds(100);
    /// Between two reads of a catalog that the planner reports and the store
    /// did not return; store calls are charged for.
    Duration catalogRetryInterval = milliseconds(800);
    /// Without a response from the planner's node for longer than this, the
    /// node reads the store. Well within `ServingSettings::drainBound`, and
    /// long enough for another node to become the planner.
    Duration plannerTimeout = milliseconds(600);
    /// Longest time without a planner after which the store is assumed to have
    /// been available in between; entries expire only after a longer outage.
    Duration maxFollowGap = milliseconds(2500);
    /// How long a node that restarts waits for a planner before it reads the
    /// store. If all nodes restart at once and list a large fleet, they
    /// saturate the store's link, and the first planner cannot renew its lease.
    Duration restartDelay = Duration::zero();
    /// After an outage of the store, time for a planner that has outlived it to
    /// list the targets. If all nodes list them at once, they saturate the
    /// store's link, and the planner's listing fails.
    Duration plannerListTime = milliseconds(1500);
    /// Largest age of the planner's own store reads for its answers to be used.
    Duration maxStoreReadAge = milliseconds(1300);
  };

  /// `aOnChange` is called after the planner sent a change of the fleet, of its
  /// replicas or of the quarantine, and when a planner is first followed.
  FollowTask(ServingContext& aContext,
             CatalogTask& aCatalog,
             FleetTask& aFleet,
             Options aOptions,
             std::function<void()> aOnChange);

  void Start();

  /// Sets the address on which the planner's node listens.
  void SetPlannerAddress(const std::string& aAddress);

  /// `aIsPlanner`: this node is the planner and reads the store itself.
  void SetIsPlanner(bool aIsPlanner);

  /// True while the planner's node responds and has recent store reads.
  bool FollowsPlanner() const { return this->followsPlanner; }

  /// True if the planner's node responded as the planner a short time ago, with
  /// recent store reads or not.
  bool PlannerResponds() const;

  /// When a planner's node with recent store reads first responded.
  const std::optional<Instant>& FirstFollowedAt() const
  {
    return this->firstFollowedAt;
  }

  /// True if a planner's node with recent store reads responded until a short
  /// time ago. The store was available then, so entries have not expired.
  bool HasFollowedRecently(Instant aNow) const;

  /// Reports targets that are suspected to be stalled to the planner's node,
  /// which probes them. Has no effect while the planner's address is unknown.
  void ReportStalls(std::vector<std::string> aTargets);

private:
  Task<void> Run();
  /// Sends one query. Returns true if the answer came from a planner with
  /// recent store reads.
  Task<bool> QueryPlanner();
  /// Reads the catalog from the store. Returns false if the read failed, or was
  /// skipped because `catalogRetryInterval` has not passed since a failed one.
  Task<bool> ReadCatalogFromStore();
  /// Applies the targets of an answer to the fleet.
  void ApplyTargets(const FleetAnswer& aAnswer, Instant aNow);
  /// Applies everything else but the catalog.
  void ApplyAnswer(const FleetAnswer& aAnswer, Instant aNow);
  /// Adds what the planner needs to attribute crashes to prompt parts.
  void AddCrashReports(FleetQuestion& aQuestion, Instant aNow);
  /// Reports the suspected targets in `unreportedStalls` to the planner's node,
  /// until none remain.
  Task<void> SendStallNotices();
  /// Stops store reads while the planner's node is followed. Otherwise catalog
  /// reads start without delay. Fleet reads start once the planner's node has
  /// not responded for `plannerTimeout`, except as AwaitsPlannerListing states,
  /// or without delay if this node is the planner.
  void SetFollowsPlanner(bool aFollowsPlanner);
  /// True if the planner responds and the store is unreachable for this node
  /// too, or was until less than `plannerListTime` ago.
  bool AwaitsPlannerListing(Instant aNow) const;

  ServingContext& context;
  CatalogTask& catalog;
  FleetTask& fleet;
  Options options;
  std::function<void()> onChange;
  /// Address of the planner's node; empty while unknown.
  std::string plannerAddress;
  /// Carries the long polls to the planner's node.
  std::unique_ptr<PeerLink> queryLink;
  /// Separate from the long polls, so that notices do not wait for them.
  std::unique_ptr<PeerLink> noticeLink;
  /// Suspected targets that the next notice will report.
  std::set<std::string> unreportedStalls;
  /// SendStallNotices is running.
  bool isSendingStallNotices = false;
  bool followsPlanner = false;
  /// This node itself reads the target entries from the store.
  bool readsStore = false;
  /// This node is the planner.
  bool leads = false;
  std::optional<Instant> firstFollowedAt;
  /// When the planner's node last responded with recent store reads.
  Instant lastResponseAt;
  /// The same, whether or not its store reads were recent.
  Instant lastLeadingAnswerAt;
  /// When the last query was sent.
  Instant querySentAt;
  /// Id of the planner's process and sequence number, from the last applied
  /// answer; the next query repeats them to get only later changes.
  std::string source;
  std::uint64_t sequence = 0;
  /// Id of the planner's process that has the crash reports, which include all
  /// losses up to the given time.
  std::string crashReportsSource;
  Instant lossesReportedUpTo;
  /// The same once the query in flight is answered.
  Instant lossesInQueryUpTo;
  /// The store did not return a catalog that the planner reports; the planner
  /// is asked to send the document.
  bool wantsCatalog = false;
  /// Earliest time of the next catalog read from the store.
  Instant nextCatalogReadAt;
};

} // namespace apricottrack

#endif
