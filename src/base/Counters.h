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

/// Name and value of a label of a metric, such as service="advisor".
using Label = std::pair<std::string_view, std::string_view>;

/// Counters, gauges and histograms of a node, rendered in the Prometheus text
/// format. Names are given without the prefix "apricottrack_" that all metrics
/// share. Used by one thread.
class Counters
{
public:
  /// Increases a counter.
  void Add(std::string_view aName,
           std::initializer_list<Label> aLabels = {},
           std::int64_t aAmount = 1);

  /// Sets a gauge.
  void Set(std::string_view aName,
           std::initializer_list<Label> aLabels,
           double aValue);

  /// Adds a duration in seconds to a histogram with fixed bucket bounds.
  void Observe(std::string_view aName,
               std::initializer_list<Label> aLabels,
               double aSeconds);

  /// Renders all metrics, one line per value.
  std::string Text() const;

private:
  struct Histogram
  {
    /// Counts by upper bound, not cumulative; the last bucket has no bound.
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
