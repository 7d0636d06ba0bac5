#include "membership/PeerMessages.h"

#include "membership/FleetPacking.h"

#include <wire/peer_generated.h>

namespace apricottrack {

namespace {

using detail::Pack;
using Builder = flatbuffers::FlatBufferBuilder;
using DemandOffsets = std::vector<flatbuffers::Offset<wire::AccountDemand>>;

DemandOffsets
PackDemands(Builder& aBuilder, const Demands& aDemands)
{
  DemandOffsets offsets;
  for (const auto& [account, rates] : aDemands) {
    offsets.push_back(wire::CreateAccountDemandDirect(
      aBuilder, account.c_str(), rates.requests, rates.tokens));
  }
  return offsets;
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const DemandReport& aMessage)
{
  const DemandOffsets demands = PackDemands(aBuilder, aMessage.demands);
  return wire::CreateDemandReportDirect(aBuilder,
                                        aMessage.node.c_str(),
                                        aMessage.configurationVersion,
                                        &demands)
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const DemandTotals& aMessage)
{
  const DemandOffsets totals = PackDemands(aBuilder, aMessage.totals);
  return wire::CreateDemandTotalsDirect(
           aBuilder, aMessage.configurationVersion, &totals)
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const ConfigurationRequest& aMessage)
{
  return wire::CreateConfigurationRequest(aBuilder, aMessage.knownVersion)
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const StoredConfiguration& aMessage)
{
  return wire::CreateConfigurationReplyDirect(aBuilder,
                                              aMessage.version,
                                              aMessage.submission.c_str(),
                                              aMessage.submittedAt,
                                              aMessage.text.c_str())
    .Union();
}

flatbuffers::Offset<void>
Pack(Builder& aBuilder, const Receipt&)
{
  return wire::CreateReceipt(aBuilder).Union();
}

std::string
TextOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string{} : aText->str();
}

Demands
UnpackDemands(
  const flatbuffers::Vector<flatbuffers::Offset<wire::AccountDemand>>* aItems)
{
  Demands demands;
  if (aItems != nullptr) {
    for (const wire::AccountDemand* const item : *aItems) {
      demands[TextOf(item->account())] =
        Rates{ .requests = item->requests(), .tokens = item->tokens() };
    }
  }
  return demands;
}

PeerMessage
Unpack(const wire::DemandReport& aBody)
{
  return DemandReport{ .node = TextOf(aBody.node()),
                       .configurationVersion = aBody.configuration_version(),
                       .demands = UnpackDemands(aBody.demands()) };
}

PeerMessage
Unpack(const wire::ConfigurationReply& aBody)
{
  return StoredConfiguration{ .version = aBody.version(),
                              .submission = TextOf(aBody.submission()),
                              .submittedAt = aBody.submitted_at(),
                              .text = TextOf(aBody.text()) };
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  static constexpr wire::Body kBodyTypes[] = {
    wire::Body::DemandReport,         wire::Body::DemandTotals,
    wire::Body::ConfigurationRequest, wire::Body::ConfigurationReply,
    wire::Body::FleetQuestion,        wire::Body::FleetAnswer,
    wire::Body::StallNotice,          wire::Body::Receipt,
    wire::Body::CrashReport,          wire::Body::CrashVerdict,
  };
  Builder builder;
  const auto body = std::visit(
    [&builder](const auto& aBody) { return Pack(builder, aBody); }, aMessage);
  wire::FinishFrameBuffer(
    builder, wire::CreateFrame(builder, kBodyTypes[aMessage.index()], body));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

Result<PeerMessage>
ParsePeerMessage(std::string_view aBytes, std::string_view aPeer)
{
  const auto* const bytes =
    reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    return Failure(ErrorCode::kBadReply,
                   "peer.parse",
                   aPeer,
                   "the message fails FlatBuffers verification");
  }
  const wire::Frame& frame = *wire::GetFrame(bytes);
  if (const auto* const report = frame.body_as_DemandReport()) {
    return Unpack(*report);
  }
  if (const auto* const totals = frame.body_as_DemandTotals()) {
    return DemandTotals{ .configurationVersion =
                           totals->configuration_version(),
                         .totals = UnpackDemands(totals->totals()) };
  }
  if (const auto* const request = frame.body_as_ConfigurationRequest()) {
    return ConfigurationRequest{ .knownVersion = request->known_version() };
  }
  if (const auto* const reply = frame.body_as_ConfigurationReply()) {
    return Unpack(*reply);
  }
  if (const auto* const question = frame.body_as_FleetQuestion()) {
    return detail::Unpack(*question);
  }
  if (const auto* const answer = frame.body_as_FleetAnswer()) {
    return detail::Unpack(*answer);
  }
  if (const auto* const notice = frame.body_as_StallNotice()) {
    return detail::Unpack(*notice);
  }
  if (const auto* const report = frame.body_as_CrashReport()) {
    return detail::Unpack(*report);
  }
  if (const auto* const verdict = frame.body_as_CrashVerdict()) {
    return detail::Unpack(*verdict);
  }
  if (frame.body_as_Receipt() != nullptr) {
    return Receipt{};
  }
  return Failure(ErrorCode::kBadReply,
                 "peer.parse",
                 aPeer,
                 "the message has no body of a known type");
}

} // namespace apricottrack
