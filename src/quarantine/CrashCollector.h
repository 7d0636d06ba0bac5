#ifndef APRICOTTRACK_QUARANTINE_CRASHCOLLECTOR_H
#define APRICOTTRACK_QUARANTINE_CRASHCOLLECTOR_H

#include "quarantine/CrashAttribution.h"
#include "quarantine/CrashRecorder.h"
#include "quarantine/PromptQuarantine.h"

#include <string>
#include <vector>

namespace apricottrack {

/// Attributes the crashes that all nodes report, at a node that collects their
/// reports, and quarantines what is at fault.
class CrashCollector
{
public:
  /// `aNode` is the name of this node.
  explicit CrashCollector(std::string aNode);

  /// Records what another node reports.
  void RecordReport(const CrashReport& aReport, Instant aNow);

  /// Attributes what other nodes reported and this node recorded. Returns the
  /// combinations that it has added to the quarantine.
  std::vector<QuarantinedParts> Attribute(CrashRecorder& aRecorder,
                                          PromptQuarantine& aQuarantine,
                                          Instant aNow);

  /// Parts whose answers all nodes should report.
  std::vector<std::string> Suspects() const;

private:
  std::string node;
  CrashAttribution attribution{ CrashAttribution::Options{} };
  /// This node's own losses until then have been attributed.
  Instant ownLossesRecordedUntil;
};

} // namespace apricottrack

#endif
