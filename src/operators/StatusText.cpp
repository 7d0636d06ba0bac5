#include "operators/StatusText.h"

#include "base/JsonFields.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

namespace json = boost::json;

namespace {

std::string
RenderNode(const NodeStatus& aNode)
{
  if (aNode.status.empty()) {
    return fmt::format("node {:<12} is not responding\n", aNode.node);
  }
  return fmt::format(
    "node {:<12} zone {:<14} configuration {:<4} in flight {:<4}{}\n",
    aNode.node,
    JsonText(aNode.status, "availability_zone"),
    JsonInteger(aNode.status, "configuration_version"),
    JsonInteger(aNode.status, "in_flight"),
    JsonFlag(aNode.status, "draining") ? " draining" : "");
}

std::string
RenderGroups(const json::object& aStatus)
{
  std::string text;
  const json::array* const groups = JsonArray(aStatus, "groups");
  if (groups == nullptr) {
    return text;
  }
  for (const json::value& item : *groups) {
    const json::object& group = item.as_object();
    const std::string vm = JsonText(group, "vm");
    text += fmt::format("group {:<14} domain {:<12} epoch {:<4} {}{}\n",
                        JsonText(group, "group"),
                        JsonText(group, "domain"),
                        JsonInteger(group, "epoch"),
                        JsonText(group, "state"),
                        vm.empty() ? "" : " (" + vm + ")");
  }
  return text;
}

} // namespace

std::string
RenderNodeStatuses(const std::vector<NodeStatus>& aNodes)
{
  std::string text;
  for (const NodeStatus& node : aNodes) {
    text += RenderNode(node);
  }
  const auto responding =
    std::find_if(aNodes.begin(), aNodes.end(), [](const NodeStatus& aNode) {
      return !aNode.status.empty();
    });
  return responding == aNodes.end() ? text
                                    : text + RenderGroups(responding->status);
}

} // namespace apricottrack
