#include "operators/StatusText.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE("RenderNodeStatuses lists all nodes, and the groups once")
{
  const auto status =
    boost::json::parse(R"({"availability_zone":"a","configuration_version":3,
      "in_flight":1,"draining":true,"groups":[{"group":"g-0","domain":"d",
      "epoch":2,"state":"zone_evacuated","vm":"v1"}]})")
      .as_object();
  NodeStatus silent;
  silent.node = "n1";
  NodeStatus first;
  first.node = "n2";
  first.status = status;
  NodeStatus second = first;
  second.node = "n3";
  CHECK(
    RenderNodeStatuses({ silent, first, second }) ==
    "node n1           is not responding\n"
    "node n2           zone a              configuration 3    in flight 1   "
    " draining\n"
    "node n3           zone a              configuration 3    in flight 1   "
    " draining\n"
    "group g-0            domain d            epoch 2    zone_evacuated "
    "(v1)\n");
}
