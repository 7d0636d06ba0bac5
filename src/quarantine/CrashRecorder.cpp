#include "quarantine/CrashRecorder.h"

#include "quarantine/PromptParts.h"

#include <algorithm>
#include <utility>

namespace apricottrack {

void
CrashRecorder::OnLost(const std::string& aTarget,
                      const std::vector<std::string>& aParts,
                      const LostCall& aCall,
                      Instant aNow)
{
  if (aParts.empty()) {
    return;
  }
  this->losses.push_back(
    { .target = aTarget,
      .parts = aParts,
      .call = { .attempt = BoundedId(aCall.attempt), .runTime = aCall.runTime },
      .at = aNow });
  while (this->losses.size() > this->options.maxLostRequests ||
         aNow - this->losses.front().at > this->options.lifetime) {
    this->losses.pop_front();
  }
}

void
CrashRecorder::OnAnswered(const std::vector<std::string>& aParts, Instant aNow)
{
  this->RotateCounts(aNow);
  for (const std::string& part : aParts) {
    ++this->currentCounts[part];
  }
}

std::vector<LostRequest>
CrashRecorder::LostSince(Instant aSince, Instant aNow) const
{
  std::vector<LostRequest> requests;
  for (const Loss& loss : this->losses) {
    if (loss.at > aSince && aNow - loss.at <= this->options.lifetime) {
      requests.push_back({ .target = loss.target,
                           .parts = loss.parts,
                           .attempt = loss.call.attempt,
                           .runTime = loss.call.runTime,
                           .age = aNow - loss.at });
    }
  }
  return requests;
}

std::vector<LostRequest>
CrashRecorder::NextReport(Instant aSince, Instant aNow, Instant& aUntil) const
{
  std::vector<LostRequest> requests = this->LostSince(aSince, aNow);
  aUntil = aNow;
  if (requests.size() <= this->options.maxReportedRequests) {
    return requests;
  }
  const Duration age = requests[this->options.maxReportedRequests - 1].age;
  const auto firstLeftOut =
    std::ranges::find_if(requests, [age](const LostRequest& aRequest) {
      return aRequest.age < age;
    });
  requests.erase(firstLeftOut, requests.end());
  aUntil = aNow - age;
  return requests;
}

void
CrashRecorder::SetSuspects(std::vector<std::string> aParts)
{
  this->suspects = std::move(aParts);
}

bool
CrashRecorder::IsUnansweredSuspect(const std::string& aPart) const
{
  return std::find(this->suspects.begin(), this->suspects.end(), aPart) !=
           this->suspects.end() &&
         this->AnswersOf(aPart) == 0;
}

int
CrashRecorder::AnswersOf(const std::string& aPart) const
{
  int count = 0;
  for (const Counts* const counts :
       { &this->currentCounts, &this->previousCounts }) {
    const auto found = counts->find(aPart);
    count += found == counts->end() ? 0 : found->second;
  }
  return count;
}

std::vector<PartAnswers>
CrashRecorder::SuspectAnswers(Instant aNow)
{
  this->RotateCounts(aNow);
  std::vector<PartAnswers> answers;
  for (const std::string& part : this->suspects) {
    const int count = this->AnswersOf(part);
    if (count > 0) {
      answers.push_back({ .part = part, .count = count });
    }
  }
  return answers;
}

void
CrashRecorder::RotateCounts(Instant aNow)
{
  const Duration period = this->options.lifetime / 2;
  const Duration elapsed = aNow - this->periodStartedAt;
  if (elapsed < period &&
      this->currentCounts.size() < this->options.maxCountedParts) {
    return;
  }
  if (elapsed >= 2 * period) {
    this->currentCounts.clear();
  }
  this->previousCounts = std::exchange(this->currentCounts, {});
  this->periodStartedAt = aNow;
}

} // namespace apricottrack
