#ifndef APRICOTTRACK_CONFIG_TOMLREADER_H
#define APRICOTTRACK_CONFIG_TOMLREADER_H

#include "apricottrack/Mistake.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace apricottrack {

/// Inclusive bounds of a number, with the unit named in error texts.
struct NumberRange
{
  double least = 0;
  double most = std::numeric_limits<double>::max();
  std::string_view unit;
};

/// Reads one TOML table, collecting mistakes instead of stopping at the
/// first. A key that no method asked for is reported by Finish.
class TomlReader
{
public:
  TomlReader(const toml::table& aTable, std::string aPath, Mistakes& aMistakes);

  /// A required string that must not be empty.
  std::string Text(std::string_view aKey);
  std::string Text(std::string_view aKey, std::string_view aDefault);

  /// One of the named choices; its index, or the default if absent.
  std::size_t Choice(std::string_view aKey,
                     const std::vector<std::string_view>& aChoices,
                     std::size_t aDefault);

  int Integer(std::string_view aKey, NumberRange aRange, int aDefault);
  double Number(std::string_view aKey, NumberRange aRange, double aDefault);
  bool Flag(std::string_view aKey, bool aDefault);
  std::vector<std::string> Texts(std::string_view aKey);

  /// Calls the visitor for each table of an array of tables.
  void Tables(std::string_view aKey,
              const std::function<void(TomlReader&)>& aVisit);

  /// Calls the visitor for a sub-table if it is there.
  void Table(std::string_view aKey,
             const std::function<void(TomlReader&)>& aVisit);

  /// Reports keys that nothing asked for.
  void Finish();

  /// Adds a mistake at a key of this table.
  void Report(std::string_view aKey, std::string aCause, std::string aRemedy);

private:
  const toml::node* Take(std::string_view aKey);
  std::string PathOf(std::string_view aKey) const;

  const toml::table& table;
  std::string path;
  Mistakes& mistakes;
  std::set<std::string, std::less<>> known;
};

/// Parses a TOML text; on a syntax error adds the one mistake.
std::optional<toml::table>
ParseToml(std::string_view aText, Mistakes& aMistakes);

} // namespace apricottrack

#endif
