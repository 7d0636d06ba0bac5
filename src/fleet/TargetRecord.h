#ifndef APRICOTTRACK_FLEET_TARGETRECORD_H
#define APRICOTTRACK_FLEET_TARGETRECORD_H

#include "apricottrack/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// How far a target is with its replica.
enum class MemberState
{
  kNone,
  kJoining,
  /// Holds its part of the weights.
  kReady,
  /// A head that serves requests.
  kOpen,
  /// A head that finishes what runs.
  kClosing,
  /// A head that has found out about a lost member.
  kBroken,
};

std::string_view
MemberStateName(MemberState aState);

/// A target's place in a replica, by its own account.
struct Membership
{
  std::string replica;
  /// Grows with each list of members; late orders of older ones are refused.
  std::int64_t epoch = 0;
  /// Zero is the head, which takes the requests.
  int rank = 0;
  MemberState state = MemberState::kNone;

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// NAME/EPOCH: one list of members of a replica.
std::string
ReplicaKey(const Membership& aMembership);

/// What is known of one target.
struct TargetRecord
{
  std::string id;
  std::string service;
  std::string address;
  std::string availabilityZone;
  std::string fabricDomain;
  int slots = 1;
  /// Finishes what runs and takes nothing new.
  bool leaving = false;
  /// Model whose weights it holds, or that it is loading; empty for none.
  std::string model;
  /// Models on its host, from which loading is fast.
  std::vector<std::string> stagedModels;
  std::optional<Membership> membership;
  /// Start of the process; another value means that it forgot everything.
  UnixMillis startedAt = 0;
  bool busy = false;
  /// Revision of the store's entry; an older one never replaces a newer one.
  std::int64_t revision = 0;

  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

} // namespace apricottrack

#endif
