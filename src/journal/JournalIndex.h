#ifndef APRICOTTRACK_JOURNAL_JOURNALINDEX_H
#define APRICOTTRACK_JOURNAL_JOURNALINDEX_H

#include "journal/JournalRecord.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace apricottrack {

/// Entries of one journal by JournalIntent::key, built from the text of its
/// segments in order. A segment is an append-only text of JSON lines.
class JournalIndex
{
public:
  /// Applies lines in order and returns whether one of them seals the segment.
  /// Skips lines that cannot be parsed, intents whose key allows no new
  /// attempt, and ends of another attempt than the recorded one.
  bool Apply(std::string_view aLines);

  /// Returns the entry of a key, or null. Valid until the next Apply.
  const JournalEntry* Find(const std::string& aKey) const;

  /// Returns whether a new attempt is allowed for the key: there was none
  /// before, or the last one ended as not run.
  bool MayAttempt(const std::string& aKey) const;

  std::size_t Size() const { return this->entries.size(); }

  void ForEach(const std::function<void(const JournalEntry&)>& aVisit) const;

private:
  /// Applies one line and returns whether it seals the segment.
  bool ApplyLine(std::string_view aLine);

  std::map<std::string, JournalEntry, std::less<>> entries;
};

} // namespace apricottrack

#endif
