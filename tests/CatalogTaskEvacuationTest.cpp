#include "RestoredStoreHarness.h"
#include "serving/CatalogTask.h"

using namespace apricottrack;

namespace {

constexpr std::string_view kConfig = "op/config";
constexpr std::string_view kEvacuation = "op/evacuate/";

/// A node that reads the store itself, where zones may be evacuated.
struct ReadingNode : RestoredStoreHarness
{
  ReadingNode()
    : task(this->context, this->store, CatalogTask::Options{}, [this] {
      ++this->changes;
    })
  {
    this->settings.serving->evacuationBound = seconds(5);
    this->PutCatalog(1);
    this->Read();
  }

  void PutCatalog(int aVersion)
  {
    this->standin.Put(std::string(kConfig),
                      fmt::format(R"({{"version":{}}})", aVersion));
  }
  void Evacuate(const std::string& aZone)
  {
    this->standin.Put(std::string(kEvacuation) + aZone, "{}");
  }
  void TakeBack(const std::string& aZone)
  {
    this->standin.Remove(std::string(kEvacuation) + aZone);
  }
  void Read() { REQUIRE(this->Await(this->task.ReadOnce())); }
  const ZoneEvacuations::Zones& Evacuated() const
  {
    return this->context.evacuations.Evacuated();
  }

  int changes = 0;
  CatalogTask task;
};

} // namespace

TEST_CASE("CatalogTask reads evacuations with the same calls as the catalog")
{
  ReadingNode node;
  const auto calls = [&] {
    return node.standin.Calls("/kv-watch") + node.standin.Calls("/kv-range") +
           node.standin.Calls("/kv-key");
  };
  const int before = calls();
  node.Evacuate("a");
  node.Read();
  CHECK(node.Evacuated() == ZoneEvacuations::Zones{ "a" });
  node.PutCatalog(2);
  node.Evacuate("b");
  node.TakeBack("a");
  node.Read();
  CHECK(node.Evacuated() == ZoneEvacuations::Zones{ "b" });
  CHECK(node.context.catalog.Current()->Contents().version == 2);
  CHECK(calls() - before == 2);
  CHECK(node.changes == 4);
}

// Guards against a node that starts during an evacuation, and reports the
// change before it has a catalog.
TEST_CASE("CatalogTask reports the evacuations with its first catalog")
{
  RestoredStoreHarness harness;
  harness.settings.serving->evacuationBound = seconds(5);
  int changes = 0;
  CatalogTask task(harness.context, harness.store, CatalogTask::Options{}, [&] {
    ++changes;
    REQUIRE(harness.context.catalog.Current() != nullptr);
    CHECK(harness.context.evacuations.IsEvacuated("a"));
  });
  harness.standin.Put(std::string(kEvacuation) + "a", "{}");
  REQUIRE(harness.Await(task.ReadOnce()));
  CHECK(changes == 0);
  harness.standin.Put(std::string(kConfig), R"({"version":1})");
  REQUIRE(harness.Await(task.ReadOnce()));
  CHECK(changes == 1);
}

TEST_CASE("CatalogTask keeps the evacuations while the store is unreachable")
{
  ReadingNode node;
  node.Evacuate("a");
  node.Read();
  node.standin.SetUp(false);
  CHECK_FALSE(node.Await(node.task.ReadOnce()));
  CHECK(node.Evacuated() == ZoneEvacuations::Zones{ "a" });
}

// Guards against requests to a zone whose evacuation the store has lost, and
// against an end that the settling store shows only once.
TEST_CASE("CatalogTask keeps evacuations until a restored store has settled")
{
  ReadingNode node;
  node.standin.TakeCopy();
  node.Evacuate("a");
  node.Evacuate("b");
  node.Read();
  node.RestoreAndTell(node.store);
  node.Evacuate("a");
  node.Read();
  CHECK(node.Evacuated() == ZoneEvacuations::Zones{ "a", "b" });
  node.TakeBack("a");
  node.Read();
  CHECK(node.Evacuated() == ZoneEvacuations::Zones{ "a", "b" });
  node.Evacuate("b");
  node.RunFor(CatalogTask::Options{}.restoreSettleTime);
  node.Read();
  CHECK(node.Evacuated() == ZoneEvacuations::Zones{ "b" });
}

TEST_CASE("CatalogTask reads the catalog's key alone where zones are not "
          "evacuated")
{
  ReadingNode node;
  node.settings.serving->evacuationBound.reset();
  node.Evacuate("a");
  const int listings = node.standin.Calls("/kv-range");
  node.Read();
  CHECK(node.Evacuated().empty());
  CHECK(node.standin.Calls("/kv-range") == listings);
}
