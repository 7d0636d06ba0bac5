#include "base/Counters.h"

#include <array>
#include <fmt/format.h>

namespace apricottrack {

namespace {

/// Upper bounds of histogram buckets, seconds; the first-token objective of
/// 0.56 s is one of them.
constexpr std::array kBounds{ 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2,
                              0.3,   0.56, 1.0,  2.0,   5.0,  10.0 };

std::string
Key(std::string_view aName,
    std::initializer_list<Label> aLabels,
    std::string_view aExtra = {})
{
  std::string key = "apricottrack_";
  key.append(aName);
  std::string labels;
  for (const auto& [name, value] : aLabels) {
    labels += fmt::format("{}{}=\"", labels.empty() ? "" : ",", name);
    for (const char byte : value) {
      if (byte == '"' || byte == '\\') {
        labels.push_back('\\');
      }
      labels.push_back(byte == '\n' ? ' ' : byte);
    }
    labels.push_back('"');
  }
  if (!aExtra.empty()) {
    labels += fmt::format("{}{}", labels.empty() ? "" : ",", aExtra);
  }
  return labels.empty() ? key : fmt::format("{}{{{}}}", key, labels);
}

} // namespace

void
Counters::Add(std::string_view aName,
              std::initializer_list<Label> aLabels,
              std::int64_t aAmount)
{
  this->values[Key(aName, aLabels)] += static_cast<double>(aAmount);
}

void
Counters::Set(std::string_view aName,
              std::initializer_list<Label> aLabels,
              double aValue)
{
  this->values[Key(aName, aLabels)] = aValue;
}

void
Counters::Observe(std::string_view aName,
                  std::initializer_list<Label> aLabels,
                  double aSeconds)
{
  const std::string name(aName);
  for (const double bound : kBounds) {
    if (aSeconds <= bound) {
      const std::string extra = fmt::format("le=\"{}\"", bound);
      this->values[Key(name + "_bucket", aLabels, extra)] += 1;
    }
  }
  this->values[Key(name + "_bucket", aLabels, "le=\"+Inf\"")] += 1;
  this->values[Key(name + "_sum", aLabels)] += aSeconds;
  this->values[Key(name + "_count", aLabels)] += 1;
}

std::string
Counters::Text() const
{
  std::string text;
  for (const auto& [key, value] : this->values) {
    text += fmt::format("{} {}\n", key, value);
  }
  return text;
}

} // namespace apricottrack
