#ifndef APRICOTTRACK_GROUPS_VM_H
#define APRICOTTRACK_GROUPS_VM_H

#include "apricottrack/Error.h"
#include "apricottrack/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

enum class VmState
{
  kLive,
  /// Marked by the platform for removal; the VM's group is drained.
  kLeaving,
};

/// A VM in the platform's list. The list lags behind the actual state.
struct Vm
{
  std::string id;
  std::string address;
  std::string availabilityZone;
  std::string fabricDomain;
  /// Selects the group sets that may use the VM.
  std::string role;
  VmState state = VmState::kLive;

  friend bool operator==(const Vm&, const Vm&) = default;
};

using VmList = std::vector<Vm>;

/// Parses the platform's list of VMs; items that are not objects are skipped.
/// Fails with kBadReply, with `aAddress` as the error's peer, if "vms" is
/// missing.
Result<VmList>
ParseVmList(std::string_view aText, std::string_view aAddress);

/// A target's response to its last probe.
struct MemberReport
{
  /// Identifies one start of the target.
  std::string incarnation;
  /// Group of the order that it holds; empty without one.
  std::string group;
  /// Epoch of the order that it holds; zero without one.
  std::uint64_t epoch = 0;
  /// Meaningful for the first member of a group: all members are connected and
  /// loaded.
  bool ready = false;
  /// Number of requests running and queued at the target.
  int requests = 0;
  /// When the probe was sent.
  Instant probedAt;

  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

/// Last report by VM id.
using MemberReports = std::map<std::string, MemberReport, std::less<>>;

/// Parses a target's response to a probe sent at the given time. Fails with
/// kBadReply, with `aAddress` as the error's peer, if "incarnation" is missing.
Result<MemberReport>
ParseMemberReport(std::string_view aText,
                  std::string_view aAddress,
                  Instant aProbedAt);

} // namespace apricottrack

#endif
