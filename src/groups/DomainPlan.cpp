#include "groups/DomainPlan.h"

#include "base/JsonFields.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

namespace {

json::object
EncodeAssignment(const Assignment& aAssignment)
{
  json::array members;
  for (const PlannedMember& member : aAssignment.members) {
    members.push_back(json::object{ { "vm", member.vm },
                                    { "incarnation", member.incarnation },
                                    { "address", member.address } });
  }
  const bool draining = aAssignment.state == AssignmentState::kDraining;
  return json::object{ { "group", aAssignment.group },
                       { "set", aAssignment.set },
                       { "service", aAssignment.service },
                       { "epoch", aAssignment.epoch },
                       { "state", draining ? "draining" : "active" },
                       { "draining_since", aAssignment.drainingSince },
                       { "members", std::move(members) } };
}

Assignment
ReadAssignment(const json::object& aObject)
{
  Assignment assignment{
    .group = JsonText(aObject, "group"),
    .set = JsonText(aObject, "set"),
    .service = JsonText(aObject, "service"),
    .epoch = static_cast<std::uint64_t>(JsonInteger(aObject, "epoch")),
    .state = JsonText(aObject, "state") == "draining"
               ? AssignmentState::kDraining
               : AssignmentState::kActive,
    .drainingSince = JsonInteger(aObject, "draining_since"),
    .members = {},
  };
  if (const json::array* const members = JsonArray(aObject, "members")) {
    for (const json::value& item : *members) {
      if (const json::object* const member = item.if_object()) {
        assignment.members.push_back(
          PlannedMember{ .vm = JsonText(*member, "vm"),
                         .incarnation = JsonText(*member, "incarnation"),
                         .address = JsonText(*member, "address") });
      }
    }
  }
  return assignment;
}

} // namespace

std::string
EncodeDomainPlan(const DomainPlan& aPlan)
{
  json::array assignments;
  for (const Assignment& assignment : aPlan.assignments) {
    assignments.push_back(EncodeAssignment(assignment));
  }
  json::array releases;
  for (const Release& release : aPlan.releases) {
    releases.push_back(json::object{ { "vm", release.vm },
                                     { "incarnation", release.incarnation } });
  }
  return json::serialize(json::object{ { "domain", aPlan.domain },
                                       { "epoch", aPlan.epoch },
                                       { "author", aPlan.author },
                                       { "assignments", assignments },
                                       { "releases", releases } });
}

Result<DomainPlan>
ParseDomainPlan(std::string_view aText, std::string_view aAddress)
{
  const auto object = ParseJsonObject(aText, "plan.read", aAddress);
  if (!object) {
    return tl::unexpected(object.error());
  }
  DomainPlan plan{
    .domain = JsonText(*object, "domain"),
    .epoch = static_cast<std::uint64_t>(JsonInteger(*object, "epoch")),
    .author = JsonText(*object, "author"),
    .assignments = {},
    .releases = {},
  };
  if (const json::array* const items = JsonArray(*object, "assignments")) {
    for (const json::value& item : *items) {
      if (const json::object* const assignment = item.if_object()) {
        Assignment parsed = ReadAssignment(*assignment);
        if (!parsed.members.empty()) {
          plan.assignments.push_back(std::move(parsed));
        }
      }
    }
  }
  if (const json::array* const items = JsonArray(*object, "releases")) {
    for (const json::value& item : *items) {
      if (const json::object* const release = item.if_object()) {
        plan.releases.push_back(
          Release{ .vm = JsonText(*release, "vm"),
                   .incarnation = JsonText(*release, "incarnation") });
      }
    }
  }
  return plan;
}

} // namespace apricottrack
