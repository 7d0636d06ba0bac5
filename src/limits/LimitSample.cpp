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
  // Written so that NaN is rejected as well.
  const bool isInRange = limit >= 0 && limit <= kMaxRequestLimit;
  if (!isNumber || !isInRange) {
    return std::nullopt;
  }
  return limit;
}

} // namespace apricottrack
