#ifndef APRICOTTRACK_TESTS_SCENARIOS_FAKESTORE_H
#define APRICOTTRACK_TESTS_SCENARIOS_FAKESTORE_H

#include "apricottrack/KeyValueStore.h"
#include "scenarios/VirtualTime.h"

#include <map>
#include <random>

namespace apricottrack::scenarios {

/// The platform's key-value service in virtual time. A call takes effect and
/// replies at different times, so that a reply can be late or lost although the
/// write took effect, and a write can take effect after its caller's timeout.
class FakeStore
{
public:
  FakeStore(VirtualTime& aTime, std::uint64_t aSeed);

  template<typename T>
  using ReplyCallback = std::function<void(Result<T>)>;

  void Get(std::string aKey, ReplyCallback<KeyValue> aCallback);
  void List(std::string aPrefix,
            ReplyCallback<std::vector<KeyValue>> aCallback);
  void CompareAndSwap(Swap aSwap, ReplyCallback<Revision> aCallback);

  /// The current values by key, for checkers.
  std::map<std::string, KeyValue>& Values() { return this->values; }

  /// Calls fail without effect.
  bool down = false;
  /// Each direction of a call takes up to 1.5 s instead of 3.5 ms.
  bool slow = false;
  /// Half of the replies to writes are lost.
  bool losesReplies = false;
  /// Swaps ignore the expected revision; the naive form of compare-and-swap.
  bool unconditional = false;
  std::int64_t writes = 0;
  std::int64_t reads = 0;

private:
  template<typename T>
  void Call(std::function<Result<T>()> aEffect,
            ReplyCallback<T> aCallback,
            bool aWrites);
  Duration Delay();

  VirtualTime& time;
  std::mt19937_64 random;
  std::map<std::string, KeyValue> values;
  Revision revision = 0;
};

} // namespace apricottrack::scenarios

#endif
