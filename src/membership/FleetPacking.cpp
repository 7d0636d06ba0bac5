#include "membership/FleetPacking.h"

#include "membership/LimitPacking.h"

namespace apricottrack::detail {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using TextOffsets = std::vector<flatbuffers::Offset<flatbuffers::String>>;
using TextVector =
  flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

TextOffsets
PackTexts(Builder& aBuilder, const std::vector<std::string>& aTexts)
{
  TextOffsets offsets;
  for (const std::string& text : aTexts) {
    offsets.push_back(aBuilder.CreateString(text));
  }
  return offsets;
}

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string{} : aText->str();
}

std::vector<std::string>
TextsOf(const TextVector* aTexts)
{
  std::vector<std::string> texts;
  if (aTexts != nullptr) {
    for (const flatbuffers::String* const text : *aTexts) {
      texts.push_back(text->str());
    }
  }
  return texts;
}

std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

flatbuffers::Offset<wire::TargetState>
PackTarget(Builder& aBuilder, const TargetRecord& aRecord)
{
  const TextOffsets staged = PackTexts(aBuilder, aRecord.stagedModels);
  const Membership membership = aRecord.membership.value_or(Membership{});
  return wire::CreateTargetStateDirect(
    aBuilder,
    aRecord.id.c_str(),
    aRecord.service.c_str(),
    aRecord.address.c_str(),
    aRecord.availabilityZone.c_str(),
    aRecord.fabricDomain.c_str(),
    aRecord.slots,
    aRecord.leaving,
    aRecord.model.c_str(),
    &staged,
    membership.replica.c_str(),
    membership.epoch,
    membership.rank,
    static_cast<std::uint8_t>(membership.state),
    aRecord.startedAt,
    aRecord.revision);
}

TargetRecord
UnpackTarget(const wire::TargetState& aState)
{
  TargetRecord record{
    .id = TextOf(aState.id()),
    .service = TextOf(aState.service()),
    .address = TextOf(aState.address()),
    .availabilityZone = TextOf(aState.availability_zone()),
    .fabricDomain = TextOf(aState.fabric_domain()),
    .slots = aState.slots(),
    .leaving = aState.leaving(),
    .model = TextOf(aState.model()),
    .stagedModels = TextsOf(aState.staged_models()),
    .membership = std::nullopt,
    .startedAt = aState.started_at(),
    .revision = aState.revision(),
  };
  const std::string replica = TextOf(aState.replica());
  // Values above the known states are decoded as kBroken.
  const auto state = std::min<std::uint8_t>(
    aState.member_state(), static_cast<std::uint8_t>(MemberState::kBroken));
  if (!replica.empty()) {
    record.membership = Membership{ .replica = replica,
                                    .epoch = aState.epoch(),
                                    .rank = aState.rank(),
                                    .state = static_cast<MemberState>(state) };
  }
  return record;
}

std::vector<flatbuffers::Offset<wire::ModelDemand>>
PackModelDemands(Builder& aBuilder, const ModelDemands& aDemands)
{
  std::vector<flatbuffers::Offset<wire::ModelDemand>> demands;
  for (const auto& [model, demand] : aDemands) {
    demands.push_back(wire::CreateModelDemandDirect(aBuilder,
                                                    model.c_str(),
                                                    demand.requests,
                                                    demand.promptTokens,
                                                    demand.outputTokens));
  }
  return demands;
}

ModelDemands
UnpackModelDemands(
  const flatbuffers::Vector<flatbuffers::Offset<wire::ModelDemand>>* aItems)
{
  ModelDemands demands;
  if (aItems != nullptr) {
    for (const wire::ModelDemand* const demand : *aItems) {
      demands[TextOf(demand->model())] = {
        .requests = demand->requests(),
        .promptTokens = demand->prompt_tokens(),
        .outputTokens = demand->output_tokens(),
      };
    }
  }
  return demands;
}

std::vector<flatbuffers::Offset<wire::LoadSample>>
PackLoads(Builder& aBuilder, const std::vector<LoadSample>& aLoads)
{
  std::vector<flatbuffers::Offset<wire::LoadSample>> loads;
  loads.reserve(aLoads.size());
  for (const LoadSample& sample : aLoads) {
    loads.push_back(wire::CreateLoadSampleDirect(
      aBuilder,
      sample.target.c_str(),
      sample.requests,
      static_cast<std::uint32_t>(ToMilliseconds(sample.age))));
  }
  return loads;
}

std::vector<LoadSample>
UnpackLoads(
  const flatbuffers::Vector<flatbuffers::Offset<wire::LoadSample>>* aItems)
{
  std::vector<LoadSample> loads;
  if (aItems != nullptr) {
    for (const wire::LoadSample* const sample : *aItems) {
      loads.push_back({ .target = TextOf(sample->target()),
                        .requests = sample->requests(),
                        .age = milliseconds(sample->age_ms()) });
    }
  }
  return loads;
}

std::vector<flatbuffers::Offset<wire::LostRequest>>
PackLostRequests(Builder& aBuilder, const std::vector<LostRequest>& aRequests)
{
  std::vector<flatbuffers::Offset<wire::LostRequest>> requests;
  requests.reserve(aRequests.size());
  for (const LostRequest& request : aRequests) {
    const TextOffsets parts = PackTexts(aBuilder, request.parts);
    requests.push_back(wire::CreateLostRequestDirect(
      aBuilder,
      request.target.c_str(),
      &parts,
      static_cast<std::uint32_t>(ToMilliseconds(request.age)),
      request.attempt.c_str(),
      static_cast<std::uint32_t>(ToMilliseconds(request.runTime))));
  }
  return requests;
}

std::vector<LostRequest>
UnpackLostRequests(
  const flatbuffers::Vector<flatbuffers::Offset<wire::LostRequest>>* aItems)
{
  std::vector<LostRequest> requests;
  if (aItems != nullptr) {
    for (const wire::LostRequest* const request : *aItems) {
      requests.push_back({ .target = TextOf(request->target()),
                           .parts = TextsOf(request->parts()),
                           .attempt = TextOf(request->attempt()),
                           .runTime = milliseconds(request->run_ms()),
                           .age = milliseconds(request->age_ms()) });
    }
  }
  return requests;
}

std::vector<flatbuffers::Offset<wire::PartAnswers>>
PackPartAnswers(Builder& aBuilder, const std::vector<PartAnswers>& aAnswers)
{
  std::vector<flatbuffers::Offset<wire::PartAnswers>> answers;
  answers.reserve(aAnswers.size());
  for (const PartAnswers& item : aAnswers) {
    answers.push_back(
      wire::CreatePartAnswersDirect(aBuilder, item.part.c_str(), item.count));
  }
  return answers;
}

std::vector<PartAnswers>
UnpackPartAnswers(
  const flatbuffers::Vector<flatbuffers::Offset<wire::PartAnswers>>* aItems)
{
  std::vector<PartAnswers> answers;
  if (aItems != nullptr) {
    for (const wire::PartAnswers* const item : *aItems) {
      answers.push_back(
        { .part = TextOf(item->part()), .count = item->count() });
    }
  }
  return answers;
}

std::vector<flatbuffers::Offset<wire::QuarantinedPart>>
PackQuarantinedParts(Builder& aBuilder,
                     const std::vector<QuarantinedParts>& aCombinations)
{
  std::vector<flatbuffers::Offset<wire::QuarantinedPart>> parts;
  parts.reserve(aCombinations.size());
  for (const QuarantinedParts& item : aCombinations) {
    const TextOffsets names = PackTexts(aBuilder, item.parts);
    parts.push_back(wire::CreateQuarantinedPartDirect(
      aBuilder,
      item.parts.size() == 1 ? item.parts.front().c_str() : nullptr,
      static_cast<std::uint32_t>(ToMilliseconds(item.remaining)),
      &names));
  }
  return parts;
}

std::vector<QuarantinedParts>
UnpackQuarantinedParts(
  const flatbuffers::Vector<flatbuffers::Offset<wire::QuarantinedPart>>* aItems)
{
  std::vector<QuarantinedParts> combinations;
  if (aItems != nullptr) {
    for (const wire::QuarantinedPart* const item : *aItems) {
      QuarantinedParts combination{ .parts = TextsOf(item->parts()),
                                    .remaining =
                                      milliseconds(item->remaining_ms()) };
      if (combination.parts.empty()) {
        combination.parts = { TextOf(item->part()) };
      }
      combinations.push_back(std::move(combination));
    }
  }
  return combinations;
}

} // namespace

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const FleetQuestion& aMessage)
{
  const auto lostRequests = PackLostRequests(aBuilder, aMessage.lostRequests);
  const auto partAnswers = PackPartAnswers(aBuilder, aMessage.partAnswers);
  const auto quarantinedParts =
    PackQuarantinedParts(aBuilder, aMessage.quarantinedParts);
  const auto demands = PackModelDemands(aBuilder, aMessage.demands);
  const auto loads = PackLoads(aBuilder, aMessage.loads);
  const auto limits = PackLimits(aBuilder, aMessage.limits);
  return wire::CreateFleetQuestionDirect(
           aBuilder,
           aMessage.node.c_str(),
           aMessage.source.c_str(),
           aMessage.sequence,
           aMessage.catalogRevision,
           static_cast<std::uint32_t>(ToMilliseconds(aMessage.wait)),
           &demands,
           aMessage.wantsCatalog,
           &loads,
           &lostRequests,
           &partAnswers,
           &quarantinedParts,
           &limits,
           aMessage.forwardAddress.c_str())
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const FleetAnswer& aMessage)
{
  std::vector<flatbuffers::Offset<wire::TargetState>> targets;
  for (const TargetRecord& record : aMessage.targets) {
    targets.push_back(PackTarget(aBuilder, record));
  }
  const TextOffsets gone = PackTexts(aBuilder, aMessage.gone);
  const TextOffsets broken = PackTexts(aBuilder, aMessage.broken);
  const TextOffsets vouched = PackTexts(aBuilder, aMessage.vouched);
  const auto loads = PackLoads(aBuilder, aMessage.loads);
  const auto limits = PackLimits(aBuilder, aMessage.limits);
  const auto demands = PackModelDemands(aBuilder, aMessage.demands);
  const TextOffsets suspectedParts =
    PackTexts(aBuilder, aMessage.suspectedParts);
  const auto quarantinedParts =
    PackQuarantinedParts(aBuilder, aMessage.quarantinedParts);
  const TextOffsets forwardAddresses =
    PackTexts(aBuilder, aMessage.forwardAddresses);
  const TextOffsets evacuatedZones =
    PackTexts(aBuilder, aMessage.evacuatedZones);
  const auto coldTargets = PackColdTargets(aBuilder, aMessage.coldTargets);
  return wire::CreateFleetAnswerDirect(
           aBuilder,
           aMessage.source.c_str(),
           aMessage.leads,
           aMessage.sequence,
           aMessage.catalogRevision,
           ToMilliseconds(aMessage.catalogAge),
           ToMilliseconds(aMessage.fleetAge),
           aMessage.complete,
           &targets,
           &gone,
           &broken,
           &vouched,
           static_cast<std::uint32_t>(std::max(0, aMessage.nodes)),
           aMessage.catalog.c_str(),
           &loads,
           &demands,
           &suspectedParts,
           &quarantinedParts,
           &limits,
           &forwardAddresses,
           &evacuatedZones,
           aMessage.evacuationRevision,
           &coldTargets)
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const StallNotice& aMessage)
{
  const TextOffsets targets = PackTexts(aBuilder, aMessage.targets);
  return wire::CreateStallNoticeDirect(
           aBuilder, aMessage.node.c_str(), &targets)
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const CrashReport& aMessage)
{
  const auto lostRequests = PackLostRequests(aBuilder, aMessage.lostRequests);
  const auto partAnswers = PackPartAnswers(aBuilder, aMessage.partAnswers);
  const auto quarantinedParts =
    PackQuarantinedParts(aBuilder, aMessage.quarantinedParts);
  return wire::CreateCrashReportDirect(aBuilder,
                                       aMessage.node.c_str(),
                                       &lostRequests,
                                       &partAnswers,
                                       &quarantinedParts)
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const CrashVerdict& aMessage)
{
  const TextOffsets suspectedParts =
    PackTexts(aBuilder, aMessage.suspectedParts);
  const auto quarantinedParts =
    PackQuarantinedParts(aBuilder, aMessage.quarantinedParts);
  return wire::CreateCrashVerdictDirect(
           aBuilder, &suspectedParts, &quarantinedParts)
    .Union();
}

FleetQuestion
Unpack(const wire::FleetQuestion& aBody)
{
  return FleetQuestion{ .node = TextOf(aBody.node()),
                        .source = TextOf(aBody.source()),
                        .sequence = aBody.sequence(),
                        .catalogRevision = aBody.catalog_revision(),
                        .wait = milliseconds(aBody.wait_ms()),
                        .demands = UnpackModelDemands(aBody.demands()),
                        .wantsCatalog = aBody.wants_catalog(),
                        .loads = UnpackLoads(aBody.loads()),
                        .lostRequests =
                          UnpackLostRequests(aBody.lost_requests()),
                        .partAnswers = UnpackPartAnswers(aBody.part_answers()),
                        .quarantinedParts =
                          UnpackQuarantinedParts(aBody.quarantined_parts()),
                        .limits = UnpackLimits(aBody.request_limits()),
                        .forwardAddress = TextOf(aBody.forward_address()) };
}

FleetAnswer
Unpack(const wire::FleetAnswer& aBody)
{
  FleetAnswer answer{ .source = TextOf(aBody.source()),
                      .leads = aBody.leads(),
                      .sequence = aBody.sequence(),
                      .catalogRevision = aBody.catalog_revision(),
                      .catalogAge = milliseconds(aBody.catalog_age_ms()),
                      .fleetAge = milliseconds(aBody.fleet_age_ms()),
                      .complete = aBody.complete(),
                      .targets = {},
                      .gone = TextsOf(aBody.gone()),
                      .broken = TextsOf(aBody.broken()),
                      .vouched = TextsOf(aBody.vouched()),
                      .nodes = static_cast<int>(aBody.nodes()),
                      .catalog = TextOf(aBody.catalog()),
                      .loads = UnpackLoads(aBody.loads()),
                      .demands = UnpackModelDemands(aBody.demands()),
                      .suspectedParts = TextsOf(aBody.suspected_parts()),
                      .quarantinedParts =
                        UnpackQuarantinedParts(aBody.quarantined_parts()),
                      .limits = UnpackLimits(aBody.request_limits()),
                      .forwardAddresses = TextsOf(aBody.forward_addresses()),
                      .evacuatedZones = TextsOf(aBody.evacuated_zones()),
                      .evacuationRevision = aBody.evacuation_revision(),
                      .coldTargets = UnpackColdTargets(aBody.cold_targets()) };
  if (aBody.targets() != nullptr) {
    for (const wire::TargetState* const target : *aBody.targets()) {
      answer.targets.push_back(UnpackTarget(*target));
    }
  }
  return answer;
}

StallNotice
Unpack(const wire::StallNotice& aBody)
{
  return StallNotice{ .node = TextOf(aBody.node()),
                      .targets = TextsOf(aBody.targets()) };
}

CrashReport
Unpack(const wire::CrashReport& aBody)
{
  return CrashReport{ .node = TextOf(aBody.node()),
                      .lostRequests = UnpackLostRequests(aBody.lost_requests()),
                      .partAnswers = UnpackPartAnswers(aBody.part_answers()),
                      .quarantinedParts =
                        UnpackQuarantinedParts(aBody.quarantined_parts()) };
}

CrashVerdict
Unpack(const wire::CrashVerdict& aBody)
{
  return CrashVerdict{ .suspectedParts = TextsOf(aBody.suspected_parts()),
                       .quarantinedParts =
                         UnpackQuarantinedParts(aBody.quarantined_parts()) };
}

} // namespace apricottrack::detail
