#ifndef APRICOTTRACK_CATALOG_CATALOGHOLDER_H
#define APRICOTTRACK_CATALOG_CATALOGHOLDER_H

#include "catalog/CatalogIndex.h"

namespace apricottrack {

/// The catalog in force at this node and the last time at which it was
/// verified to be the newest one. Bounds how long a revoked key is accepted
/// while the store is unreachable. Never returns to an older version.
class CatalogHolder
{
public:
  struct Options
  {
    /// Maximum age of the last verification at which keys are accepted, and so
    /// the maximum time that a revoked key remains valid.
    Duration proofLifetime = milliseconds(4700);
  };

  explicit CatalogHolder(Options aOptions)
    : options(aOptions)
  {
  }

  /// Applies the catalog that a store read, sent at `aAskedAt`, returned, and
  /// records the verification unless the catalog is older than the one in
  /// force. Returns true if it is newer.
  bool Take(Catalog aCatalog, Instant aAskedAt);

  /// Records that a read, sent at `aAskedAt`, showed the version in force to
  /// be the newest. An earlier time than the recorded one has no effect.
  void Confirm(Instant aAskedAt);

  void SetProofLifetime(Duration aLifetime)
  {
    this->options.proofLifetime = aLifetime;
  }

  const CatalogPointer& Current() const { return this->current; }

  /// True if there is a catalog and its last verification is recent enough to
  /// accept keys.
  bool MayHonourKeys(Instant aNow) const;

  /// Time since the last verification.
  Duration ProofAge(Instant aNow) const { return aNow - this->provenAt; }

private:
  Options options;
  CatalogPointer current;
  /// Send time of the latest read that showed the catalog to be the newest.
  Instant provenAt;
};

} // namespace apricottrack

#endif
