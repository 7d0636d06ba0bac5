#include "limits/PauseRequest.h"

#include <charconv>

namespace apricottrack {

namespace {

/// A target that asks for more is asked again after this time.
constexpr double kMaxPauseSeconds = 300;

} // namespace

std::optional<PauseRequest>
ReadPauseRequest(std::string_view aText)
{
  if (aText.empty()) {
    return std::nullopt;
  }
  double value = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, value, std::chars_format::fixed);
  // The comparison is false for NaN as well.
  const bool isNumber =
    parsed.ec == std::errc{} && parsed.ptr == end && value >= 0;
  if (!isNumber) {
    return PauseRequest{ .isInRange = false };
  }
  if (value > kMaxPauseSeconds) {
    return PauseRequest{ .duration = FromSeconds(kMaxPauseSeconds),
                         .isInRange = false };
  }
  return PauseRequest{ .duration = FromSeconds(value) };
}

} // namespace apricottrack
