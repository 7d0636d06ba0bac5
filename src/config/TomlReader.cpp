#include "config/TomlReader.h"

#include <fmt/format.h>

namespace apricottrack {

namespace {

std::string
RangeText(const NumberRange& aRange)
{
  const std::string unit =
    aRange.unit.empty() ? "" : fmt::format(" {}", aRange.unit);
  if (aRange.maximum == std::numeric_limits<double>::max()) {
    return fmt::format("at least {}{}", aRange.minimum, unit);
  }
  return fmt::format("from {} to {}{}", aRange.minimum, aRange.maximum, unit);
}

} // namespace

std::string
Describe(const Mistakes& aMistakes, const std::string& aName)
{
  std::string text;
  for (const Mistake& mistake : aMistakes) {
    text += fmt::format("{}:{}:{}: {}: {}; {}\n",
                        aName,
                        mistake.line,
                        mistake.column,
                        mistake.path,
                        mistake.cause,
                        mistake.remedy);
  }
  return text;
}

TomlReader::TomlReader(const toml::table& aTable,
                       std::string aPath,
                       Mistakes& aMistakes,
                       Mistakes* aUnknownKeys)
  : table(aTable)
  , path(std::move(aPath))
  , mistakes(aMistakes)
  , unknownKeys(aUnknownKeys)
{
}

const toml::node*
TomlReader::FindKey(std::string_view aKey)
{
  this->knownKeys.emplace(aKey);
  return this->table.get(aKey);
}

std::string
TomlReader::PathOf(std::string_view aKey) const
{
  return this->path.empty() ? std::string(aKey)
                            : fmt::format("{}.{}", this->path, aKey);
}

void
TomlReader::AddMistake(std::string_view aKey,
                       std::string aCause,
                       std::string aRemedy)
{
  this->mistakes.push_back(
    this->MakeMistake(aKey, std::move(aCause), std::move(aRemedy)));
}

Mistake
TomlReader::MakeMistake(std::string_view aKey,
                        std::string aCause,
                        std::string aRemedy) const
{
  const toml::node* const node = this->table.get(aKey);
  const auto position =
    node == nullptr ? this->table.source().begin : node->source().begin;
  return Mistake{ .line = static_cast<int>(position.line),
                  .column = static_cast<int>(position.column),
                  .path = this->PathOf(aKey),
                  .cause = std::move(aCause),
                  .remedy = std::move(aRemedy) };
}

std::string
TomlReader::String(std::string_view aKey)
{
  if (this->FindKey(aKey) == nullptr) {
    this->AddMistake(aKey, "is missing", "set it to a string in double quotes");
    return {};
  }
  std::string text = this->String(aKey, "");
  if (text.empty() && this->table.get(aKey)->is_string()) {
    this->AddMistake(aKey, "is empty", "set a non-empty string");
  }
  return text;
}

std::string
TomlReader::String(std::string_view aKey, std::string_view aDefault)
{
  const toml::node* const node = this->FindKey(aKey);
  if (node == nullptr) {
    return std::string(aDefault);
  }
  if (!node->is_string()) {
    this->AddMistake(aKey, "is not a string", "write it in double quotes");
    return std::string(aDefault);
  }
  return **node->as_string();
}

std::size_t
TomlReader::Choice(std::string_view aKey,
                   const std::vector<std::string_view>& aChoices,
                   std::size_t aDefault)
{
  const std::string text = this->String(aKey, aChoices[aDefault]);
  for (std::size_t i = 0; i < aChoices.size(); ++i) {
    if (text == aChoices[i]) {
      return i;
    }
  }
  this->AddMistake(aKey,
                   fmt::format("\"{}\" is not a valid value", text),
                   fmt::format("use one of: {}", fmt::join(aChoices, ", ")));
  return aDefault;
}

int
TomlReader::Integer(std::string_view aKey, NumberRange aRange, int aDefault)
{
  const toml::node* const node = this->FindKey(aKey);
  if (node != nullptr && !node->is_integer()) {
    this->AddMistake(
      aKey, "is not a whole number", "write a number " + RangeText(aRange));
    return aDefault;
  }
  return static_cast<int>(this->Number(aKey, aRange, aDefault));
}

double
TomlReader::Number(std::string_view aKey, NumberRange aRange, double aDefault)
{
  const toml::node* const node = this->FindKey(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  const auto number = node->value<double>();
  if (!number || node->is_boolean()) {
    this->AddMistake(
      aKey, "is not a number", "write a number " + RangeText(aRange));
    return aDefault;
  }
  if (!(*number >= aRange.minimum && *number <= aRange.maximum)) {
    this->AddMistake(aKey,
                     fmt::format("{} is out of range", *number),
                     "use a number " + RangeText(aRange));
    return aDefault;
  }
  return *number;
}

bool
TomlReader::Boolean(std::string_view aKey, bool aDefault)
{
  const toml::node* const node = this->FindKey(aKey);
  if (node == nullptr) {
    return aDefault;
  }
  if (!node->is_boolean()) {
    this->AddMistake(aKey, "is neither true nor false", "write true or false");
    return aDefault;
  }
  return **node->as_boolean();
}

std::vector<std::string>
TomlReader::StringList(std::string_view aKey)
{
  std::vector<std::string> texts;
  const toml::node* const node = this->FindKey(aKey);
  if (node == nullptr) {
    return texts;
  }
  const toml::array* const array = node->as_array();
  if (array == nullptr) {
    this->AddMistake(
      aKey, "is not a list", "write it as [\"first\", \"second\"]");
    return texts;
  }
  for (const toml::node& item : *array) {
    if (!item.is_string()) {
      this->AddMistake(aKey,
                       "has an item that is not a string",
                       "write each item in double quotes");
      return texts;
    }
    texts.push_back(**item.as_string());
  }
  return texts;
}

void
TomlReader::ForEachTable(std::string_view aKey,
                         const std::function<void(TomlReader&)>& aVisitor)
{
  const toml::node* const node = this->FindKey(aKey);
  if (node == nullptr) {
    return;
  }
  const toml::array* const array = node->as_array();
  if (array == nullptr) {
    this->AddMistake(aKey,
                     "is not a list of tables",
                     fmt::format("write each item as a [[{}]] table", aKey));
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const toml::table* const item = (*array)[i].as_table();
    if (item == nullptr) {
      this->AddMistake(aKey,
                       "has an item that is not a table",
                       fmt::format("write each item as a [[{}]] table", aKey));
      continue;
    }
    TomlReader reader(*item,
                      fmt::format("{}[{}]", this->PathOf(aKey), i),
                      this->mistakes,
                      this->unknownKeys);
    aVisitor(reader);
    reader.ReportUnknownKeys();
  }
}

void
TomlReader::VisitTable(std::string_view aKey,
                       const std::function<void(TomlReader&)>& aVisitor)
{
  const toml::node* const node = this->FindKey(aKey);
  if (node == nullptr) {
    return;
  }
  if (!node->is_table()) {
    this->AddMistake(
      aKey, "is not a table", fmt::format("write it as a [{}] table", aKey));
    return;
  }
  TomlReader reader(
    *node->as_table(), this->PathOf(aKey), this->mistakes, this->unknownKeys);
  aVisitor(reader);
  reader.ReportUnknownKeys();
}

void
TomlReader::ReportUnknownKeys()
{
  Mistakes& target =
    this->unknownKeys == nullptr ? this->mistakes : *this->unknownKeys;
  for (const auto& [key, node] : this->table) {
    if (!this->knownKeys.contains(std::string_view(key.str()))) {
      target.push_back(this->MakeMistake(
        key.str(),
        "is not a known key",
        fmt::format("remove it, or use one of the known keys: {}",
                    fmt::join(this->knownKeys, ", "))));
    }
  }
}

std::optional<toml::table>
ParseToml(std::string_view aText, Mistakes& aMistakes)
{
  try {
    return toml::parse(aText);
  } catch (const toml::parse_error& error) {
    const auto position = error.source().begin;
    aMistakes.push_back(Mistake{ .line = static_cast<int>(position.line),
                                 .column = static_cast<int>(position.column),
                                 .path = "",
                                 .cause = std::string(error.description()),
                                 .remedy = "correct the TOML syntax" });
    return std::nullopt;
  }
}

} // namespace apricottrack
