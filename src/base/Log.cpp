#include "base/Log.h"

#include "apricottrack/Error.h"
#include "base/BoundedSink.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace apricottrack {

namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
           return aByte <= ' ' || aByte == '"' || aByte == '=' ||
                  aByte == '\\' || aByte == 0x7f;
         });
}

void
AppendQuoted(std::string& aText, std::string_view aValue)
{
  aText.push_back('"');
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aText.push_back('\\');
      aText.push_back(byte);
    } else if (static_cast<unsigned char>(byte) < ' ' || byte == 0x7f) {
      aText.append(fmt::format("\\x{:02x}", static_cast<unsigned char>(byte)));
    } else {
      aText.push_back(byte);
    }
  }
  aText.push_back('"');
}

} // namespace

LogLine::LogLine(std::string_view aEvent)
  : text("event=")
{
  this->text.append(aEvent);
}

LogLine&
LogLine::With(std::string_view aKey, std::string_view aValue) &
{
  this->text.append(" ").append(aKey).append("=");
  if (NeedsQuotes(aValue)) {
    AppendQuoted(this->text, aValue);
  } else {
    this->text.append(aValue);
  }
  return *this;
}

LogLine&
LogLine::With(std::string_view aKey, std::int64_t aValue) &
{
  return this->With(aKey, std::string_view(std::to_string(aValue)));
}

LogLine&
LogLine::With(std::string_view aKey, double aValue) &
{
  return this->With(aKey, std::string_view(fmt::format("{:.3f}", aValue)));
}

LogLine&
LogLine::With(const Error& aError) &
{
  return this->With("code", ErrorCodeName(aError.code))
    .With("step", aError.step)
    .With("peer", aError.peer)
    .With("detail", aError.detail);
}

void
LogLine::Info() const
{
  spdlog::info("{}", this->text);
}

void
LogLine::Warn() const
{
  spdlog::warn("{}", this->text);
}

void
StartLogging(std::string_view aLevel)
{
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
    "apricottrack", std::make_shared<BoundedSink>(BoundedSink::Options{})));
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l %v");
  spdlog::set_level(spdlog::level::from_str(std::string(aLevel)));
}

} // namespace apricottrack
