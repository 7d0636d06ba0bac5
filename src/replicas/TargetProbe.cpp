#include "replicas/TargetProbe.h"

namespace apricottrack {

void
TargetProbe::OnReport(TargetReport aReport, Instant aSentAt)
{
  this->missedReports = 0;
  this->excusedReports = 0;
  this->reportedAt = aSentAt;
  this->report = std::move(aReport);
}

void
TargetProbe::OnMissed(Instant aSentAt, bool aTimedOut)
{
  if (this->missedReports++ == 0) {
    this->silentSince = aSentAt;
  }
  this->missedAt = aSentAt;
  this->hasTimedOut = aTimedOut;
}

bool
TargetProbe::TryExcuse(const Options& aOptions)
{
  return this->excusedReports++ < aOptions.maxExcusedReports;
}

void
TargetProbe::ForgetMissed()
{
  this->missedReports = 0;
  this->probeSentAt = Instant{};
}

bool
TargetProbe::IsUnresponsive(const Options& aOptions) const
{
  return this->missedReports >= aOptions.maxMissedReports;
}

bool
TargetProbe::IsBrieflySilent(const Options& aOptions) const
{
  return this->IsUnresponsive(aOptions) && this->hasTimedOut &&
         this->missedAt - this->silentSince < aOptions.silenceTolerance;
}

bool
TargetProbe::IsLost(const Options& aOptions, Instant aNow) const
{
  return this->IsUnresponsive(aOptions) &&
         aNow - this->silentSince >= aOptions.lossConfirmationTime;
}

} // namespace apricottrack
