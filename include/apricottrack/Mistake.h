#ifndef APRICOTTRACK_MISTAKE_H
#define APRICOTTRACK_MISTAKE_H

#include <string>
#include <vector>

namespace apricottrack {

/// A mistake in a file that an operator wrote: its position, its cause and how
/// to correct it.
struct Mistake
{
  /// Line and column, counted from 1; zero if the mistake has no position.
  int line = 0;
  int column = 0;
  /// The dotted path of the value, such as "services[1].kinds[0].path".
  std::string path;
  std::string cause;
  std::string remedy;

  friend bool operator==(const Mistake&, const Mistake&) = default;
};

using Mistakes = std::vector<Mistake>;

/// Formats each mistake as a line "NAME:LINE:COLUMN: PATH: CAUSE; REMEDY".
std::string
Describe(const Mistakes& aMistakes, const std::string& aName);

} // namespace apricottrack

#endif
