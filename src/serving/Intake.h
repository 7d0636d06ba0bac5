#ifndef APRICOTTRACK_SERVING_INTAKE_H
#define APRICOTTRACK_SERVING_INTAKE_H

#include "catalog/CatalogHolder.h"
#include "serving/PlatformProtocol.h"

#include <random>
#include <string>
#include <string_view>

namespace apricottrack {

/// A request that was admitted, with its route, service and deadline.
struct AdmittedRequest
{
  /// Keeps the catalog alive that the route and service belong to.
  CatalogPointer catalog;
  const CatalogRoute* route = nullptr;
  /// Null if the catalog does not define the service that the route names.
  const CatalogService* service = nullptr;
  /// Empty for a public route.
  std::string account;
  /// Rank among requests that wait, the account's or else the route's; zero is
  /// the highest.
  int priority = 0;
  /// Arrival time plus the shorter of the caller's and the route's timeout.
  Instant deadline;
};

/// Why a request is refused before a target is chosen.
enum class IntakeRefusal
{
  /// The request is admitted.
  kNone,
  /// No catalog is known yet that was ever verified.
  kNoCatalog,
  kNoRoute,
  /// The key belongs to no account.
  kUnknownKey,
  /// The catalog was not verified recently enough to rule out that the key has
  /// been revoked.
  kKeyNotVerified,
  /// The catalog lacks the route or key, but was not verified recently enough
  /// to rule out that a newer one has it.
  kCatalogNotVerified,
};

/// The admitted request, or why it is refused.
struct IntakeResult
{
  IntakeRefusal refusal = IntakeRefusal::kNone;
  /// Set only if the refusal is `kNone`.
  AdmittedRequest request;
};

/// Returns whether verifying the catalog may lead to another decision.
bool
DependsOnVerification(IntakeRefusal aRefusal);

/// Checks a request against the catalog in force and, if it is allowed, picks
/// its service by weight. `aNow` is when the request arrived.
IntakeResult
Admit(const CatalogHolder& aHolder,
      const CallerHead& aCaller,
      std::string_view aHost,
      std::string_view aPath,
      Instant aNow,
      std::mt19937_64& aRandom);

} // namespace apricottrack

#endif
