/// Configuration scenarios: many nodes run the production ConfigurationHolder.
/// They get configurations from a watch, a periodic read and a random peer; the
/// link to the platform can be cut.

#include "config/ConfigurationHolder.h"
#include "scenarios/FakeStore.h"
#include "scenarios/Scenario.h"

#include <fmt/format.h>
#include <memory>

namespace apricottrack::scenarios {

namespace {

/// Interval at which a node reads the configuration from the platform.
constexpr Duration kReadInterval = seconds(10);
/// Interval at which a node reads the configuration of a random peer.
constexpr Duration kPeerReadInterval = seconds(1);
/// Maximum time from acceptance until a version is in force at all nodes.
constexpr Duration kInForceBound = seconds(13);
const std::string kKey = "configuration";

struct ConfiguredNode
{
  ConfigurationHolder holder;
  /// The node's link to the platform is cut.
  bool cut = false;
  /// Version of the configuration in force.
  std::uint64_t versionInForce = 0;
  bool naiveFell = false;
};

/// The store, the nodes and the operators of one run, with the checker of the
/// versions.
class World
{
public:
  explicit World(const Scenario& aScenario)
    : scenario(aScenario)
    , store(this->time, aScenario.seed)
    , random(aScenario.seed)
    , start(this->time.Now())
    , nodes(static_cast<std::size_t>(aScenario.nodes))
  {
  }

  Findings Run();

private:
  void Offer(std::size_t aNode, const StoredConfiguration& aStored);
  void Submit(std::string aSubmission, int aAttempt);
  void ReadPeer(std::size_t aNode);
  void ReadPeriodically(std::size_t aNode, Duration aDelay);
  void Schedule(const Fault& aFault);
  void CheckInForce(std::uint64_t aVersion);
  static std::string Text(const std::string& aFirm)
  {
    return fmt::format("firm = \"{}\"\n", aFirm);
  }

  const Scenario& scenario;
  VirtualTime time;
  FakeStore store;
  std::mt19937_64 random;
  Instant start;
  std::vector<ConfiguredNode> nodes;
  std::map<std::uint64_t, std::string> accepted;
  Findings findings;
};

void
World::Offer(std::size_t aNode, const StoredConfiguration& aStored)
{
  ConfiguredNode& node = this->nodes[aNode];
  if (this->scenario.naiveVariant == "last_heard_wins") {
    // The naive form applies whatever arrives last.
    if (aStored.version < node.versionInForce) {
      this->findings.violations.push_back(
        fmt::format("reverted node {}", aNode));
    }
    node.versionInForce = aStored.version;
    return;
  }
  node.holder.Offer(aStored);
  const std::uint64_t version = node.holder.Stored().version;
  if (version < node.versionInForce) {
    this->findings.violations.push_back(fmt::format("reverted node {}", aNode));
  }
  node.versionInForce = version;
}

void
World::Submit(std::string aSubmission, int aAttempt)
{
  if (aAttempt > 20) {
    return;
  }
  this->store.Get(kKey, [=, this](Result<KeyValue> aReply) {
    const auto retry = [=, this] { this->Submit(aSubmission, aAttempt + 1); };
    if (!aReply) {
      this->time.After(milliseconds(500), retry);
      return;
    }
    const auto before = ParseStoredConfiguration(aReply->value, "store")
                          .value_or(StoredConfiguration{});
    if (before.submission == aSubmission) {
      return;
    }
    const StoredConfiguration after{ .version = before.version + 1,
                                     .submission = aSubmission,
                                     .text = Text(aSubmission) };
    const Swap swap{ .key = kKey,
                     .expected = aReply->revision,
                     .value = EncodeStoredConfiguration(after) };
    this->store.CompareAndSwap(swap, [=, this](Result<Revision> aSwapped) {
      if (aSwapped) {
        const auto [known, inserted] =
          this->accepted.emplace(after.version, aSubmission);
        if (!inserted) {
          this->findings.violations.push_back("two accepted as one version");
        }
        this->CheckInForce(after.version);
      } else {
        retry();
      }
    });
    // A watch delivers within 5 s, and in any order because of reconnects.
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      const Duration delay = milliseconds(this->random() % 3000);
      this->time.After(delay, [this, i] {
        const auto stored =
          ParseStoredConfiguration(this->store.Values()[kKey].value, "store");
        if (stored && !this->nodes[i].cut && !this->store.down) {
          this->time.After(milliseconds(this->random() % 2000),
                           [this, i, stored] { this->Offer(i, *stored); });
        }
      });
    }
  });
}

void
World::CheckInForce(std::uint64_t aVersion)
{
  this->time.After(kInForceBound, [this, aVersion] {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i].versionInForce < aVersion) {
        this->findings.violations.push_back(
          fmt::format("late node {} version {}", i, aVersion));
      }
    }
  });
}

void
World::ReadPeer(std::size_t aNode)
{
  const std::size_t peer = this->random() % this->nodes.size();
  const StoredConfiguration peerConfiguration =
    this->nodes[peer].holder.Stored();
  if (peerConfiguration.version > 0) {
    this->time.After(milliseconds(5), [this, aNode, peerConfiguration] {
      this->Offer(aNode, peerConfiguration);
    });
  }
  this->time.After(kPeerReadInterval, [this, aNode] { this->ReadPeer(aNode); });
}

void
World::ReadPeriodically(std::size_t aNode, Duration aDelay)
{
  this->time.After(aDelay, [this, aNode] {
    if (!this->nodes[aNode].cut) {
      this->store.Get(kKey, [this, aNode](Result<KeyValue> aReply) {
        const auto stored =
          aReply ? ParseStoredConfiguration(aReply->value, "store")
                 : Result<StoredConfiguration>(tl::unexpected(aReply.error()));
        if (stored) {
          this->Offer(aNode, *stored);
        }
      });
    }
    this->ReadPeriodically(aNode, kReadInterval);
  });
}

void
World::Schedule(const Fault& aFault)
{
  const auto setFaultActive = [this, aFault](bool aOn) {
    if (aFault.what == "cut_nodes") {
      const std::size_t count = std::stoul(aFault.where);
      for (std::size_t i = 0; i < count; ++i) {
        this->nodes[i].cut = aOn;
      }
    } else if (aFault.what == "platform_down") {
      this->store.down = aOn;
    } else if (aFault.what == "platform_slow") {
      this->store.slow = aOn;
    } else if (aFault.what == "lose_replies") {
      this->store.losesReplies = aOn;
    } else if (aFault.what == "submit" && aOn) {
      this->Submit("operator-" + aFault.where, 0);
    }
  };
  this->time.After(aFault.at, [setFaultActive] { setFaultActive(true); });
  this->time.After(aFault.at + aFault.activeDuration,
                   [setFaultActive] { setFaultActive(false); });
}

Findings
World::Run()
{
  for (const Fault& fault : this->scenario.faults) {
    this->Schedule(fault);
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    this->ReadPeriodically(i, milliseconds(this->random() % 10'000));
    if (this->scenario.naiveVariant != "no_peers") {
      this->ReadPeer(i);
    }
  }
  this->time.RunUntil(this->start + this->scenario.length + seconds(20));
  this->findings.writes = this->store.writes;
  this->findings.reads = this->store.reads;
  return std::move(this->findings);
}

} // namespace

Findings
RunConfiguration(const Scenario& aScenario)
{
  return World(aScenario).Run();
}

} // namespace apricottrack::scenarios
