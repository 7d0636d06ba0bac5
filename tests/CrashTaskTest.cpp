#include "membership/CrashTask.h"

#include "quarantine/RequestIdentity.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <stdexcept>

using namespace apricottrack;

namespace {

const std::string&
Identity()
{
  static const std::string identity = RequestIdentity(
    HttpRequest(boost::beast::http::verb::get, "/deadly", 11), "account");
  return identity;
}

/// Returns addresses that are free at present.
std::vector<std::string>
FreeAddresses(boost::asio::io_context& aIo, int aCount)
{
  using boost::asio::ip::tcp;
  std::vector<tcp::acceptor> acceptors;
  std::vector<std::string> addresses;
  for (int i = 0; i < aCount; ++i) {
    acceptors.emplace_back(
      aIo, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    addresses.push_back(
      fmt::format("127.0.0.1:{}", acceptors.back().local_endpoint().port()));
  }
  return addresses;
}

/// One node's state, with its task and server.
struct CrashNode
{
  CrashNode(boost::asio::io_context& aIo, std::string aName)
    : name(std::move(aName))
    , directory(this->name)
    , task(aIo.get_executor(),
           CrashTask::Options{ .node = this->name },
           CrashTask::State{ .directory = this->directory,
                             .recorder = this->recorder,
                             .quarantine = this->quarantine,
                             .counters = this->counters },
           [this] { ++this->changes; })
  {
  }

  bool Refuses() const
  {
    return this->quarantine.RemainingFor({ Identity() }, MonotonicNow())
      .has_value();
  }

  std::string name;
  NodeDirectory directory;
  CrashRecorder recorder{ CrashRecorder::Options{} };
  PromptQuarantine quarantine;
  Counters counters;
  int changes = 0;
  CrashTask task;
  std::shared_ptr<PeerServer> server;
};

/// Four nodes on loopback that know each other.
class CrashFleet
{
public:
  static constexpr int kNodes = 4;

  CrashFleet()
    : addresses(FreeAddresses(this->io, kNodes))
  {
    for (int i = 0; i < kNodes; ++i) {
      this->nodes.push_back(
        std::make_unique<CrashNode>(this->io, fmt::format("node-{}", i)));
    }
    for (const auto& node : this->nodes) {
      for (int i = 0; i < kNodes; ++i) {
        node->directory.Set(
          { .node = fmt::format("node-{}", i),
            .incarnation = fmt::format("incarnation-{}", i),
            .peerAddress = this->addresses[static_cast<std::size_t>(i)] });
      }
    }
    this->collectors = this->nodes.front()->directory.OwnersOf("crashes", 2);
  }

  /// Starts all nodes but one, which stays silent.
  void Start(const std::string& aSilentNode = "")
  {
    for (int i = 0; i < kNodes; ++i) {
      CrashNode& node = *this->nodes[static_cast<std::size_t>(i)];
      if (node.name == aSilentNode) {
        continue;
      }
      auto made = PeerServer::Make(
        this->io.get_executor(),
        PeerServer::Options{ .address =
                               this->addresses[static_cast<std::size_t>(i)] },
        [&node](PeerMessage aMessage) -> Task<std::optional<PeerMessage>> {
          const auto* const report = std::get_if<CrashReport>(&aMessage);
          REQUIRE(report != nullptr);
          co_return node.task.HandleReport(*report, MonotonicNow());
        });
      REQUIRE(made);
      node.server = *made;
      node.task.Start();
    }
    this->io.run_for(milliseconds(300));
  }

  /// The request is lost with another target, at one of the nodes that run.
  void Crash(CrashNode& aNode)
  {
    const std::string number = std::to_string(this->crashCount++);
    aNode.recorder.OnLost("t" + number,
                          { Identity() },
                          { .attempt = "a" + number },
                          MonotonicNow());
    this->io.run_for(milliseconds(150));
  }

  CrashNode& Node(const std::string& aName)
  {
    for (const auto& node : this->nodes) {
      if (node->name == aName) {
        return *node;
      }
    }
    throw std::out_of_range(aName);
  }

  std::vector<CrashNode*> RunningNodes()
  {
    std::vector<CrashNode*> running;
    for (const auto& node : this->nodes) {
      if (node->server != nullptr) {
        running.push_back(node.get());
      }
    }
    return running;
  }

  boost::asio::io_context io;
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<CrashNode>> nodes;
  /// Names of the nodes that collect reports.
  std::vector<std::string> collectors;

private:
  int crashCount = 0;
};

} // namespace

// Guards against a request that crashes targets through each node anew, also
// beside a collector that does not answer.
TEST_CASE("CrashTask quarantines at all nodes what crashes targets at several")
{
  CrashFleet fleet;
  const bool isCollectorSilent = GENERATE(false, true);
  fleet.Start(isCollectorSilent ? fleet.collectors.front() : "");
  const std::vector<CrashNode*> nodes = fleet.RunningNodes();
  for (int i = 0; i < 3; ++i) {
    fleet.Crash(*nodes[static_cast<std::size_t>(i) % nodes.size()]);
  }
  fleet.io.run_for(seconds(3));
  for (const CrashNode* const node : nodes) {
    INFO(node->name);
    CHECK(node->Refuses());
    CHECK(node->changes >= 1);
  }
}

TEST_CASE("CrashTask names a suspect to all nodes after two crashes")
{
  CrashFleet fleet;
  fleet.Start();
  fleet.Crash(*fleet.nodes[0]);
  fleet.Crash(*fleet.nodes[1]);
  fleet.io.run_for(seconds(1));
  for (const auto& node : fleet.nodes) {
    INFO(node->name);
    CHECK(node->recorder.IsUnansweredSuspect(Identity()));
    CHECK_FALSE(node->Refuses());
  }
}

// Guards against a popular sound request in quarantine.
TEST_CASE("CrashTask clears a request that other nodes have answered")
{
  CrashFleet fleet;
  fleet.Start();
  for (int i = 0; i < 3; ++i) {
    fleet.nodes[3]->recorder.OnAnswered({ Identity() }, MonotonicNow());
  }
  for (int i = 0; i < 3; ++i) {
    fleet.Crash(*fleet.nodes[static_cast<std::size_t>(i)]);
  }
  fleet.io.run_for(seconds(3));
  for (const auto& node : fleet.nodes) {
    INFO(node->name);
    CHECK_FALSE(node->Refuses());
  }
}

TEST_CASE("CrashTask passes a quarantine on to nodes without losses")
{
  CrashFleet fleet;
  fleet.Start();
  fleet.Node(fleet.collectors.front())
    .quarantine.Add({ { .parts = { Identity() }, .remaining = seconds(60) } },
                    MonotonicNow());
  fleet.io.run_for(seconds(1));
  for (const auto& node : fleet.nodes) {
    INFO(node->name);
    CHECK(node->Refuses());
  }
}

// Guards against a quarantine without end, extended by each answer's delay.
TEST_CASE("CrashTask does not extend a quarantine by passing it on")
{
  boost::asio::io_context io;
  CrashNode node(io, "node");
  node.directory.Set({ .node = "node" });
  const Instant now{ seconds(100) };
  node.task.Collect(now);
  node.quarantine.Add({ { .parts = { Identity() }, .remaining = seconds(10) } },
                      now);
  const auto verdict = node.task.HandleReport({ .node = "other" }, now);
  REQUIRE(verdict);
  PromptQuarantine receiver;
  receiver.Add(verdict->quarantinedParts, now + CrashTask::Options{}.timeout);
  CHECK(receiver.RemainingFor({ Identity() }, now + seconds(9)));
  CHECK_FALSE(receiver.RemainingFor({ Identity() }, now + seconds(10)));
}

// Guards against evidence that is reported to a node that drops it.
TEST_CASE("CrashTask does not answer reports at a node that does not collect")
{
  CrashFleet fleet;
  for (const auto& node : fleet.nodes) {
    node->task.Collect(MonotonicNow());
    const bool isCollector = std::count(fleet.collectors.begin(),
                                        fleet.collectors.end(),
                                        node->name) == 1;
    CHECK(node->task.HandleReport({ .node = "other" }, MonotonicNow())
            .has_value() == isCollector);
  }
}

// Guards against a node that starts and blames requests for what it has seen
// alone.
TEST_CASE("CrashTask does not collect before its node is listed")
{
  boost::asio::io_context io;
  CrashNode node(io, "node");
  node.task.Collect(MonotonicNow());
  CHECK_FALSE(node.task.HandleReport({ .node = "other" }, MonotonicNow()));
  node.directory.Set({ .node = "node" });
  node.task.Collect(MonotonicNow());
  CHECK(node.task.HandleReport({ .node = "other" }, MonotonicNow()));
}

TEST_CASE("CrashTask bounds the suspects and combinations of a message")
{
  boost::asio::io_context io;
  CrashNode node(io, "node");
  node.directory.Set({ .node = "node" });
  node.task.Collect(MonotonicNow());
  std::vector<QuarantinedParts> combinations;
  combinations.reserve(2000);
  for (int i = 0; i < 2000; ++i) {
    combinations.push_back(
      { .parts = { fmt::format("part-{:04}", i) }, .remaining = seconds(60) });
  }
  node.quarantine.Add(combinations, MonotonicNow());
  const auto verdict =
    node.task.HandleReport({ .node = "other" }, MonotonicNow());
  REQUIRE(verdict);
  CHECK(verdict->quarantinedParts.size() == CrashTask::Options{}.maxItems);
}
