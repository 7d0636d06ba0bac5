#ifndef APRICOTTRACK_BASE_LOG_H
#define APRICOTTRACK_BASE_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

namespace apricottrack {

struct Error;

/// A log event, formatted as a single line of key=value pairs. Empty values and
/// values with spaces, quotes, equals signs, backslashes or control characters
/// are quoted; quotes, backslashes and control characters are escaped.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& With(std::string_view aKey, std::string_view aValue) &;
  LogLine& With(std::string_view aKey, std::int64_t aValue) &;
  /// Appends the value with three decimals.
  LogLine& With(std::string_view aKey, double aValue) &;
  /// Appends code, step, peer and detail.
  LogLine& With(const Error& aError) &;

  template<typename... Args>
  LogLine&& With(Args&&... aArgs) &&
  {
    static_cast<LogLine&>(*this).With(std::forward<Args>(aArgs)...);
    return std::move(*this);
  }

  const std::string& Text() const { return this->text; }

  /// Writes the line through spdlog at the level info or warn.
  void Info() const;
  void Warn() const;

private:
  std::string text;
};

/// Sets spdlog's sink, pattern and level ("debug", "info", "warn" or "error").
/// Each program calls it once.
void
StartLogging(std::string_view aLevel);

} // namespace apricottrack

#endif
