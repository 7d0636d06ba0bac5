#ifndef APRICOTTRACK_TESTS_RESTOREDSTOREHARNESS_H
#define APRICOTTRACK_TESTS_RESTOREDSTOREHARNESS_H

#include "ServingHarness.h"
#include "platform/PlatformStore.h"
#include "platform/WireProtocol.h"
#include "standins/PlatformStoreStandin.h"

namespace apricottrack {

/// A store that can be restored and a node's state that is read from it.
class RestoredStoreHarness
{
public:
  explicit RestoredStoreHarness(std::size_t aPageSize = 500)
    : address(ServingHarness::FreeAddress(this->io))
    , standin(this->io.get_executor(),
              { .address = this->address, .pageSize = aPageSize })
    , store(this->MakeStore())
    , context{ .settings = this->settings,
               .protocol = this->protocol,
               .executor = this->io.get_executor(),
               .counters = {},
               .catalog = CatalogHolder(
                 CatalogHolder::Options{ .maxVerificationAge = seconds(600) }),
               .fleet =
                 Fleet(Fleet::Options{ .absenceGrace = milliseconds(500) }),
               .candidates = {},
               .loads = LoadTracker(LoadTracker::Options{}),
               .stalls = StallDetector(StallDetector::Options{}),
               .limits = TargetLimits(TargetLimits::Options{}, 1),
               .pauses = TargetPauses(TargetPauses::Options{}),
               .demand = DemandMeter(DemandMeter::Options{}),
               .fleetDemands = {},
               .targetPool = HttpConnectionPool(this->io.get_executor(), {}),
               .startGate = StartGate(this->io.get_executor()),
               .retryBudgets = {},
               .running = {},
               .random = std::mt19937_64(1) }
  {
    this->settings.serving.emplace();
    this->settings.serving->firstStart = true;
  }

  /// Returns the client of one node.
  platform::PlatformStore MakeStore()
  {
    return platform::PlatformStore(
      this->io.get_executor(), this->counters, { .address = this->address });
  }

  /// Runs until the condition holds. Returns false if it does not within the
  /// limit.
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = seconds(10))
  {
    const Instant end = MonotonicNow() + aLimit;
    while (!aCondition()) {
      if (MonotonicNow() >= end) {
        return false;
      }
      this->io.run_one_for(milliseconds(5));
    }
    return true;
  }

  void RunFor(Duration aDuration) { this->io.run_for(aDuration); }

  /// Runs a call to its end.
  template<typename T>
  T Await(Task<T> aTask)
  {
    std::optional<T> result;
    asio::co_spawn(
      this->io, std::move(aTask), [&](const std::exception_ptr&, T aResult) {
        result = std::move(aResult);
      });
    REQUIRE(this->RunUntil([&] { return result.has_value(); }));
    return std::move(*result);
  }

  /// Writes other keys until the store has given out this revision number.
  void AdvanceTo(std::int64_t aRevision)
  {
    while (this->standin.LastRevision() < aRevision) {
      this->standin.Put("other", "value");
    }
  }

  /// Restores the store, of which `aStore` then learns by a read.
  void RestoreAndTell(platform::PlatformStore& aStore)
  {
    this->standin.Restore();
    REQUIRE(this->Await(aStore.Get("other")));
  }

  asio::io_context io{ 1 };
  std::string address;
  Counters counters;
  Settings settings;
  platform::WireProtocol protocol;
  standins::PlatformStoreStandin standin;
  platform::PlatformStore store;
  ServingContext context;
};

} // namespace apricottrack

#endif
