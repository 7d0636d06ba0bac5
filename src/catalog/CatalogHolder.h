#ifndef APRICOTTRACK_CATALOG_CATALOGHOLDER_H
#define APRICOTTRACK_CATALOG_CATALOGHOLDER_H

#include "catalog/CatalogIndex.h"

namespace apricottrack {

/// The catalog in force at this node and the last time at which it was
/// verified to be the newest one. Bounds how long a revoked API key is accepted
/// while the store is unreachable. Never returns to an older version.
class CatalogHolder
{
public:
  struct Options
  {
    /// Maximum age of the last verification at which API keys are accepted, and
    /// so the maximum time that a revoked key remains valid.
    Duration maxVerificationAge = milliseconds(4700);
    /// Maximum age at which a route or key that the catalog lacks is taken not
    /// to exist; below the time within which a change has to be in force.
    Duration maxRefusalAge = milliseconds(1000);
  };

  explicit CatalogHolder(Options aOptions)
    : options(aOptions)
  {
  }

  /// Given as the time of a read that does not prove that the catalog is the
  /// newest one.
  static constexpr Instant kUnproven{};

  /// Applies the catalog that a store read, sent at `aReadSentAt`, returned,
  /// and records the verification unless the catalog is older than the one in
  /// force. Returns true if it is newer.
  bool Apply(Catalog aCatalog, Instant aReadSentAt);

  /// Records that a read, sent at `aReadSentAt`, showed the version in force to
  /// be the newest. An earlier time than the recorded one has no effect.
  void ConfirmCurrent(Instant aReadSentAt);

  /// True if a catalog was verified at least once. One that never was may be
  /// older than what this deployment has had in force.
  bool WasVerified() const { return this->wasVerified; }

  void SetMaxVerificationAge(Duration aMaxAge)
  {
    this->options.maxVerificationAge = aMaxAge;
  }

  const CatalogPointer& Current() const { return this->current; }

  /// True if there is a catalog and its last verification is recent enough to
  /// accept API keys.
  bool MayAcceptKeys(Instant aNow) const;

  /// True if there is a catalog and its last verification is recent enough to
  /// conclude that a route or key does not exist.
  bool MayRefuse(Instant aNow) const;

  /// When the catalog was last verified; the clock's epoch before the first.
  Instant VerifiedAt() const { return this->verifiedAt; }

  /// Time since the last verification.
  Duration VerificationAge(Instant aNow) const
  {
    return aNow - this->verifiedAt;
  }

private:
  Options options;
  CatalogPointer current;
  /// Send time of the latest read that showed the catalog to be the newest.
  Instant verifiedAt;
  bool wasVerified = false;
};

} // namespace apricottrack

#endif
