#ifndef APRICOTTRACK_MISTAKE_H
#define APRICOTTRACK_MISTAKE_H

#include <string>
#include <vector>

namespace apricottrack {

/// One mistake in a text that a person wrote: where, why, and what to do.
struct Mistake
{
  /// Counted from 1; zero where the mistake has no single place.
  int line = 0;
  int column = 0;
  /// The dotted path of the value, such as "services[1].kinds[0].path".
  std::string path;
  std::string cause;
  std::string remedy;

  friend bool operator==(const Mistake&, const Mistake&) = default;
};

using Mistakes = std::vector<Mistake>;

/// "NAME:LINE:COLUMN: PATH: CAUSE; REMEDY", one line per mistake.
std::string
Describe(const Mistakes& aMistakes, const std::string& aName);

} // namespace apricottrack

#endif
