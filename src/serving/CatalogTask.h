#ifndef APRICOTTRACK_SERVING_CATALOGTASK_H
#define APRICOTTRACK_SERVING_CATALOGTASK_H

#include "serving/ServingContext.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace apricottrack {

/// Keeps the catalog in force up to date, and the proof that it is the newest
/// one fresh: reads it at short intervals, as a watch that says nothing
/// proves nothing.
class CatalogTask
{
public:
  struct Options
  {
    /// Well below the bound within which a change has to be in force.
    Duration readEvery = milliseconds(900);
    /// After a read that failed; each call is paid for, and the proof lasts
    /// for several tries.
    Duration retryEvery = milliseconds(800);
  };

  CatalogTask(ServingContext& aContext,
              KeyValueStore& aStore,
              Options aOptions,
              std::function<void()> aOnChange);

  void Start();

  /// While another node proves the catalog to be the newest, the store is
  /// left alone.
  void SetActive(bool aActive);

  /// Reads the catalog once, whether active or not; false on failure.
  Task<bool> ReadOnce();

  /// Takes a newer document that another node read, and that was proven to be
  /// the newest at that time. Answers nodes that the store turns away, and
  /// spares the store a read by each node at each change.
  void TakeRelayed(Revision aRevision,
                   const std::string& aDocument,
                   Instant aProvenAt);

  /// The document that was last read, for other nodes.
  const std::string& Document() const { return this->document; }

  /// Revision of the document in force; zero before the first.
  Revision Known() const { return this->known; }

private:
  Task<void> Run();
  void Take(Revision aRevision, std::string aDocument, Instant aProvenAt);

  ServingContext& context;
  KeyValueStore& store;
  Options options;
  boost::asio::steady_timer wake;
  std::function<void()> onChange;
  /// Revision of the document that was last decoded.
  Revision known = 0;
  std::string document;
  bool active = false;
  bool reachable = false;
};

} // namespace apricottrack

#endif
