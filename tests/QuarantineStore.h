#ifndef APRICOTTRACK_TESTS_QUARANTINESTORE_H
#define APRICOTTRACK_TESTS_QUARANTINESTORE_H

#include "apricottrack/KeyValueStore.h"

namespace apricottrack {

/// In-memory store with a single key.
class QuarantineStore final : public KeyValueStore
{
public:
  Task<Result<KeyValue>> Get(std::string aKey) override
  {
    ++this->reads;
    if (this->isDown) {
      co_return Fail();
    }
    co_return KeyValue{ .key = std::move(aKey),
                        .value = this->value,
                        .revision = this->revision };
  }
  Task<Result<Revision>> CompareAndSwap(Swap aSwap) override
  {
    if (this->isDown || aSwap.expected != this->revision) {
      co_return Fail();
    }
    this->value = std::move(aSwap.value);
    ++this->revision;
    if (this->losesNextReply) {
      this->losesNextReply = false;
      co_return Fail();
    }
    co_return this->revision;
  }
  Task<Result<std::vector<KeyValue>>> List(std::string, Revision&) override
  {
    co_return Fail();
  }
  Task<Result<LeaseId>> GrantLease(std::int64_t) override { co_return Fail(); }
  Task<Result<std::int64_t>> RenewLease(LeaseId) override { co_return Fail(); }
  Task<Result<void>> RevokeLease(LeaseId) override { co_return Fail(); }
  Task<Error> Watch(std::string, Revision, WatchCallback) override
  {
    co_return Fail().value();
  }

  std::string value;
  Revision revision = 0;
  bool isDown = false;
  bool losesNextReply = false;
  int reads = 0;

private:
  static tl::unexpected<Error> Fail()
  {
    return Failure(ErrorCode::kNoReply, "call", "store", "no reply");
  }
};

} // namespace apricottrack

#endif
