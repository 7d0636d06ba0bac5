#ifndef APRICOTTRACK_ERROR_H
#define APRICOTTRACK_ERROR_H

#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// The error type shared by all modules.
namespace apricottrack {

/// What kind of failure an Error describes.
enum class ErrorCode
{
  kInvalidInput,
  /// The peer could not be reached; nothing was sent.
  kUnreachable,
  /// Sent, but no usable reply came; the peer may or may not have acted.
  kNoReply,
  /// The peer refused and did not act.
  kRefused,
  /// The peer takes no calls for now; it did not act.
  kBusy,
  /// A compare-and-swap found another revision than the expected one.
  kConflict,
  kTimeout,
  /// The peer's reply was malformed, truncated or belongs to another request.
  kBadReply,
};

/// The lower-case name of an error code, as used in logs.
std::string_view
ErrorCodeName(ErrorCode aCode);

/// A failure, with the step and the peer at which it arose.
struct Error
{
  ErrorCode code = ErrorCode::kInvalidInput;
  /// The operation that failed, such as "kv.range" or "target.connect".
  std::string step;
  /// Address or name of the other side; empty for local failures.
  std::string peer;
  std::string detail;

  friend bool operator==(const Error&, const Error&) = default;
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Builds an unexpected Result from the parts of an Error.
tl::unexpected<Error>
Failure(ErrorCode aCode,
        std::string_view aStep,
        std::string_view aPeer,
        std::string_view aDetail);

/// One line of key=value pairs: code, step, peer and detail.
std::string
Describe(const Error& aError);

} // namespace apricottrack

#endif
