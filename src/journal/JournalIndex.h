#ifndef APRICOTTRACK_JOURNAL_JOURNALINDEX_H
#define APRICOTTRACK_JOURNAL_JOURNALINDEX_H

#include "journal/JournalRecord.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace apricottrack {

/// The entries of one journal, read from the text of its segments in order.
/// A segment is lines of JSON that are only ever appended to.
class JournalIndex
{
public:
  /// Applies lines; true if the last one seals the segment.
  bool Apply(std::string_view aLines);

  /// The entry of a key, or null. Valid until the next Apply.
  const JournalEntry* Find(const std::string& aKey) const;

  /// True if a new attempt may be made for the key: none was made before,
  /// or the last one ended as not run.
  bool MayAttempt(const std::string& aKey) const;

  std::size_t Size() const { return this->entries.size(); }

  void ForEach(const std::function<void(const JournalEntry&)>& aVisit) const;

private:
  bool ApplyLine(std::string_view aLine);

  std::map<std::string, JournalEntry, std::less<>> entries;
};

} // namespace apricottrack

#endif
