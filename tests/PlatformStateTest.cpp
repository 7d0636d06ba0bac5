#include "node/PlatformState.h"

#include "kv/PlatformKeys.h"
#include "node/NodeContext.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

/// A node with one VM in zone "a".
struct StateNode
{
  StateNode()
  {
    this->context.view.SetVms(
      { Vm{ .id = "v", .address = "v:1", .availabilityZone = "a" } });
  }

  std::size_t EvacuatedVms() const
  {
    return this->context.view.EvacuatedVms().size();
  }

  static KeyValue Zones(std::string aText, Revision aRevision)
  {
    return KeyValue{ .key = std::string(keys::kEvacuatedZonesKey),
                     .value = std::move(aText),
                     .revision = aRevision };
  }

  boost::asio::io_context io;
  Settings settings;
  NodeContext context{
    .settings = this->settings,
    .executor = this->io.get_executor(),
    .incarnation = "i",
    .counters = {},
    .burnLedger = {},
    .configuration = {},
    .limiter = {},
    .directory = NodeDirectory("n"),
    .view = NodeView(std::make_unique<IntactGroupGate>(seconds(2)), seconds(2)),
    .targetPool = HttpConnectionPool(this->io.get_executor(),
                                     HttpConnectionPool::Options{}),
    .callerMemory = ByteBudget(ByteBudget::Options{}),
    .targetLimits = TargetLimits(TargetLimits::Options{}, 1),
    .targetPauses = TargetPauses(TargetPauses::Options{}),
    .retryPolicy = {},
    .dispatchers = {},
    .journals = {},
  };
  PlatformState state{ this->context, [](const std::string&, Revision) {} };
};

} // namespace

TEST_CASE("PlatformState knows the evacuated zones once it has a complete list")
{
  StateNode node;
  node.state.Apply({}, false);
  CHECK_FALSE(node.context.view.KnowsEvacuatedZones());
  node.state.Apply({}, true);
  CHECK(node.context.view.KnowsEvacuatedZones());
  CHECK(node.EvacuatedVms() == 0);
}

TEST_CASE("PlatformState applies evacuated zones from lists and changes")
{
  StateNode node;
  node.state.Apply({ StateNode::Zones(R"(["a"])", 5) }, true);
  CHECK(node.EvacuatedVms() == 1);
  node.state.Apply({ StateNode::Zones("[]", 6) }, false);
  CHECK(node.EvacuatedVms() == 0);
  node.state.Apply({ StateNode::Zones(R"(["a"])", 5) }, true);
  CHECK(node.EvacuatedVms() == 0);
}

TEST_CASE(
  "PlatformState keeps the evacuated zones if their key is deleted, not "
  "listed or unreadable")
{
  StateNode node;
  node.state.Apply({ StateNode::Zones(R"(["a"])", 5) }, false);
  node.state.Apply({ StateNode::Zones("", 0) }, false);
  CHECK(node.EvacuatedVms() == 1);
  node.state.Apply({}, true);
  CHECK(node.EvacuatedVms() == 1);
  node.state.Apply({ StateNode::Zones("{}", 7) }, true);
  CHECK(node.EvacuatedVms() == 1);
}

TEST_CASE("PlatformState does not know the evacuated zones after an unreadable "
          "first value")
{
  StateNode node;
  node.state.Apply({ StateNode::Zones("{}", 7) }, true);
  CHECK_FALSE(node.context.view.KnowsEvacuatedZones());
}
