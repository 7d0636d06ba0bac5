#ifndef APRICOTTRACK_PLACEMENT_CANDIDATE_H
#define APRICOTTRACK_PLACEMENT_CANDIDATE_H

#include "apricottrack/Time.h"

#include <string>

namespace apricottrack {

/// A target that can serve a request, reduced to what Placement needs.
struct Candidate
{
  std::string id;
  /// IP:port that accepts requests.
  std::string address;
  std::string availabilityZone;
  /// Requests that the target runs concurrently.
  int slots = 1;
  /// ReplicaKey of the replica that the target heads; empty for a target of a
  /// service without replicas.
  std::string replica;
  /// Start of the target's process.
  UnixMillis startedAt = 0;

  friend bool operator==(const Candidate&, const Candidate&) = default;
};

} // namespace apricottrack

#endif
