#include "groups/Vm.h"

#include "base/JsonFields.h"

namespace apricottrack {

namespace json = boost::json;

Result<VmList>
ParseVmList(std::string_view aText, std::string_view aAddress)
{
  const auto reply = ParseJsonObject(aText, "vm_list.read", aAddress);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  const json::array* const items = JsonArray(*reply, "vms");
  if (items == nullptr) {
    return Failure(
      ErrorCode::kBadReply, "vm_list.read", aAddress, "\"vms\" is missing");
  }
  VmList vms;
  for (const json::value& item : *items) {
    const json::object* const object = item.if_object();
    if (object == nullptr) {
      continue;
    }
    vms.push_back(Vm{
      .id = JsonText(*object, "vm"),
      .address = JsonText(*object, "address"),
      .availabilityZone = JsonText(*object, "availability_zone"),
      .fabricDomain = JsonText(*object, "fabric_domain"),
      .role = JsonText(*object, "role"),
      .state = JsonText(*object, "state") == "leaving" ? VmState::kLeaving
                                                       : VmState::kLive,
    });
  }
  return vms;
}

Result<MemberReport>
ParseMemberReport(std::string_view aText,
                  std::string_view aAddress,
                  Instant aProbedAt)
{
  const auto reply = ParseJsonObject(aText, "target.probe", aAddress);
  if (!reply) {
    return tl::unexpected(reply.error());
  }
  MemberReport report;
  report.incarnation = JsonText(*reply, "incarnation");
  report.ready = JsonFlag(*reply, "ready");
  report.requests = static_cast<int>(JsonInteger(*reply, "running") +
                                     JsonInteger(*reply, "queued"));
  report.probedAt = aProbedAt;
  if (const json::object* const order = JsonObject(*reply, "order")) {
    report.group = JsonText(*order, "group");
    report.epoch = static_cast<std::uint64_t>(JsonInteger(*order, "epoch"));
  }
  if (report.incarnation.empty()) {
    return Failure(ErrorCode::kBadReply,
                   "target.probe",
                   aAddress,
                   "\"incarnation\" is missing");
  }
  return report;
}

} // namespace apricottrack
