#include "journal/JournalWriter.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr Instant kNow{ seconds(10) };

JournalIntent
MakeIntent(std::string aKey, std::string aNonce, std::string aFingerprint = "p")
{
  JournalIntent intent;
  intent.key = std::move(aKey);
  intent.nonce = std::move(aNonce);
  intent.fingerprint = std::move(aFingerprint);
  return intent;
}

JournalEnd
MakeEnd(std::string aKey, std::string aNonce, Outcome aOutcome)
{
  JournalEnd end;
  end.key = std::move(aKey);
  end.nonce = std::move(aNonce);
  end.outcome = aOutcome;
  return end;
}

/// An in-memory key-value service shared by one or more writers.
class Store
{
public:
  /// Makes the writer's next call, if it has one, and passes the result back.
  /// Without aApply a swap takes no effect; without aReply its reply is lost.
  bool MakeNextCall(JournalWriter& aWriter,
                    Instant aNow,
                    bool aApply = true,
                    bool aReply = true)
  {
    const auto call = aWriter.NextCall(aNow);
    if (!call) {
      return false;
    }
    if (call->kind == JournalCall::Kind::kLoad) {
      std::vector<KeyValue> all;
      for (const auto& [key, value] : this->values) {
        all.push_back(value);
      }
      aWriter.OnLoaded(all, aNow);
    } else if (call->kind == JournalCall::Kind::kRead) {
      KeyValue value = this->values[call->key];
      aWriter.OnRead(value, aNow);
    } else {
      aWriter.OnSwapped(this->ApplySwap(call->swap, aApply, aReply), aNow);
    }
    return true;
  }

  Result<Revision> ApplySwap(const Swap& aSwap, bool aApply, bool aReply)
  {
    KeyValue& value = this->values[aSwap.key];
    if (value.revision != aSwap.expected) {
      return Failure(ErrorCode::kConflict, "test", "", "");
    }
    if (aApply) {
      value = KeyValue{ aSwap.key, aSwap.value, ++this->revision };
    }
    if (!aReply) {
      return Failure(ErrorCode::kNoReply, "test", "", "");
    }
    return value.revision;
  }

  /// Makes the writer's calls over the next 5 s, 100 ms apart.
  void RunUntilIdle(JournalWriter& aWriter, Instant aFrom = kNow)
  {
    for (int i = 0; i < 50; ++i) {
      this->MakeNextCall(aWriter, aFrom + milliseconds(100 * i));
    }
  }

  std::map<std::string, KeyValue> values;
  Revision revision = 0;
};

JournalWriter
MakeWriter(std::size_t aSegmentBytes = 65'536)
{
  JournalWriter::Options options;
  options.prefix = "j/";
  options.segmentBytes = aSegmentBytes;
  return JournalWriter(options);
}

IntentVerdict
OnlyVerdict(JournalWriter& aWriter)
{
  const auto resolutions = aWriter.TakeResolutions();
  REQUIRE(resolutions.size() == 1);
  return resolutions.front().verdict;
}

} // namespace

TEST_CASE("JournalWriter gives an intent the verdict kRun after its write")
{
  Store store;
  JournalWriter writer = MakeWriter();
  writer.AddIntent(MakeIntent("k", "n1"), kNow + seconds(3));
  store.RunUntilIdle(writer);
  CHECK(OnlyVerdict(writer) == IntentVerdict::kRun);
  CHECK(writer.Index().Find("k")->intent.nonce == "n1");
}

TEST_CASE("JournalWriter with 100 queued intents records them in one write")
{
  Store store;
  JournalWriter writer = MakeWriter();
  for (int i = 0; i < 100; ++i) {
    const std::string name = std::to_string(i);
    writer.AddIntent(MakeIntent("k" + name, "n" + name), kNow + seconds(3));
  }
  store.RunUntilIdle(writer);
  CHECK(store.revision == 1);
  CHECK(writer.TakeResolutions().size() == 100);
}

// The second writer's swap fails with a conflict, because both loaded the
// journal before the first one wrote.
TEST_CASE("JournalWriter: of two writers with the same key the second gets "
          "kDuplicate")
{
  Store store;
  JournalWriter first = MakeWriter();
  JournalWriter second = MakeWriter();
  store.MakeNextCall(first, kNow);
  store.MakeNextCall(second, kNow);
  first.AddIntent(MakeIntent("k", "n1"), kNow + seconds(3));
  second.AddIntent(MakeIntent("k", "n2"), kNow + seconds(3));
  store.RunUntilIdle(first);
  store.RunUntilIdle(second);
  CHECK(OnlyVerdict(first) == IntentVerdict::kRun);
  CHECK(OnlyVerdict(second) == IntentVerdict::kDuplicate);
  CHECK(second.Conflicts() == 1);
}

TEST_CASE("JournalWriter resolves an intent by a read if the reply to its "
          "write is lost")
{
  Store store;
  JournalWriter writer = MakeWriter();
  store.MakeNextCall(writer, kNow);
  writer.AddIntent(MakeIntent("k", "n1"), kNow + seconds(3));
  store.MakeNextCall(writer, kNow, true, false);
  CHECK(writer.TakeResolutions().empty());
  store.RunUntilIdle(writer, kNow + seconds(1));
  CHECK(OnlyVerdict(writer) == IntentVerdict::kRun);
  CHECK(store.revision == 1);
}

// Guards against a key that stays blocked: the write took effect, its reply was
// lost and the deadline passed.
TEST_CASE("JournalWriter records an abandoned intent as not run if its write "
          "took effect")
{
  Store store;
  JournalWriter writer = MakeWriter();
  store.MakeNextCall(writer, kNow);
  writer.AddIntent(MakeIntent("k", "n1"), kNow + seconds(1));
  store.MakeNextCall(writer, kNow, true, false);
  writer.Expire(kNow + seconds(1));
  CHECK(OnlyVerdict(writer) == IntentVerdict::kUnavailable);
  store.RunUntilIdle(writer, kNow + seconds(2));
  const JournalEntry* const entry = writer.Index().Find("k");
  REQUIRE(entry);
  REQUIRE(entry->end);
  CHECK(entry->end->outcome == Outcome::kNotRun);

  JournalWriter other = MakeWriter();
  other.AddIntent(MakeIntent("k", "n2"), kNow + seconds(30));
  store.RunUntilIdle(other, kNow + seconds(10));
  CHECK(OnlyVerdict(other) == IntentVerdict::kRun);
}

// Guards against a key that stays blocked: the deadline passed, the segment was
// read again without the intent, and only then its delayed swap took effect.
TEST_CASE("JournalWriter records an abandoned intent as not run if its write "
          "takes effect later")
{
  Store store;
  JournalWriter writer = MakeWriter();
  store.MakeNextCall(writer, kNow);
  writer.AddIntent(MakeIntent("k", "n1"), kNow + seconds(1));
  const auto delayedCall = writer.NextCall(kNow);
  REQUIRE(delayedCall);
  writer.OnSwapped(Failure(ErrorCode::kTimeout, "test", "", ""), kNow);
  writer.Expire(kNow + seconds(1));
  store.RunUntilIdle(writer, kNow + seconds(1));
  store.ApplySwap(delayedCall->swap, true, true);

  writer.AddIntent(MakeIntent("other", "n2"), kNow + seconds(60));
  store.RunUntilIdle(writer, kNow + seconds(20));
  const JournalEntry* const entry = writer.Index().Find("k");
  REQUIRE(entry);
  REQUIRE(entry->end);
  CHECK(entry->end->outcome == Outcome::kNotRun);
}

TEST_CASE("JournalWriter returns the recorded end to a repeated request and "
          "kKeyReused to a different one")
{
  Store store;
  JournalWriter writer = MakeWriter();
  writer.AddIntent(MakeIntent("k", "n1"), kNow + seconds(3));
  store.RunUntilIdle(writer);
  writer.TakeResolutions();
  writer.AddEnd(MakeEnd("k", "n1", Outcome::kAnswered));
  store.RunUntilIdle(writer, kNow + seconds(10));
  CHECK(writer.TakeWrittenEnds() == std::vector<std::string>{ "n1" });

  JournalWriter other = MakeWriter();
  other.AddIntent(MakeIntent("k", "n2"), kNow + seconds(60));
  other.AddIntent(MakeIntent("k", "n3", "different"), kNow + seconds(60));
  store.RunUntilIdle(other, kNow + seconds(20));
  const auto resolutions = other.TakeResolutions();
  REQUIRE(resolutions.size() == 2);
  CHECK(resolutions[0].verdict == IntentVerdict::kDuplicate);
  CHECK(resolutions[0].entry->end->outcome == Outcome::kAnswered);
  CHECK(resolutions[1].verdict == IntentVerdict::kKeyReused);
}

TEST_CASE("JournalWriter seals a full segment and all writers continue in the "
          "next one")
{
  Store store;
  JournalWriter first = MakeWriter(400);
  JournalWriter second = MakeWriter(400);
  for (int i = 0; i < 12; ++i) {
    JournalWriter& writer = i % 2 == 0 ? first : second;
    const std::string name = std::to_string(i);
    const Instant now = kNow + seconds(10 * i);
    writer.AddIntent(MakeIntent("k" + name, "n" + name), now + seconds(9));
    store.RunUntilIdle(writer, now);
    CHECK(OnlyVerdict(writer) == IntentVerdict::kRun);
  }
  CHECK(store.values.size() > 2);
  JournalWriter lateWriter = MakeWriter(400);
  lateWriter.AddIntent(MakeIntent("k0", "late"), kNow + seconds(900));
  store.RunUntilIdle(lateWriter, kNow + seconds(800));
  CHECK(OnlyVerdict(lateWriter) == IntentVerdict::kDuplicate);
}
