#ifndef APRICOTTRACK_TESTS_SCENARIOS_FAKESTORE_H
#define APRICOTTRACK_TESTS_SCENARIOS_FAKESTORE_H

#include "apricottrack/KeyValueStore.h"
#include "scenarios/VirtualTime.h"

#include <map>
#include <random>

namespace apricottrack::scenarios {

/// The platform's service in virtual time. A call takes effect and is
/// answered at different moments, so that replies can be late or lost after
/// the write took effect, and writes can land after their caller gave up.
class FakeStore
{
public:
  FakeStore(VirtualTime& aTime, std::uint64_t aSeed);

  template<typename T>
  using Reply = std::function<void(Result<T>)>;

  void Get(std::string aKey, Reply<KeyValue> aReply);
  void List(std::string aPrefix, Reply<std::vector<KeyValue>> aReply);
  void CompareAndSwap(Swap aSwap, Reply<Revision> aReply);

  /// The present value, for checkers.
  std::map<std::string, KeyValue>& Values() { return this->values; }

  bool down = false;
  bool slow = false;
  bool losesReplies = false;
  /// The last write wins; the naive form of compare-and-swap.
  bool unconditional = false;
  std::int64_t writes = 0;
  std::int64_t reads = 0;

private:
  template<typename T>
  void Call(std::function<Result<T>()> aEffect, Reply<T> aReply, bool aWrites);
  Duration Delay();

  VirtualTime& time;
  std::mt19937_64 random;
  std::map<std::string, KeyValue> values;
  Revision revision = 0;
};

} // namespace apricottrack::scenarios

#endif
