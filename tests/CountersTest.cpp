#include "base/Counters.h"

#include "base/Log.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

TEST_CASE(
  "Counters renders counters and cumulative histograms with their labels")
{
  Counters counters;
  counters.Add("requests_total", { { "service", "a\"b" } });
  counters.Add("requests_total", { { "service", "a\"b" } }, 2);
  counters.Observe("wait_seconds", { { "service", "s" } }, 0.3);
  counters.Observe("wait_seconds", { { "service", "s" } }, 99);
  const std::string text = counters.Text();
  for (const std::string_view line :
       { "apricottrack_requests_total{service=\"a\\\"b\"} 3\n",
         "apricottrack_wait_seconds_bucket{service=\"s\",le=\"0.2\"} 0\n",
         "apricottrack_wait_seconds_bucket{service=\"s\",le=\"0.3\"} 1\n",
         "apricottrack_wait_seconds_bucket{service=\"s\",le=\"+Inf\"} 2\n",
         "apricottrack_wait_seconds_count{service=\"s\"} 2\n" }) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE(
  "LogLine quotes only values with spaces, quotes or control characters")
{
  CHECK(LogLine("e").With("k", "plain").Text() == "event=e k=plain");
  CHECK(LogLine("e").With("k", "a b\n\"").Text() ==
        "event=e k=\"a b\\x0a\\\"\"");
}
