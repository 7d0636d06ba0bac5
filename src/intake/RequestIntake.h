#ifndef APRICOTTRACK_INTAKE_REQUESTINTAKE_H
#define APRICOTTRACK_INTAKE_REQUESTINTAKE_H

#include "apricottrack/Configuration.h"
#include "intake/Refusal.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace apricottrack {

/// A caller's request, understood and checked against the configuration.
/// The pointers live as long as the configuration held beside them.
struct RequestSpec
{
  std::shared_ptr<const Configuration> configuration;
  const ClientAccount* account = nullptr;
  const Service* service = nullptr;
  const RequestKind* kind = nullptr;
  std::string requestId;
  /// Empty where the caller sent none.
  std::string idempotencyKey;
  /// False if the kind is declared so or the caller sent a key.
  bool idempotent = true;
  /// Path and query at the target.
  std::string targetPath;
  /// Hash of the prompt's beginning; zero for plain services.
  std::uint64_t prefixHash = 0;
  /// Tokens of the prompt, by its length.
  double promptTokens = 0;
  /// Tokens that the request may cost, for the account's limit.
  double estimatedTokens = 0;
  Instant deadline;
};

/// The request id to use: the caller's if it is short and printable, or a
/// new one.
std::string
RequestIdOf(const HttpRequest& aRequest);

/// Understands a request, or says why it is refused.
tl::expected<RequestSpec, Refusal>
ReadRequest(const HttpRequest& aRequest,
            std::shared_ptr<const Configuration> aConfiguration,
            std::string aRequestId,
            Instant aNow);

/// Tells a repeat of a request from another one under the same key.
std::string
RequestFingerprint(const HttpRequest& aRequest);

/// Key under which the journal keeps a non-idempotent request.
std::string
JournalKey(const RequestSpec& aSpec, std::string_view aFingerprint);

} // namespace apricottrack

#endif
