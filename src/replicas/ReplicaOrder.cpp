#include "replicas/ReplicaOrder.h"

namespace apricottrack {

std::string_view
OrderKindName(OrderKind aKind)
{
  switch (aKind) {
    case OrderKind::kJoin:
      return "join";
    case OrderKind::kOpen:
      return "open";
    case OrderKind::kCloseNow:
      return "close_now";
    case OrderKind::kCloseGently:
      return "close_gently";
    case OrderKind::kLeave:
      return "leave";
    case OrderKind::kStage:
      break;
  }
  return "stage";
}

std::string_view
OrderReplyName(OrderReply aReply)
{
  switch (aReply) {
    case OrderReply::kAccepted:
      return "accepted";
    case OrderReply::kUnfit:
      return "unfit";
    case OrderReply::kFenced:
      return "fenced";
    case OrderReply::kOtherTarget:
      return "other_target";
    case OrderReply::kInvalid:
      return "invalid";
    case OrderReply::kUnknown:
      break;
  }
  return "unknown";
}

} // namespace apricottrack
