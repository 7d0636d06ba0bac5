#include "fleet/TargetRecord.h"

namespace apricottrack {

std::string_view
MemberStateName(MemberState aState)
{
  switch (aState) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kReady:
      return "ready";
    case MemberState::kOpen:
      return "open";
    case MemberState::kClosing:
      return "closing";
    case MemberState::kBroken:
      return "broken";
    case MemberState::kNone:
      break;
  }
  return "none";
}

std::string
ReplicaKey(const Membership& aMembership)
{
  return aMembership.replica + "/" + std::to_string(aMembership.epoch);
}

} // namespace apricottrack
