#ifndef APRICOTTRACK_ERROR_H
#define APRICOTTRACK_ERROR_H

#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// The error type shared by all modules.
namespace apricottrack {

/// The kind of failure. For a failed call it also states whether the peer may
/// have executed the request, on which the safety of a retry depends.
enum class ErrorCode
{
  kInvalidInput,
  /// The peer could not be reached; nothing was sent.
  kUnreachable,
  /// The request was sent, but no usable reply arrived. The peer may or may
  /// not have executed it.
  kNoReply,
  /// The peer refused the request and did not execute it.
  kRefused,
  /// The peer accepts no calls at present and did not execute the request.
  kBusy,
  /// A compare-and-swap found a revision other than the expected one.
  kConflict,
  /// No complete reply arrived in time. The peer may or may not have executed
  /// the request.
  kTimeout,
  /// The peer's reply was malformed, truncated or for another request. The peer
  /// may have executed the request.
  kBadReply,
};

/// Returns the name of an error code in snake case, as used in logs.
std::string_view
ErrorCodeName(ErrorCode aCode);

/// A failure, with the operation and the peer at which it occurred.
struct Error
{
  ErrorCode code = ErrorCode::kInvalidInput;
  /// The operation that failed, such as "kv.range" or "target.connect".
  std::string step;
  /// Address or name of the other side; empty for local failures.
  std::string peer;
  /// Description for people.
  std::string detail;
  /// The operation took too long, whatever the code.
  bool timedOut = false;

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

/// Formats an error as one line of key=value pairs: code, step, peer and
/// detail.
std::string
Describe(const Error& aError);

} // namespace apricottrack

#endif
