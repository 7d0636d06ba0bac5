#include "serving/QuarantineTask.h"
#include "QuarantineStore.h"
#include "ServingHarness.h"

using namespace apricottrack;

namespace {

/// A node's QuarantineTask with the given roles.
struct QuarantineNode
{
  explicit QuarantineNode(QuarantineStore& aStore)
    : task(this->harness.context,
           aStore,
           QuarantineTask::Options{ .interval = milliseconds(5),
                                    .retryDelay = milliseconds(20) },
           QuarantineTask::Hooks{
             .isPlanner = [this] { return this->isPlanner; },
             .readsStore = [this] { return this->readsStore; },
             .onChange = [this] { ++this->changes; },
           })
  {
    this->task.Start();
  }

  bool Refuses(const std::string& aPart) const
  {
    return this->harness.context.quarantine
      .RemainingFor({ aPart }, MonotonicNow())
      .has_value();
  }

  ServingHarness harness;
  bool isPlanner = false;
  bool readsStore = false;
  int changes = 0;
  QuarantineTask task;
};

/// Three crashes with a common part, as another node reports them.
FleetQuestion
CrashQuestion()
{
  FleetQuestion report{ .node = "n2" };
  for (int i = 0; i < 3; ++i) {
    report.lostRequests.push_back({ .target = "t" + std::to_string(i),
                                    .parts = { "system", "deadly" },
                                    .age = milliseconds(200 * i) });
  }
  report.partAnswers = { { .part = "system", .count = 9 } };
  return report;
}

} // namespace

TEST_CASE("QuarantineTask quarantines a part from reports and saves it")
{
  QuarantineStore store;
  QuarantineNode planner(store);
  planner.isPlanner = true;
  planner.harness.io.run_for(milliseconds(50));
  planner.task.RecordReports(CrashQuestion(), MonotonicNow());
  planner.harness.io.run_for(milliseconds(20));
  planner.task.RecordReports(
    FleetQuestion{ .node = "n2",
                   .partAnswers = { { .part = "system", .count = 9 } } },
    MonotonicNow());
  planner.harness.io.run_for(milliseconds(1000));
  CHECK(planner.Refuses("deadly"));
  CHECK_FALSE(planner.Refuses("system"));
  CHECK(planner.changes == 1);
  CHECK(store.revision == 1);
  CHECK(store.value.find("deadly") != std::string::npos);
}

TEST_CASE("QuarantineTask loads the stored parts at a takeover")
{
  QuarantineStore store;
  QuarantineNode first(store);
  first.isPlanner = true;
  first.harness.io.run_for(milliseconds(20));
  first.harness.context.quarantine.Add(
    { { .parts = { "deadly" }, .remaining = seconds(100) } }, MonotonicNow());
  first.harness.io.run_for(milliseconds(50));
  REQUIRE(store.revision == 1);

  QuarantineNode second(store);
  second.harness.io.run_for(milliseconds(50));
  CHECK_FALSE(second.Refuses("deadly"));
  second.isPlanner = true;
  second.harness.io.run_for(milliseconds(50));
  CHECK(second.Refuses("deadly"));
  CHECK(store.revision == 1);

  QuarantineNode restarted(store);
  restarted.readsStore = true;
  restarted.harness.io.run_for(milliseconds(50));
  CHECK(restarted.Refuses("deadly"));
}

TEST_CASE("QuarantineTask saves a part after a store outage or a lost reply")
{
  QuarantineStore store;
  QuarantineNode planner(store);
  planner.isPlanner = true;
  store.isDown = true;
  planner.harness.context.quarantine.Add(
    { { .parts = { "deadly" }, .remaining = seconds(100) } }, MonotonicNow());
  planner.harness.io.run_for(milliseconds(100));
  CHECK(store.revision == 0);
  // Calls are made at the retry delay, not at each update.
  CHECK(store.reads <= 6);
  store.isDown = false;
  store.losesNextReply = true;
  planner.harness.io.run_for(milliseconds(200));
  CHECK(store.revision == 1);
  planner.harness.context.quarantine.Add(
    { { .parts = { "second" }, .remaining = seconds(100) } }, MonotonicNow());
  planner.harness.io.run_for(milliseconds(100));
  CHECK(store.revision == 2);
  CHECK(store.value.find("second") != std::string::npos);
}

TEST_CASE("QuarantineTask stores combinations and reads single parts of an "
          "older node")
{
  QuarantineStore store;
  store.value = fmt::format(R"({{"parts":[{{"part":"old","ends":{}}}]}})",
                            WallNow() + 100'000);
  store.revision = 1;
  QuarantineNode first(store);
  first.isPlanner = true;
  first.harness.io.run_for(milliseconds(50));
  CHECK(first.Refuses("old"));
  first.harness.context.quarantine.Add(
    { { .parts = { "a", "b" }, .remaining = seconds(100) } }, MonotonicNow());
  first.harness.io.run_for(milliseconds(50));
  REQUIRE(store.revision == 2);
  QuarantineNode second(store);
  second.isPlanner = true;
  second.harness.io.run_for(milliseconds(50));
  const auto& quarantine = second.harness.context.quarantine;
  CHECK(quarantine.RemainingFor({ "a", "b" }, MonotonicNow()));
  CHECK_FALSE(second.Refuses("a"));
  CHECK_FALSE(second.Refuses("b"));
  CHECK(second.Refuses("old"));
}

TEST_CASE("QuarantineTask ignores a stored value that it cannot decode")
{
  QuarantineStore store;
  store.value = R"({"parts":[7,{"part":"a"},{"part":"b","ends":9e99}]})";
  store.revision = 4;
  QuarantineNode planner(store);
  planner.isPlanner = true;
  planner.harness.io.run_for(milliseconds(50));
  CHECK_FALSE(planner.Refuses("a"));
  planner.harness.context.quarantine.Add(
    { { .parts = { "c" }, .remaining = seconds(100) } }, MonotonicNow());
  planner.harness.io.run_for(milliseconds(50));
  CHECK(store.revision == 5);
}

// Without updates, nothing would ever remove the crashes again.
TEST_CASE("QuarantineTask records crashes only at the planner's node")
{
  QuarantineStore store;
  QuarantineNode node(store);
  node.task.RecordReports(CrashQuestion(), MonotonicNow());
  node.isPlanner = true;
  node.harness.io.run_for(milliseconds(1200));
  CHECK_FALSE(node.Refuses("deadly"));
}
