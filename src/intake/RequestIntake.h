#ifndef APRICOTTRACK_INTAKE_REQUESTINTAKE_H
#define APRICOTTRACK_INTAKE_REQUESTINTAKE_H

#include "apricottrack/Configuration.h"
#include "intake/Refusal.h"

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace apricottrack {

/// A caller's request, parsed and validated against the configuration. The
/// pointers refer into `configuration`, which this struct keeps alive.
struct RequestSpec
{
  std::shared_ptr<const Configuration> configuration;
  const ClientAccount* account = nullptr;
  const Service* service = nullptr;
  const RequestKind* kind = nullptr;
  std::string requestId;
  /// Empty if the caller sent none.
  std::string idempotencyKey;
  /// False if the kind is declared non-idempotent or the caller sent an
  /// idempotency key; the journal then records the request.
  bool idempotent = true;
  /// Path and query of the request to the target.
  std::string targetPath;
  /// Hash of the account's name and the first 512 bytes of the prompt. Requests
  /// with the same hash prefer the same target. Zero for plain services.
  std::uint64_t prefixHash = 0;
  /// Estimated number of prompt tokens: one per four bytes of the messages.
  double promptTokens = 0;
  /// Estimated number of prompt and output tokens, charged to the account's
  /// limit.
  double estimatedTokens = 0;
  Instant deadline;
};

/// Returns the caller's X-Request-Id if it is 1 to 128 printable ASCII
/// characters without space, quote and backslash, otherwise a new random id.
std::string
RequestIdOf(const HttpRequest& aRequest);

/// Parses and validates a request, or returns the refusal.
tl::expected<RequestSpec, Refusal>
ReadRequest(const HttpRequest& aRequest,
            std::shared_ptr<const Configuration> aConfiguration,
            std::string aRequestId,
            Instant aNow);

/// Returns whether another configuration could have allowed a request that
/// ReadRequest has refused.
bool
DependsOnConfiguration(const Refusal& aRefusal);

/// Returns a hash of method, path, query and body as 16 hex digits. It
/// distinguishes a retry of a request from a different request with the same
/// idempotency key.
std::string
RequestFingerprint(const HttpRequest& aRequest);

/// Returns the key under which the journal records a non-idempotent request,
/// as 32 hex digits.
std::string
JournalKey(const RequestSpec& aSpec, std::string_view aFingerprint);

} // namespace apricottrack

#endif
