#ifndef APRICOTTRACK_SERVING_INTAKE_H
#define APRICOTTRACK_SERVING_INTAKE_H

#include "catalog/CatalogHolder.h"
#include "serving/PlatformProtocol.h"

#include <random>
#include <string>
#include <string_view>

namespace apricottrack {

/// A request that may go to a target.
struct AcceptedRequest
{
  /// Keeps the catalog that the route belongs to.
  CatalogPointer catalog;
  const CatalogRoute* route = nullptr;
  const CatalogService* service = nullptr;
  /// Empty for a public route.
  std::string account;
  /// Whichever of the caller's and the route's time ends first.
  Instant deadline;
};

/// Why a request is turned away before any target is asked.
enum class IntakeRefusal
{
  kNone,
  /// No catalog is known yet.
  kNoCatalog,
  kNoRoute,
  /// The key belongs to no account.
  kUnknownKey,
  /// This node cannot prove that the key still holds.
  kKeyNotProven,
};

struct IntakeVerdict
{
  IntakeRefusal refusal = IntakeRefusal::kNone;
  AcceptedRequest request;
};

/// Decides whether the catalog in force allows a request, and where it goes.
IntakeVerdict
Admit(const CatalogHolder& aHolder,
      const CallerHead& aCaller,
      std::string_view aHost,
      std::string_view aPath,
      Instant aNow,
      std::mt19937_64& aRandom);

} // namespace apricottrack

#endif
