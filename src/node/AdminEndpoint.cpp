#include "node/AdminEndpoint.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

AdminEndpoint::AdminEndpoint(NodeContext& aContext)
  : context(aContext)
{
}

Task<void>
AdminEndpoint::Handle(HttpExchange& aExchange)
{
  const auto target = aExchange.Request().target();
  co_await aExchange.Reply(
    this->BuildResponse(std::string_view(target.data(), target.size())));
}

HttpResponse
AdminEndpoint::BuildResponse(std::string_view aPath)
{
  if (aPath == "/healthz") {
    return this->BuildHealthResponse();
  }
  if (aPath == "/metrics") {
    return this->BuildMetricsResponse();
  }
  if (aPath == "/status") {
    return this->BuildStatusResponse();
  }
  if (aPath == "/report") {
    return JsonResponse(200, EncodeBurnLedger(this->context.burnLedger));
  }
  return JsonResponse(404, R"({"error":{"code":"unknown_path"}})");
}

HttpResponse
AdminEndpoint::BuildHealthResponse() const
{
  const bool ready = !this->context.draining &&
                     this->context.configuration.Current() != nullptr &&
                     this->context.view.KnowsEvacuatedZones();
  return JsonResponse(ready ? 200 : 503,
                      ready ? R"({"ready":true})" : R"({"ready":false})");
}

HttpResponse
AdminEndpoint::BuildMetricsResponse()
{
  Counters& counters = this->context.counters;
  const auto version = this->context.configuration.Stored().version;
  counters.Set("configuration_version", {}, static_cast<double>(version));
  counters.Set("requests_in_flight", {}, this->context.requestsInFlight);
  this->context.callerMemory.ExportCounts(counters);
  for (const auto& [name, dispatcher] : this->context.dispatchers) {
    counters.Set("requests_waiting",
                 { { "service", name } },
                 dispatcher->WaitingRequests());
    counters.Set("targets_serving",
                 { { "service", name } },
                 static_cast<double>(dispatcher->TargetRouter().TargetCount()));
  }
  HttpResponse response = JsonResponse(200, counters.Text());
  response.set(boost::beast::http::field::content_type,
               "text/plain; version=0.0.4");
  return response;
}

HttpResponse
AdminEndpoint::BuildStatusResponse() const
{
  json::array groups;
  for (const GroupStatus& status :
       this->context.view.GroupStatuses(MonotonicNow())) {
    json::array members;
    for (const PlannedMember& member : status.assignment.members) {
      members.emplace_back(member.vm);
    }
    groups.push_back(
      json::object{ { "group", status.assignment.group },
                    { "service", status.assignment.service },
                    { "domain", status.domain },
                    { "epoch", status.assignment.epoch },
                    { "state", GateReasonName(status.verdict.reason) },
                    { "vm", status.verdict.vm },
                    { "members", std::move(members) } });
  }
  json::object services;
  for (const auto& [name, dispatcher] : this->context.dispatchers) {
    services[name] =
      json::object{ { "targets", dispatcher->TargetRouter().TargetCount() },
                    { "slots", dispatcher->TargetRouter().TotalSlots() },
                    { "waiting", dispatcher->WaitingRequests() } };
  }
  json::array zones;
  for (const ZoneStatus& zone :
       this->context.view.EvacuatedZoneStatuses(MonotonicNow())) {
    zones.push_back(json::object{ { "zone", zone.zone },
                                  { "vms", zone.vms },
                                  { "unresponsive_vms", zone.unresponsiveVms },
                                  { "requests", zone.requests } });
  }
  const StoredConfiguration& stored = this->context.configuration.Stored();
  const json::object status{ { "node", this->context.settings.node },
                             { "incarnation", this->context.incarnation },
                             { "availability_zone",
                               this->context.settings.availabilityZone },
                             { "draining", this->context.draining },
                             { "configuration_version", stored.version },
                             { "submission", stored.submission },
                             { "in_flight", this->context.requestsInFlight },
                             { "vms", this->context.view.Vms().size() },
                             { "evacuated_zones", zones },
                             { "groups", groups },
                             { "services", services } };
  return JsonResponse(200, json::serialize(status));
}

} // namespace apricottrack
