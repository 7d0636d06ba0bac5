#include "journal/JournalWriter.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <fmt/format.h>

namespace apricottrack {

namespace {

/// Returns the number at the end of a segment's key.
int
SegmentNumber(std::string_view aKey)
{
  const std::string_view digits = aKey.substr(aKey.rfind('/') + 1);
  int number = 1;
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

} // namespace

JournalWriter::JournalWriter(Options aOptions)
  : options(std::move(aOptions))
  , backoff(this->options.minBackoff)
{
}

void
JournalWriter::AddIntent(JournalIntent aIntent, Instant aDeadline)
{
  this->intents.push_back(
    PendingIntent{ .intent = std::move(aIntent), .deadline = aDeadline });
}

void
JournalWriter::AddEnd(JournalEnd aEnd)
{
  this->ends.push_back(std::move(aEnd));
}

std::string
JournalWriter::SegmentKey() const
{
  return fmt::format("{}{:08}", this->options.prefix, this->segment);
}

std::optional<JournalCall>
JournalWriter::NextCall(Instant aNow)
{
  if (this->callRunning || aNow < this->nextCallAt) {
    return std::nullopt;
  }
  if (!this->loaded) {
    this->callRunning = true;
    return JournalCall{ .kind = JournalCall::Kind::kLoad,
                        .key = this->options.prefix,
                        .swap = {} };
  }
  if (this->stale) {
    return this->MakeRead();
  }
  this->ResolveIntents();
  if (this->intents.empty() && this->ends.empty()) {
    return std::nullopt;
  }
  // A read is not repeated if no write followed it, however long ago it was:
  // otherwise a caller slower than the maximum age would read forever and never
  // write.
  if (!this->readSinceSwap &&
      aNow - this->syncedAt > this->options.maxCopyAge) {
    return this->MakeRead();
  }
  this->callRunning = true;
  this->readSinceSwap = false;
  this->nextCallAt = aNow + this->options.flushInterval;
  return this->MakeSwap();
}

std::optional<Instant>
JournalWriter::NextCallAt() const
{
  const bool waiting = !this->loaded || this->stale || !this->intents.empty() ||
                       !this->ends.empty();
  return waiting && !this->callRunning ? std::optional(this->nextCallAt)
                                       : std::nullopt;
}

JournalCall
JournalWriter::MakeRead()
{
  this->callRunning = true;
  return JournalCall{ .kind = JournalCall::Kind::kRead,
                      .key = this->SegmentKey(),
                      .swap = {} };
}

JournalCall
JournalWriter::MakeSwap()
{
  this->swapText = this->text;
  std::set<std::string_view> keys;
  for (PendingIntent& pending : this->intents) {
    // A second attempt for the same key waits until the first is resolved.
    if (keys.insert(pending.intent.key).second) {
      this->swapText += EncodeLine(pending.intent);
      pending.sent = true;
    }
  }
  for (const JournalEnd& end : this->ends) {
    this->swapText += EncodeLine(end);
  }
  if (this->swapText.size() >= this->options.segmentBytes) {
    this->swapText += SealLine();
  }
  return JournalCall{ .kind = JournalCall::Kind::kSwap,
                      .key = this->SegmentKey(),
                      .swap = { .key = this->SegmentKey(),
                                .expected = this->revision,
                                .value = this->swapText,
                                .lease = 0 } };
}

void
JournalWriter::StartNextSegment()
{
  ++this->segment;
  this->text.clear();
  this->revision = 0;
  this->stale = true;
}

void
JournalWriter::ApplySegment(std::string_view aText, Revision aRevision)
{
  const bool extends = aText.substr(0, this->text.size()) == this->text;
  assert(extends && "a segment is only ever appended to");
  const std::string_view added =
    extends ? aText.substr(this->text.size()) : aText;
  const bool sealed = this->index.Apply(added);
  this->text = aText;
  this->revision = aRevision;
  this->stale = false;
  if (sealed) {
    this->StartNextSegment();
  }
  this->RemoveWrittenEnds();
}

void
JournalWriter::OnLoaded(Result<std::vector<KeyValue>> aSegments, Instant aNow)
{
  this->callRunning = false;
  if (!aSegments) {
    this->StartBackoff(aNow);
    return;
  }
  std::sort(aSegments->begin(),
            aSegments->end(),
            [](const KeyValue& aLeft, const KeyValue& aRight) {
              return aLeft.key < aRight.key;
            });
  this->loaded = true;
  this->syncedAt = aNow;
  this->backoff = this->options.minBackoff;
  for (const KeyValue& segmentValue : *aSegments) {
    // The first segments may have been deleted, so the number is taken from the
    // key.
    this->segment = SegmentNumber(segmentValue.key);
    this->ApplySegment(segmentValue.value, segmentValue.revision);
  }
  // The list is one consistent read: if its last segment is sealed, the next
  // one does not exist yet and needs no read.
  this->stale = false;
}

void
JournalWriter::OnRead(Result<KeyValue> aSegment, Instant aNow)
{
  this->callRunning = false;
  if (!aSegment) {
    this->StartBackoff(aNow);
    return;
  }
  this->backoff = this->options.minBackoff;
  this->syncedAt = aNow;
  this->readSinceSwap = true;
  this->ApplySegment(aSegment->value, aSegment->revision);
  this->ResolveIntents();
}

void
JournalWriter::OnSwapped(Result<Revision> aRevision, Instant aNow)
{
  this->callRunning = false;
  if (aRevision) {
    this->backoff = this->options.minBackoff;
    this->syncedAt = aNow;
    const std::string written = std::move(this->swapText);
    this->ApplySegment(written, *aRevision);
    this->ResolveIntents();
    return;
  }
  // The write may have taken effect; reading the segment again shows whether it
  // did.
  this->stale = true;
  if (aRevision.error().code == ErrorCode::kConflict) {
    ++this->conflicts;
    this->nextCallAt = aNow;
  } else {
    this->StartBackoff(aNow);
  }
}

void
JournalWriter::StartBackoff(Instant aNow)
{
  this->nextCallAt = aNow + this->backoff;
  this->backoff = std::min(this->backoff * 2, this->options.maxBackoff);
}

void
JournalWriter::AddResolution(const PendingIntent& aPending)
{
  const JournalEntry* const entry = this->index.Find(aPending.intent.key);
  JournalResolution resolution{ .nonce = aPending.intent.nonce,
                                .verdict = IntentVerdict::kDuplicate,
                                .entry = std::nullopt };
  if (entry->intent.nonce == aPending.intent.nonce) {
    resolution.verdict = IntentVerdict::kRun;
  } else if (entry->intent.fingerprint != aPending.intent.fingerprint) {
    resolution.verdict = IntentVerdict::kKeyReused;
  } else {
    resolution.entry = *entry;
  }
  this->resolutions.push_back(std::move(resolution));
}

void
JournalWriter::ResolveIntents()
{
  if (!this->loaded || this->stale) {
    return;
  }
  std::erase_if(this->intents, [this](const PendingIntent& aPending) {
    if (this->index.MayAttempt(aPending.intent.key)) {
      return false;
    }
    this->AddResolution(aPending);
    return true;
  });
  this->CloseAbandonedIntents();
}

void
JournalWriter::CloseAbandonedIntents()
{
  std::erase_if(this->abandoned, [this](const auto& aItem) {
    const auto& [nonce, attempt] = aItem;
    const JournalEntry* const entry = this->index.Find(attempt.key);
    if (entry != nullptr && entry->intent.nonce == nonce) {
      if (!entry->end) {
        JournalEnd end;
        end.key = attempt.key;
        end.nonce = nonce;
        end.outcome = Outcome::kNotRun;
        end.at = entry->intent.at;
        this->ends.push_back(std::move(end));
      }
      return true;
    }
    return this->segment != attempt.segment ||
           this->revision > attempt.revision;
  });
}

void
JournalWriter::RemoveWrittenEnds()
{
  std::erase_if(this->ends, [this](const JournalEnd& aEnd) {
    const JournalEntry* const entry = this->index.Find(aEnd.key);
    const bool owned = entry != nullptr && entry->intent.nonce == aEnd.nonce;
    const bool written =
      owned && entry->end && entry->end->outcome == aEnd.outcome;
    if (written) {
      this->writtenEnds.push_back(aEnd.nonce);
    }
    return written || !owned;
  });
}

void
JournalWriter::Expire(Instant aNow)
{
  std::erase_if(this->intents, [&](const PendingIntent& aPending) {
    if (aNow < aPending.deadline) {
      return false;
    }
    if (aPending.sent) {
      this->abandoned.emplace(aPending.intent.nonce,
                              AbandonedIntent{ .key = aPending.intent.key,
                                               .segment = this->segment,
                                               .revision = this->revision });
      // Read the segment again, so that the intent is recorded as not run if it
      // was written.
      this->stale = true;
    }
    this->resolutions.push_back(
      JournalResolution{ .nonce = aPending.intent.nonce,
                         .verdict = IntentVerdict::kUnavailable,
                         .entry = std::nullopt });
    return true;
  });
}

std::vector<JournalResolution>
JournalWriter::TakeResolutions()
{
  return std::exchange(this->resolutions, {});
}

std::vector<std::string>
JournalWriter::TakeWrittenEnds()
{
  return std::exchange(this->writtenEnds, {});
}

} // namespace apricottrack
