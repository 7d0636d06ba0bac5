#include "limits/LimitSample.h"

#include <charconv>

namespace apricottrack {

namespace {

constexpr double kMaxRequestLimit = 10'000'000;

} // namespace

std::optional<double>
ReadRequestLimit(std::string_view aText)
{
  double limit = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, limit, std::chars_format::fixed);
  const bool isNumber =
    !aText.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
  if (!isNumber || !IsRequestLimit(limit)) {
    return std::nullopt;
  }
  return limit;
}

bool
IsRequestLimit(double aLimit)
{
  // False for NaN as well.
  return aLimit >= 0 && aLimit <= kMaxRequestLimit;
}

} // namespace apricottrack
