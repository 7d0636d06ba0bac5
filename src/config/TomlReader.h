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

/// Inclusive bounds of a number; error messages name the unit.
struct NumberRange
{
  double minimum = 0;
  double maximum = std::numeric_limits<double>::max();
  std::string_view unit;
};

/// Reads and validates the values of one TOML table. Mistakes are collected,
/// and reading goes on with the default, so that one run reports all of them.
/// Holds references: the table and the list of mistakes must outlive it.
class TomlReader
{
public:
  /// `aPath` is the dotted path of the table, empty for the root. Unknown keys
  /// go to `aUnknownKeys` instead if that is not null.
  TomlReader(const toml::table& aTable,
             std::string aPath,
             Mistakes& aMistakes,
             Mistakes* aUnknownKeys = nullptr);

  /// Returns a required, non-empty string.
  std::string String(std::string_view aKey);
  /// Returns an optional string.
  std::string String(std::string_view aKey, std::string_view aDefault);

  /// Returns the index of the value in `aChoices`, or the default index if the
  /// key is absent or its value is not among the choices, which is a mistake.
  std::size_t Choice(std::string_view aKey,
                     const std::vector<std::string_view>& aChoices,
                     std::size_t aDefault);

  /// Integer, Number and Boolean return the default if the key is absent. They
  /// also do so if the value has the wrong type or is out of range, and report
  /// a mistake.
  int Integer(std::string_view aKey, NumberRange aRange, int aDefault);
  double Number(std::string_view aKey, NumberRange aRange, double aDefault);
  bool Boolean(std::string_view aKey, bool aDefault);
  /// Returns an optional list of strings, empty if the key is absent.
  std::vector<std::string> StringList(std::string_view aKey);

  /// Calls the visitor for each table of an array of tables.
  void ForEachTable(std::string_view aKey,
                    const std::function<void(TomlReader&)>& aVisitor);

  /// Calls the visitor for a sub-table if it is present.
  void VisitTable(std::string_view aKey,
                  const std::function<void(TomlReader&)>& aVisitor);

  /// Reports each key of the table that was not read. Call it last.
  void ReportUnknownKeys();

  /// Adds a mistake at a key of this table, or at the table if the key is
  /// absent.
  void AddMistake(std::string_view aKey,
                  std::string aCause,
                  std::string aRemedy);

private:
  /// Marks the key as known and returns its node, or null if absent.
  const toml::node* FindKey(std::string_view aKey);
  Mistake MakeMistake(std::string_view aKey,
                      std::string aCause,
                      std::string aRemedy) const;
  std::string PathOf(std::string_view aKey) const;

  const toml::table& table;
  std::string path;
  Mistakes& mistakes;
  /// Where unknown keys are reported; null for `mistakes`.
  Mistakes* unknownKeys;
  /// Keys read so far.
  std::set<std::string, std::less<>> knownKeys;
};

/// Parses a TOML text. On a syntax error, adds it to the mistakes and returns
/// nothing.
std::optional<toml::table>
ParseToml(std::string_view aText, Mistakes& aMistakes);

} // namespace apricottrack

#endif
