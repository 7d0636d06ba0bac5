#include "base/Counters.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace apricottrack {

namespace {

/// Upper bounds of the histogram buckets, in seconds. 0.56 s is the default
/// objective for the first token, so that the share within it can be read off.
constexpr std::array kBucketBounds{ 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2,
                                    0.3,   0.56, 1.0,  2.0,   5.0,  10.0 };

void
AppendEscaped(std::string& aText, std::string_view aValue)
{
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aText.push_back('\\');
    }
    aText.push_back(byte == '\n' ? ' ' : byte);
  }
}

/// Returns NAME{LABEL="VALUE",...}, or just the name if there are no labels.
std::string
MetricKey(std::string_view aName, std::initializer_list<Label> aLabels)
{
  std::string key = "apricottrack_";
  key.append(aName);
  char separator = '{';
  for (const auto& [name, value] : aLabels) {
    key.push_back(separator);
    key.append(name).append("=\"");
    AppendEscaped(key, value);
    key.push_back('"');
    separator = ',';
  }
  if (aLabels.size() > 0) {
    key.push_back('}');
  }
  return key;
}

} // namespace

void
Counters::Add(std::string_view aName,
              std::initializer_list<Label> aLabels,
              std::int64_t aAmount)
{
  this->values[MetricKey(aName, aLabels)] += static_cast<double>(aAmount);
}

void
Counters::Set(std::string_view aName,
              std::initializer_list<Label> aLabels,
              double aValue)
{
  this->values[MetricKey(aName, aLabels)] = aValue;
}

void
Counters::Observe(std::string_view aName,
                  std::initializer_list<Label> aLabels,
                  double aSeconds)
{
  Histogram& histogram = this->histograms[MetricKey(aName, aLabels)];
  histogram.buckets.resize(kBucketBounds.size() + 1);
  const auto bucket =
    std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), aSeconds) -
    kBucketBounds.begin();
  ++histogram.buckets[static_cast<std::size_t>(bucket)];
  histogram.sum += aSeconds;
  ++histogram.count;
}

void
Counters::AppendHistogram(std::string& aText,
                          const std::string& aKey,
                          const Histogram& aHistogram)
{
  const std::size_t brace = std::min(aKey.find('{'), aKey.size());
  const std::string name = aKey.substr(0, brace);
  std::string labels = aKey.substr(brace);
  const std::string labelSet = labels;
  if (!labels.empty()) {
    labels = labels.substr(1, labels.size() - 2) + ",";
  }
  std::int64_t cumulativeCount = 0;
  for (std::size_t i = 0; i < aHistogram.buckets.size(); ++i) {
    cumulativeCount += aHistogram.buckets[i];
    const std::string bound =
      i < kBucketBounds.size() ? fmt::format("{}", kBucketBounds[i]) : "+Inf";
    aText += fmt::format(
      "{}_bucket{{{}le=\"{}\"}} {}\n", name, labels, bound, cumulativeCount);
  }
  aText += fmt::format("{}_sum{} {}\n", name, labelSet, aHistogram.sum);
  aText += fmt::format("{}_count{} {}\n", name, labelSet, aHistogram.count);
}

std::string
Counters::Text() const
{
  std::string text;
  for (const auto& [key, value] : this->values) {
    text += fmt::format("{} {}\n", key, value);
  }
  for (const auto& [key, histogram] : this->histograms) {
    AppendHistogram(text, key, histogram);
  }
  return text;
}

} // namespace apricottrack
