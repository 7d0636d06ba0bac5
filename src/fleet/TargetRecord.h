#ifndef APRICOTTRACK_FLEET_TARGETRECORD_H
#define APRICOTTRACK_FLEET_TARGETRECORD_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// State of a target within its replica.
enum class MemberState
{
  kNone,
  kJoining,
  /// Has its part of the weights loaded.
  kReady,
  /// Head only: accepts requests.
  kOpen,
  /// Head only: finishes running requests and accepts no new ones.
  kClosing,
  /// Head only: has detected the loss of a member.
  kBroken,
};

std::string_view
MemberStateName(MemberState aState);

/// A target's place in a replica, as reported by the target.
struct Membership
{
  std::string replica;
  /// Increases with each list of members; targets refuse orders of an older
  /// epoch.
  std::int64_t epoch = 0;
  /// Zero is the head, which receives the replica's requests.
  int rank = 0;
  MemberState state = MemberState::kNone;

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// Returns NAME/EPOCH, which identifies one list of members of a replica.
std::string
ReplicaKey(const Membership& aMembership);

/// A target's registration in the store and the state that it last reported.
struct TargetRecord
{
  std::string id;
  std::string service;
  std::string address;
  std::string availabilityZone;
  std::string fabricDomain;
  /// Maximum number of requests in the target's batch.
  int slots = 1;
  /// Draining: finishes running requests and accepts no new ones.
  bool leaving = false;
  /// Model whose weights are loaded or being loaded; empty for none.
  std::string model;
  /// Models whose weights are on the target's host, which makes loading fast.
  std::vector<std::string> stagedModels;
  std::optional<Membership> membership;
  /// Start of the process; a new value means that the target restarted and
  /// lost its weights and membership.
  UnixMillis startedAt = 0;
  /// How long the target stays cold, counted from the last change of this
  /// record; zero if it is warm. Not sent between nodes.
  Duration coldRemaining = Duration::zero();
  /// The target is carrying out an order. Not sent between nodes.
  bool busy = false;
  /// Revision of the entry in the store; an older one never replaces a newer
  /// one.
  std::int64_t revision = 0;

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

} // namespace apricottrack

#endif
