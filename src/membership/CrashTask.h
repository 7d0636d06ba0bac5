#ifndef APRICOTTRACK_MEMBERSHIP_CRASHTASK_H
#define APRICOTTRACK_MEMBERSHIP_CRASHTASK_H

#include "base/Counters.h"
#include "membership/NodeDirectory.h"
#include "membership/PeerLink.h"
#include "quarantine/CrashCollector.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace apricottrack {

/// Reports the crashes that this node has recorded to the nodes that collect
/// them, and applies the suspects and the quarantine that they return. Collects
/// the reports of all nodes if this node is one of the collectors.
class CrashTask
{
public:
  struct Options
  {
    /// Name of this node.
    std::string node;
    /// Between two reports. Suspects and their answers pass between nodes twice
    /// within CrashAttribution's `answerCollectionTime`.
    Duration interval = milliseconds(250);
    /// Timeout of one report.
    Duration timeout = milliseconds(500);
    /// Number of nodes that collect reports, so that the loss of one loses
    /// nothing.
    std::size_t collectors = 2;
    /// Suspects of a collector that does not answer expire.
    Duration suspectLifetime = seconds(30);
    /// Maximum number of suspects and of combinations in one message.
    std::size_t maxItems = 512;
  };

  /// The node's state that the task reads and changes.
  struct State
  {
    const NodeDirectory& directory;
    CrashRecorder& recorder;
    PromptQuarantine& quarantine;
    Counters& counters;
  };

  /// `aOnChange` is called after a combination was added to the quarantine.
  CrashTask(boost::asio::any_io_executor aExecutor,
            Options aOptions,
            State aState,
            std::function<void()> aOnChange);

  void Start();

  /// Records another node's report. Returns nothing if this node is no
  /// collector.
  std::optional<CrashVerdict> HandleReport(const CrashReport& aReport,
                                           Instant aNow);

  /// Attributes the collected crashes, if this node is a collector.
  void Collect(Instant aNow);

private:
  /// Another node that collects reports.
  struct Collector
  {
    std::shared_ptr<PeerLink> link;
    bool isAsked = false;
    /// This node's losses until then were reported; unset before the first
    /// answer.
    Instant reportedUntil;
    /// The same once the report in flight is answered.
    Instant inFlightUntil;
    Instant answeredAt;
    std::vector<std::string> suspects;
  };

  Task<void> Run();
  /// Drops former collectors and adds new ones.
  void UpdateCollectors();
  Task<void> ReportTo(std::shared_ptr<Collector> aCollector);
  CrashReport MakeReport(Collector& aCollector, Instant aNow);
  void ApplyVerdict(Collector& aCollector,
                    const CrashVerdict& aVerdict,
                    Instant aNow);
  /// Combines the suspects of all collectors.
  void UpdateSuspects(Instant aNow);

  boost::asio::any_io_executor executor;
  Options options;
  State state;
  std::function<void()> onChange;
  CrashCollector ownCollector;
  bool isCollector = false;
  /// By incarnation, as a new one lacks what was reported to the last.
  std::map<std::string, std::shared_ptr<Collector>> collectors;
};

} // namespace apricottrack

#endif
