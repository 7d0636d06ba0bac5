#include "scenarios/FakeStore.h"

#include <memory>

namespace apricottrack::scenarios {

namespace {

constexpr Duration kCallTimeout = seconds(2);

template<typename T>
Result<T>
NoReply()
{
  return Failure(ErrorCode::kNoReply, "store", "fake", "no reply");
}

} // namespace

FakeStore::FakeStore(VirtualTime& aTime, std::uint64_t aSeed)
  : time(aTime)
  , random(aSeed)
{
}

Duration
FakeStore::Delay()
{
  const int maxDelay = this->slow ? 1'500'000 : 3'000;
  return microseconds(
    500 + static_cast<int>(this->random() % static_cast<unsigned>(maxDelay)));
}

template<typename T>
void
FakeStore::Call(std::function<Result<T>()> aEffect,
                ReplyCallback<T> aCallback,
                bool aWrites)
{
  ++(aWrites ? this->writes : this->reads);
  const auto replied = std::make_shared<bool>(false);
  const auto replyOnce = [replied,
                          callback = std::move(aCallback)](Result<T> aResult) {
    if (!*replied) {
      *replied = true;
      callback(std::move(aResult));
    }
  };
  this->time.After(kCallTimeout, [replyOnce] { replyOnce(NoReply<T>()); });
  if (this->down) {
    this->time.After(this->Delay(), [replyOnce] { replyOnce(NoReply<T>()); });
    return;
  }
  this->time.After(this->Delay(), [this, replyOnce, aEffect, aWrites] {
    Result<T> result = aEffect();
    if (aWrites && this->losesReplies && this->random() % 2 == 0) {
      return;
    }
    this->time.After(this->Delay(), [replyOnce, result] { replyOnce(result); });
  });
}

void
FakeStore::Get(std::string aKey, ReplyCallback<KeyValue> aCallback)
{
  this->Call<KeyValue>(
    [this, key = std::move(aKey)]() -> Result<KeyValue> {
      const auto found = this->values.find(key);
      return found == this->values.end() ? KeyValue{ .key = key }
                                         : found->second;
    },
    std::move(aCallback),
    false);
}

void
FakeStore::List(std::string aPrefix,
                ReplyCallback<std::vector<KeyValue>> aCallback)
{
  this->Call<std::vector<KeyValue>>(
    [this, prefix = std::move(aPrefix)]() -> Result<std::vector<KeyValue>> {
      std::vector<KeyValue> found;
      for (const auto& [key, value] : this->values) {
        if (key.starts_with(prefix)) {
          found.push_back(value);
        }
      }
      return found;
    },
    std::move(aCallback),
    false);
}

void
FakeStore::CompareAndSwap(Swap aSwap, ReplyCallback<Revision> aCallback)
{
  this->Call<Revision>(
    [this, swap = std::move(aSwap)]() -> Result<Revision> {
      KeyValue& value = this->values[swap.key];
      if (value.revision != swap.expected && !this->unconditional) {
        return Failure(ErrorCode::kConflict, "store", "fake", "revision");
      }
      value = KeyValue{ .key = swap.key,
                        .value = swap.value,
                        .revision = ++this->revision };
      return value.revision;
    },
    std::move(aCallback),
    true);
}

} // namespace apricottrack::scenarios
