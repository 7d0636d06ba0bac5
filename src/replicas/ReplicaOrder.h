#ifndef APRICOTTRACK_REPLICAS_REPLICAORDER_H
#define APRICOTTRACK_REPLICAS_REPLICAORDER_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

enum class OrderKind
{
  /// Become a member of a replica, loading the model if need be.
  kJoin,
  /// The head starts to serve.
  kOpen,
  /// The head breaks off what runs and is ready again.
  kCloseNow,
  /// The head takes nothing new and finishes what runs.
  kCloseGently,
  /// Be a member no longer.
  kLeave,
  /// Bring a model's weights to the target's host.
  kStage,
};

std::string_view
OrderKindName(OrderKind aKind);

/// An order to one target.
struct ReplicaOrder
{
  OrderKind kind = OrderKind::kJoin;
  std::string target;
  std::string address;
  std::string replica;
  std::int64_t epoch = 0;
  std::string model;
  /// Ids of a join's members; the first is the head.
  std::vector<std::string> members;
  /// A target that has seen a higher one refuses.
  std::int64_t fencingToken = 0;

  friend bool operator==(const ReplicaOrder&, const ReplicaOrder&) = default;
};

enum class OrderReply
{
  /// Begun, or already so.
  kAccepted,
  /// Does not fit the target's state.
  kUnfit,
  /// The target has seen a higher fencing token or epoch.
  kFenced,
  /// Another target has the address.
  kOtherTarget,
  kInvalid,
  /// No reply: it may be carried out, also later.
  kUnknown,
};

std::string_view
OrderReplyName(OrderReply aReply);

} // namespace apricottrack

#endif
