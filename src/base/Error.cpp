#include "apricottrack/Error.h"

#include "base/Log.h"

namespace apricottrack {

std::string_view
ErrorCodeName(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kInvalidInput:
      return "invalid_input";
    case ErrorCode::kUnreachable:
      return "unreachable";
    case ErrorCode::kNoReply:
      return "no_reply";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kBusy:
      return "busy";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kBadReply:
      return "bad_reply";
  }
  return "unknown";
}

tl::unexpected<Error>
Failure(ErrorCode aCode,
        std::string_view aStep,
        std::string_view aPeer,
        std::string_view aDetail)
{
  return tl::unexpected(Error{ .code = aCode,
                               .step = std::string(aStep),
                               .peer = std::string(aPeer),
                               .detail = std::string(aDetail) });
}

std::string
Describe(const Error& aError)
{
  return LogLine("error")
    .With("code", ErrorCodeName(aError.code))
    .With("step", aError.step)
    .With("peer", aError.peer)
    .With("detail", aError.detail)
    .Text();
}

} // namespace apricottrack
