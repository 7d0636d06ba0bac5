#include "replicas/EvacuatedTargets.h"
#include "serving/PlannerTask.h"

// The part of PlannerTask that collects what is known of a service's targets.
namespace apricottrack {

namespace {

/// Marks the older of two targets whose entries name the same address as
/// unresponsive: the target that started last holds the address, and reports
/// from there are its own.
void
MarkDisplacedTargets(const Fleet& aFleet, PlannerMembers& aMembers)
{
  std::map<std::string_view, const TargetRecord*> byAddress;
  for (auto& [id, member] : aMembers) {
    const TargetRecord* const entry = aFleet.Find(id);
    if (entry == nullptr) {
      continue;
    }
    const auto [found, isNew] = byAddress.emplace(entry->address, entry);
    if (isNew) {
      continue;
    }
    const TargetRecord*& holder = found->second;
    if (entry->startedAt > holder->startedAt) {
      PlannerMember& displaced = aMembers.find(holder->id)->second;
      displaced.unresponsive = true;
      displaced.lost = true;
      holder = entry;
    } else {
      member.unresponsive = true;
      member.lost = true;
    }
  }
}

/// Copies what the probes say about a target.
void
SetResponsiveness(PlannerMember& aMember,
                  const TargetProbe& aProbe,
                  const TargetProbe::Options& aOptions,
                  Instant aNow)
{
  aMember.unresponsive = aProbe.IsUnresponsive(aOptions);
  aMember.brieflySilent = aProbe.IsBrieflySilent(aOptions);
  aMember.lost = aProbe.IsLost(aOptions, aNow);
}

} // namespace

TargetRecord
PlannerTask::NewestRecord(const CatalogService& aService,
                          const TargetRecord& aEntry,
                          const TargetProbe& aProbe) const
{
  const auto planner = this->planners.find(aService.name);
  const bool mayHaveStopped =
    planner == this->planners.end() || !aProbe.report ||
    !aProbe.report->membership ||
    planner->second->MayHaveStopped(ReplicaKey(*aProbe.report->membership));
  return MergeReport(aEntry,
                     this->context.fleet.ChangedAt(aEntry.id),
                     aProbe.report,
                     aProbe.reportedAt - aService.engine->reportLag,
                     mayHaveStopped);
}

PlannerMembers
PlannerTask::CollectServiceTargets(const CatalogService& aService, Instant aNow)
{
  PlannerMembers members;
  for (const auto& [id, entry] : this->context.fleet.All()) {
    if (entry.service != aService.name) {
      continue;
    }
    this->lastEntries[id] = entry;
    const auto found = this->probes.find(id);
    PlannerMember member;
    if (found == this->probes.end()) {
      member.record = entry;
      member.reported = false;
    } else {
      member.reported = found->second.report.has_value();
      member.record = this->NewestRecord(aService, entry, found->second);
      SetResponsiveness(member, found->second, this->options.probes, aNow);
      const auto& report = found->second.report;
      member.slow = report && report->startedAt == member.record.startedAt &&
                    report->pace >= this->options.slowTimeFactor;
    }
    member.requestLimit = this->context.limits.LimitOf(id, aNow);
    members.emplace(id, std::move(member));
  }
  MarkDisplacedTargets(this->context.fleet, members);
  this->AddUnlistedMembers(aService, members, aNow);
  MarkEvacuatedTargets(this->context.evacuations, members);
  this->PruneGoneTargets(aService, members);
  return members;
}

Duration
PlannerTask::LongestUnrepeatableWork(const CatalogService& aService,
                                     Instant aNow)
{
  return this->unrepeatableWork[aService.name].LongestTimeout(
    this->context.catalog.Current(), aService.name, aNow);
}

void
PlannerTask::PruneGoneTargets(const CatalogService& aService,
                              const PlannerMembers& aMembers)
{
  std::erase_if(this->lastEntries, [&](const auto& aEntry) {
    return aEntry.second.service == aService.name &&
           !aMembers.contains(aEntry.first);
  });
  std::erase_if(this->probes, [&](const auto& aEntry) {
    return !aEntry.second.isPending &&
           !this->lastEntries.contains(aEntry.first);
  });
}

void
PlannerTask::AddUnlistedMembers(const CatalogService& aService,
                                PlannerMembers& aMembers,
                                Instant aNow)
{
  const auto planner = this->planners.find(aService.name);
  if (planner == this->planners.end()) {
    return;
  }
  const bool awaitsSilentTargets =
    this->LongestUnrepeatableWork(aService, aNow) > Duration::zero();
  for (const auto& [name, replica] : planner->second->Replicas()) {
    for (const std::string& id : replica.members) {
      const auto entry = this->lastEntries.find(id);
      const auto probe = this->probes.find(id);
      if (aMembers.contains(id) || entry == this->lastEntries.end() ||
          probe == this->probes.end() ||
          (awaitsSilentTargets
             ? probe->second.IsLost(this->options.probes, aNow)
             : probe->second.IsUnresponsive(this->options.probes))) {
        continue;
      }
      PlannerMember member;
      member.record =
        this->NewestRecord(aService, entry->second, probe->second);
      member.record.leaving = true;
      member.listed = false;
      SetResponsiveness(member, probe->second, this->options.probes, aNow);
      aMembers.emplace(id, std::move(member));
    }
  }
}

bool
PlannerTask::AreMostUnresponsive(const PlannerMembers& aMembers) const
{
  std::size_t unresponsive = 0;
  for (const auto& [id, member] : aMembers) {
    unresponsive += member.unresponsive ? 1 : 0;
  }
  return unresponsive * 2 > aMembers.size();
}

} // namespace apricottrack
