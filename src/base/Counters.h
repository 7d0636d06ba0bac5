#ifndef APRICOTTRACK_BASE_COUNTERS_H
#define APRICOTTRACK_BASE_COUNTERS_H

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricottrack {

/// A label of a counter, such as service="advisor".
using Label = std::pair<std::string_view, std::string_view>;

/// Named counters and gauges, shown in the text format that usual collectors
/// scrape. Used by one thread.
class Counters
{
public:
  void Add(std::string_view aName,
           std::initializer_list<Label> aLabels = {},
           std::int64_t aAmount = 1);

  void Set(std::string_view aName,
           std::initializer_list<Label> aLabels,
           double aValue);

  /// Counts one duration in a histogram with fixed bounds.
  void Observe(std::string_view aName,
               std::initializer_list<Label> aLabels,
               double aSeconds);

  std::string Text() const;

private:
  struct Histogram
  {
    /// Counts by upper bound; the last one has none.
    std::vector<std::int64_t> buckets;
    double sum = 0;
    std::int64_t count = 0;
  };

  static void AppendHistogram(std::string& aText,
                              const std::string& aKey,
                              const Histogram& aHistogram);

  std::map<std::string, double, std::less<>> values;
  std::map<std::string, Histogram, std::less<>> histograms;
};

} // namespace apricottrack

#endif
