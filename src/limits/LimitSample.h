#ifndef APRICOTTRACK_LIMITS_LIMITSAMPLE_H
#define APRICOTTRACK_LIMITS_LIMITSAMPLE_H

#include "apricottrack/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace apricottrack {

/// Decodes a request limit, a decimal number; none if it is malformed or out of
/// range.
std::optional<double>
ReadRequestLimit(std::string_view aText);

/// True for a number that can be a request limit.
bool
IsRequestLimit(double aLimit);

/// What a target's responses said about its request limit.
struct LimitSample
{
  std::string target;
  /// Requests per second from all nodes together; none if the limit has ended.
  std::optional<double> limit;
  /// Since the target last said so.
  Duration age = Duration::zero();

  friend bool operator==(const LimitSample&, const LimitSample&) = default;
};

/// A target that is cold, for other nodes.
struct ColdSample
{
  std::string target;
  /// Requests per second that it accepts from all nodes together.
  double rate = 0;
  /// How long it stays cold.
  Duration remaining = Duration::zero();

  friend bool operator==(const ColdSample&, const ColdSample&) = default;
};

} // namespace apricottrack

#endif
