#include "serving/FleetTask.h"
#include "ServingHarness.h"

using namespace apricottrack;

namespace {

/// A store that lists no targets and reports no changes.
class EmptyStore final : public KeyValueStore
{
public:
  Task<Result<KeyValue>> Get(std::string) override { co_return KeyValue{}; }
  Task<Result<std::vector<KeyValue>>> List(std::string,
                                           Revision& aRevision) override
  {
    aRevision = 1;
    co_return std::vector<KeyValue>{};
  }
  Task<Result<Revision>> CompareAndSwap(Swap) override { co_return 1; }
  Task<Result<LeaseId>> GrantLease(std::int64_t) override { co_return 1; }
  Task<Result<std::int64_t>> RenewLease(LeaseId) override { co_return 1; }
  Task<Result<void>> RevokeLease(LeaseId) override { co_return Result<void>{}; }
  Task<Error> Watch(std::string, Revision, WatchCallback) override
  {
    co_return Error{};
  }
};

} // namespace

// A node that takes over from a planner knows targets of which the store may
// have lost the entries, either because they left or because of an outage.
TEST_CASE("FleetTask keeps unlisted targets only if the store may have been "
          "unavailable")
{
  const bool storeWasAvailable = GENERATE(true, false);
  ServingHarness harness;
  EmptyStore store;
  harness.context.fleet.Put({ .id = "t", .service = "app" }, MonotonicNow());
  FleetTask task(harness.context, store, FleetTask::Options{}, [] {});
  task.Start();
  task.SetActive(true, storeWasAvailable);
  harness.io.run_for(milliseconds(120));
  CHECK(task.ListedSince());
  CHECK((harness.context.fleet.Find("t") == nullptr) == storeWasAvailable);
}
