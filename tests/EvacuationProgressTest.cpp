#include "operators/EvacuationProgress.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

NodeStatus
MakeNode(std::string aName, std::string_view aStatus)
{
  NodeStatus node;
  node.node = std::move(aName);
  node.status = boost::json::parse(aStatus).as_object();
  return node;
}

constexpr std::string_view kHasZone =
  R"({"evacuated_zones":[{"zone":"a","vms":4,"unresponsive_vms":1,"requests":2}]})";

} // namespace

TEST_CASE(
  "MeasureEvacuations lists nodes without the zone, of an older version "
  "and without response as outdated")
{
  const auto zones =
    MeasureEvacuations({ "a" },
                       { MakeNode("n1", kHasZone),
                         MakeNode("n2", R"({"evacuated_zones":[]})"),
                         MakeNode("n3", R"({"node":"n3"})"),
                         MakeNode("n4", "{}") });
  REQUIRE(zones.size() == 1);
  CHECK(zones[0] == EvacuationProgress{ .zone = "a",
                                        .isEvacuated = true,
                                        .outdatedNodes = { "n2", "n3", "n4" },
                                        .nodes = 4,
                                        .vms = 4,
                                        .unresponsiveVms = 1,
                                        .requests = 2 });
}

TEST_CASE("MeasureEvacuations states the highest counts of all nodes")
{
  const auto zones = MeasureEvacuations(
    { "a" },
    { MakeNode("n1", kHasZone),
      MakeNode(
        "n2",
        R"({"evacuated_zones":[{"zone":"a","vms":3,"unresponsive_vms":0,"requests":7}]})") });
  REQUIRE(zones.size() == 1);
  CHECK(zones[0].outdatedNodes.empty());
  CHECK(zones[0].vms == 4);
  CHECK(zones[0].unresponsiveVms == 1);
  CHECK(zones[0].requests == 7);
}

TEST_CASE("MeasureEvacuations lists a zone that was taken back until all nodes "
          "have taken it back")
{
  const auto zones = MeasureEvacuations(
    {},
    { MakeNode("n1", kHasZone), MakeNode("n2", R"({"evacuated_zones":[]})") });
  REQUIRE(zones.size() == 1);
  CHECK_FALSE(zones[0].isEvacuated);
  CHECK(zones[0].outdatedNodes == std::vector<std::string>{ "n1" });
  CHECK(MeasureEvacuations({}, { MakeNode("n2", R"({"evacuated_zones":[]})") })
          .empty());
}

TEST_CASE("MeasureEvacuations without a node lists the zones of the store")
{
  const auto zones = MeasureEvacuations({ "a", "b" }, {});
  REQUIRE(zones.size() == 2);
  CHECK(zones[1].zone == "b");
  CHECK(zones[1].nodes == 0);
}

TEST_CASE("RenderEvacuation names the nodes without the zone")
{
  CHECK(RenderEvacuation({ .zone = "a",
                           .isEvacuated = true,
                           .outdatedNodes = { "n2" },
                           .nodes = 3,
                           .vms = 4,
                           .unresponsiveVms = 1,
                           .requests = 2 }) ==
        "zone a              evacuated at 2 of 3 nodes (not at n2), 4 VMs (1 "
        "not responding), 2 requests running\n");
}
