#include "quarantine/CrashCollector.h"

#include "base/Log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>

namespace apricottrack {

CrashCollector::CrashCollector(std::string aNode)
  : node(std::move(aNode))
{
}

void
CrashCollector::RecordReport(const CrashReport& aReport, Instant aNow)
{
  this->attribution.RecordLosses(aReport.lostRequests, aNow);
  this->attribution.RecordAnswers(aReport.node, aReport.partAnswers);
}

std::vector<QuarantinedParts>
CrashCollector::Attribute(CrashRecorder& aRecorder,
                          PromptQuarantine& aQuarantine,
                          Instant aNow)
{
  this->attribution.Adopt(aQuarantine.Combinations(aNow), aNow);
  this->attribution.RecordLosses(
    aRecorder.LostSince(this->ownLossesRecordedUntil, aNow), aNow);
  this->ownLossesRecordedUntil = aNow;
  this->attribution.RecordAnswers(this->node, aRecorder.SuspectAnswers(aNow));
  std::vector<QuarantinedParts> started = this->attribution.Update(aNow);
  for (const QuarantinedParts& item : started) {
    LogLine("prompt_part_quarantined")
      .With("part", fmt::format("{}", fmt::join(item.parts, "+")))
      .With("for_s", std::int64_t{ item.remaining / seconds(1) })
      .Warn();
  }
  aQuarantine.Add(started, aNow);
  return started;
}

std::vector<std::string>
CrashCollector::Suspects() const
{
  return this->attribution.Suspects();
}

} // namespace apricottrack
