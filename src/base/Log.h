#ifndef APRICOTTRACK_BASE_LOG_H
#define APRICOTTRACK_BASE_LOG_H

#include <cstdint>
#include <string>
#include <string_view>

namespace apricottrack {

struct Error;

/// One log event, written as a single line of key=value pairs.
/// Values with spaces, quotes or control characters are quoted and escaped.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& With(std::string_view aKey, std::string_view aValue) &;
  LogLine& With(std::string_view aKey, std::int64_t aValue) &;
  LogLine& With(std::string_view aKey, double aValue) &;
  LogLine& With(const Error& aError) &;

  template<typename... Args>
  LogLine&& With(Args&&... aArgs) &&
  {
    static_cast<LogLine&>(*this).With(std::forward<Args>(aArgs)...);
    return std::move(*this);
  }

  const std::string& Text() const { return this->text; }

  /// Write the line through spdlog at the named level.
  void Info() const;
  void Warn() const;

private:
  std::string text;
};

/// Sets spdlog's pattern and level; called once by each program.
void
StartLogging(std::string_view aLevel);

} // namespace apricottrack

#endif
