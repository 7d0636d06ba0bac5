#ifndef APRICOTTRACK_REPLICAS_REPLICAORDER_H
#define APRICOTTRACK_REPLICAS_REPLICAORDER_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// What a target is ordered to do.
enum class OrderKind
{
  /// Become a member of a replica, loading the model if necessary.
  kJoin,
  /// Start to serve, as the head.
  kOpen,
  /// Abort the running requests and return to the ready state, as the head.
  kCloseNow,
  /// Finish the running requests and accept no new ones, as the head.
  kCloseGently,
  /// Leave the replica.
  kLeave,
  /// Load a model's weights onto the target's host.
  kStage,
};

/// Returns the name that logs and metrics use.
std::string_view
OrderKindName(OrderKind aKind);

/// An order from the planner to one target.
struct ReplicaOrder
{
  OrderKind kind = OrderKind::kJoin;
  /// Target id.
  std::string target;
  /// HOST:PORT of the target.
  std::string address;
  /// Name of the replica; empty for kStage.
  std::string replica;
  /// Epoch of the list of members; zero for kStage.
  std::int64_t epoch = 0;
  /// Name of the model.
  std::string model;
  /// Target ids of the replica's members; the first is the head. Orders of kind
  /// kLeave and kStage contain only the target itself.
  std::vector<std::string> members;
  /// Identifies the planner's lease; a target that has seen a higher token
  /// refuses the order.
  std::int64_t fencingToken = 0;

  friend bool operator==(const ReplicaOrder&, const ReplicaOrder&) = default;
};

/// A target's reply to an order.
enum class OrderReply
{
  /// The target carries out the order, or has already done so.
  kAccepted,
  /// The order does not apply in the target's current state.
  kUnfit,
  /// The target has seen a higher fencing token or epoch.
  kFenced,
  /// Another target listens on the address.
  kOtherTarget,
  /// The target could not interpret the order.
  kInvalid,
  /// No usable reply: the order may still be carried out.
  kUnknown,
};

/// Returns the name that logs and metrics use.
std::string_view
OrderReplyName(OrderReply aReply);

} // namespace apricottrack

#endif
