#ifndef APRICOTTRACK_CATALOG_CATALOGHOLDER_H
#define APRICOTTRACK_CATALOG_CATALOGHOLDER_H

#include "catalog/CatalogIndex.h"

namespace apricottrack {

/// The catalog in force at this node, and how old the proof is that it was
/// the newest one. Never goes back to an older version.
class CatalogHolder
{
public:
  struct Options
  {
    /// Keys that were taken away must not be honoured for longer.
    Duration proofLifetime = milliseconds(4700);
  };

  explicit CatalogHolder(Options aOptions)
    : options(aOptions)
  {
  }

  /// Takes what the store held when a read, sent at `aAskedAt`, was served.
  /// Returns true if the catalog is newer than the one in force.
  bool Take(Catalog aCatalog, Instant aAskedAt);

  /// The version in force was confirmed by a read sent at `aAskedAt`.
  void Confirm(Instant aAskedAt);

  void SetProofLifetime(Duration aLifetime)
  {
    this->options.proofLifetime = aLifetime;
  }

  const CatalogPointer& Current() const { return this->current; }

  /// True while a key that is honoured cannot have been taken away for longer
  /// than its bound.
  bool MayHonourKeys(Instant aNow) const;

  /// Age of the proof, for logs.
  Duration ProofAge(Instant aNow) const { return aNow - this->provenAt; }

private:
  Options options;
  CatalogPointer current;
  /// When the read was sent that last showed the catalog to be the newest.
  Instant provenAt;
};

} // namespace apricottrack

#endif
