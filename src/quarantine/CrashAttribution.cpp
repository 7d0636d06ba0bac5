#include "quarantine/CrashAttribution.h"

#include "quarantine/PromptParts.h"
#include "quarantine/RequestIdentity.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace apricottrack {

namespace {

/// Crashes from which on a part's answers are collected.
constexpr int kMinSuspectCrashes = 2;

} // namespace

void
CrashAttribution::RecordLosses(const std::vector<LostRequest>& aRequests,
                               Instant aNow)
{
  for (const LostRequest& request : aRequests) {
    this->RecordLoss(request, aNow);
  }
}

void
CrashAttribution::RecordLoss(const LostRequest& aRequest, Instant aNow)
{
  const Instant at = aNow - aRequest.age;
  if (at < this->evidenceSince || aRequest.parts.empty()) {
    return;
  }
  auto crash = std::find_if(
    this->crashes.begin(), this->crashes.end(), [&](const Crash& aCrash) {
      const Duration distance =
        at > aCrash.at ? at - aCrash.at : aCrash.at - at;
      return aCrash.target == aRequest.target &&
             distance <= this->options.reportSpread;
    });
  if (crash == this->crashes.end()) {
    const auto place = std::upper_bound(
      this->crashes.begin(),
      this->crashes.end(),
      at,
      [](Instant aTime, const Crash& aCrash) { return aTime < aCrash.at; });
    crash = this->crashes.insert(
      place, Crash{ .target = aRequest.target, .at = at, .requests = {} });
  }
  auto& requests = crash->requests;
  if (requests.size() < this->options.maxRequestsPerCrash &&
      std::none_of(
        requests.begin(), requests.end(), [&](const Request& aKnown) {
          return aKnown.attempt == aRequest.attempt &&
                 aKnown.parts == aRequest.parts;
        })) {
    Request request{ .parts = aRequest.parts,
                     .sortedParts = {},
                     .attempt = BoundedId(aRequest.attempt),
                     .sentAt = at - aRequest.runTime };
    PromptParts::Bound(request.parts);
    request.sortedParts = request.parts;
    std::ranges::sort(request.sortedParts);
    requests.push_back(std::move(request));
  }
}

void
CrashAttribution::RecordAnswers(const std::string& aNode,
                                const std::vector<PartAnswers>& aAnswers)
{
  for (const PartAnswers& item : aAnswers) {
    if (this->suspectedSince.contains(item.part)) {
      this->answers[item.part][aNode] = item.count;
    }
  }
}

void
CrashAttribution::Adopt(const std::vector<QuarantinedParts>& aCombinations,
                        Instant aNow)
{
  bool isAnyNew = false;
  for (const QuarantinedParts& item : aCombinations) {
    const Instant end = aNow + item.remaining;
    Parts parts = item.parts;
    std::ranges::sort(parts);
    const auto [entry, isNew] = this->quarantines.try_emplace(
      std::move(parts),
      Quarantine{ .end = end, .duration = this->options.quarantineTime });
    entry->second.end = std::max(entry->second.end, end);
    entry->second.duration = std::max(entry->second.duration, item.remaining);
    isAnyNew = isAnyNew || isNew;
  }
  if (isAnyNew) {
    this->evidenceSince = aNow;
    std::erase_if(this->crashes,
                  [&](const Crash& aCrash) { return aCrash.at < aNow; });
  }
}

std::vector<QuarantinedParts>
CrashAttribution::Update(Instant aNow)
{
  this->Prune(aNow);
  std::vector<QuarantinedParts> started;
  const auto mayStart = [&] {
    return std::cmp_less(started.size(), this->options.maxStartsPerUpdate);
  };
  while (mayStart()) {
    const auto relapse = this->FindRelapse();
    if (!relapse) {
      break;
    }
    started.push_back(this->StartQuarantine(*relapse, aNow));
  }
  while (mayStart()) {
    const EvidenceByPart evidence = this->CollectEvidence();
    this->UpdateSuspects(evidence, aNow);
    const auto* const culprit = this->FindCulprit(evidence);
    if (culprit == nullptr || !this->AreAnswersKnown(culprit->first, aNow)) {
      return started;
    }
    started.push_back(
      this->StartQuarantine(this->CombinationOf(*culprit, evidence), aNow));
  }
  return started;
}

std::vector<std::string>
CrashAttribution::Suspects() const
{
  std::vector<std::string> parts;
  for (const auto& [part, since] : this->suspectedSince) {
    parts.push_back(part);
  }
  return parts;
}

void
CrashAttribution::Prune(Instant aNow)
{
  std::size_t parts = 0;
  for (const Crash& crash : this->crashes) {
    parts += PartCount(crash);
  }
  while (!this->crashes.empty() &&
         (this->crashes.size() > this->options.maxCrashes ||
          parts > this->options.maxParts ||
          aNow - this->crashes.front().at > this->options.evidenceLifetime)) {
    parts -= PartCount(this->crashes.front());
    this->crashes.pop_front();
  }
  std::erase_if(this->quarantines, [&](const auto& aItem) {
    return aNow > aItem.second.end + this->options.probationTime;
  });
  while (this->quarantines.size() > this->options.maxQuarantines) {
    this->quarantines.erase(
      std::ranges::min_element(this->quarantines, {}, [](const auto& aItem) {
        return aItem.second.end;
      }));
  }
}

std::size_t
CrashAttribution::PartCount(const Crash& aCrash)
{
  std::size_t count = 0;
  for (const Request& request : aCrash.requests) {
    count += request.parts.size();
  }
  return count;
}

bool
CrashAttribution::HasParts(const Request& aRequest, const Parts& aParts)
{
  // Most requests lack the first one already.
  return std::ranges::binary_search(aRequest.sortedParts, aParts.front()) &&
         std::ranges::includes(aRequest.sortedParts, aParts);
}

bool
CrashAttribution::HasRequestWith(const Crash& aCrash, const Parts& aParts)
{
  return std::any_of(
    aCrash.requests.begin(),
    aCrash.requests.end(),
    [&](const Request& aRequest) { return HasParts(aRequest, aParts); });
}

bool
CrashAttribution::IsExplained(const Crash& aCrash,
                              Explanation aExplanation) const
{
  const auto mayExplain = [&](const Parts& aParts) {
    return aExplanation == Explanation::kAny ||
           std::none_of(aParts.begin(), aParts.end(), IsRequestIdentity);
  };
  return std::any_of(
    this->quarantines.begin(), this->quarantines.end(), [&](const auto& aItem) {
      return aCrash.at <= aItem.second.end && mayExplain(aItem.first) &&
             HasRequestWith(aCrash, aItem.first);
    });
}

std::vector<const CrashAttribution::Crash*>
CrashAttribution::UnexplainedCrashes() const
{
  std::vector<const Crash*> unexplained;
  for (const Crash& crash : this->crashes) {
    if (!this->IsExplained(crash, Explanation::kAny)) {
      unexplained.push_back(&crash);
    }
  }
  return unexplained;
}

std::optional<CrashAttribution::Parts>
CrashAttribution::FindRelapse() const
{
  for (const Crash* const crash : this->UnexplainedCrashes()) {
    for (const auto& [parts, quarantine] : this->quarantines) {
      if (HasRequestWith(*crash, parts)) {
        return parts;
      }
    }
  }
  return std::nullopt;
}

void
CrashAttribution::AddEvidence(Evidence& aEvidence,
                              const Crash& aCrash,
                              const Request& aRequest) const
{
  aEvidence.attempts.insert(aRequest.attempt);
  const auto isSeparate = [&](Instant aLast) {
    return aCrash.at - aLast >= this->options.minSeparation;
  };
  if (aEvidence.crashes == 0 || isSeparate(aEvidence.lastCountedAt)) {
    ++aEvidence.crashes;
    aEvidence.lastCountedAt = aCrash.at;
  }
  const bool wasSentLater =
    aRequest.sentAt + this->options.timeTolerance >= aEvidence.lastRunAt &&
    aCrash.at > aEvidence.lastRunAt;
  if (aEvidence.separateRuns == 0 || isSeparate(aEvidence.lastRunAt) ||
      wasSentLater) {
    ++aEvidence.separateRuns;
    aEvidence.lastRunAt = aCrash.at;
  }
}

CrashAttribution::EvidenceByPart
CrashAttribution::CollectEvidence() const
{
  EvidenceByPart evidence;
  for (const Crash& crash : this->crashes) {
    if (this->IsExplained(crash, Explanation::kPartsAlone)) {
      continue;
    }
    // The request that explains a crash may have crashed its target by a part,
    // which other requests share.
    const bool isExplained = this->IsExplained(crash, Explanation::kAny);
    for (const Request& request : crash.requests) {
      int position = 0;
      for (const std::string& part : request.parts) {
        ++position;
        if (isExplained && IsRequestIdentity(part)) {
          continue;
        }
        Evidence& item = evidence[part];
        item.position = std::max(item.position, position);
        item.isNeeded = item.isNeeded || !isExplained;
        this->AddEvidence(item, crash, request);
      }
    }
  }
  for (auto& [part, item] : evidence) {
    const auto found = this->answers.find(part);
    if (found != this->answers.end()) {
      for (const auto& [node, count] : found->second) {
        item.answers += count;
      }
    }
  }
  return evidence;
}

bool
CrashAttribution::IsIncriminated(const EvidenceByPart::value_type& aItem) const
{
  const auto& [part, evidence] = aItem;
  if (!this->suspectedSince.contains(part)) {
    return false;
  }
  const bool isRequest = IsRequestIdentity(part);
  const int crashes = isRequest ? evidence.separateRuns : evidence.crashes;
  return evidence.isNeeded && crashes >= this->options.minCrashes &&
         evidence.answers <= crashes * this->options.maxAnswersPerCrash &&
         (!isRequest || evidence.attempts.size() >= this->options.minAttempts);
}

bool
CrashAttribution::AreAnswersKnown(const std::string& aPart, Instant aNow) const
{
  const auto since = this->suspectedSince.find(aPart);
  return since != this->suspectedSince.end() &&
         aNow - since->second >= this->options.answerCollectionTime;
}

void
CrashAttribution::UpdateSuspects(const EvidenceByPart& aEvidence, Instant aNow)
{
  std::vector<const EvidenceByPart::value_type*> suspects;
  for (const auto& item : aEvidence) {
    if (item.second.separateRuns >= kMinSuspectCrashes) {
      suspects.push_back(&item);
    }
  }
  if (suspects.size() > this->options.maxSuspects) {
    std::ranges::stable_sort(suspects, std::greater<>{}, [](const auto* aItem) {
      return aItem->second.separateRuns;
    });
    suspects.resize(this->options.maxSuspects);
  }
  std::map<std::string, Instant> suspected;
  for (const auto* const item : suspects) {
    const auto known = this->suspectedSince.find(item->first);
    suspected.emplace(
      item->first, known == this->suspectedSince.end() ? aNow : known->second);
  }
  this->suspectedSince = std::move(suspected);
  std::erase_if(this->answers, [&](const auto& aItem) {
    return !this->suspectedSince.contains(aItem.first);
  });
}

const CrashAttribution::EvidenceByPart::value_type*
CrashAttribution::FindCulprit(const EvidenceByPart& aEvidence) const
{
  const EvidenceByPart::value_type* culprit = nullptr;
  const auto rank = [](const Evidence& aItem) {
    return std::tuple(aItem.crashes, -aItem.answers, aItem.position);
  };
  for (const auto& item : aEvidence) {
    if (this->IsIncriminated(item) &&
        (culprit == nullptr || rank(item.second) > rank(culprit->second))) {
      culprit = &item;
    }
  }
  if (culprit == nullptr) {
    return nullptr;
  }
  // The parts before the one at fault have all of its crashes too, and a few
  // more by chance. While none of them is answered, the later part is likelier.
  const EvidenceByPart::value_type* later = culprit;
  // A request as a whole has to explain all of them.
  for (const auto& item : aEvidence) {
    const int weight = IsRequestIdentity(item.first) ? 1 : 2;
    if (this->IsIncriminated(item) &&
        item.second.position > later->second.position &&
        item.second.answers <= culprit->second.answers &&
        weight * item.second.crashes >= culprit->second.crashes) {
      later = &item;
    }
  }
  return later;
}

CrashAttribution::Parts
CrashAttribution::CombinationOf(const EvidenceByPart::value_type& aCulprit,
                                const EvidenceByPart& aEvidence) const
{
  // By crash, its requests with the culprit.
  std::vector<std::vector<const Request*>> withCulprit;
  for (const Crash* const crash : this->UnexplainedCrashes()) {
    std::vector<const Request*> requests;
    for (const Request& request : crash->requests) {
      if (HasParts(request, { aCulprit.first })) {
        requests.push_back(&request);
      }
    }
    if (!requests.empty()) {
      withCulprit.push_back(std::move(requests));
    }
  }
  const auto alwaysOccursWithCulprit = [&](const std::string& aPart) {
    return std::ranges::all_of(withCulprit, [&](const auto& aRequests) {
      return std::ranges::any_of(aRequests, [&](const Request* aRequest) {
        return std::ranges::binary_search(aRequest->sortedParts, aPart);
      });
    });
  };
  Parts combination{ aCulprit.first };
  for (const auto& item : aEvidence) {
    if (combination.size() >= this->options.maxCombinedParts) {
      break;
    }
    if (item.first != aCulprit.first && this->IsIncriminated(item) &&
        item.second.answers <= aCulprit.second.answers &&
        alwaysOccursWithCulprit(item.first)) {
      combination.push_back(item.first);
    }
  }
  std::ranges::sort(combination);
  return combination;
}

QuarantinedParts
CrashAttribution::StartQuarantine(const Parts& aParts, Instant aNow)
{
  const auto [entry, isNew] = this->quarantines.try_emplace(
    aParts,
    Quarantine{ .end = aNow, .duration = this->options.quarantineTime });
  if (!isNew) {
    entry->second.duration =
      std::min(2 * entry->second.duration, this->options.maxQuarantineTime);
  }
  entry->second.end = aNow + entry->second.duration;
  return { .parts = aParts, .remaining = entry->second.duration };
}

} // namespace apricottrack
