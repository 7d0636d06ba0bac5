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
  kLeaving,
};

/// A VM in the platform's list, which lags behind what is so.
struct Vm
{
  std::string id;
  std::string address;
  std::string availabilityZone;
  std::string fabricDomain;
  std::string role;
  VmState state = VmState::kLive;

  friend bool operator==(const Vm&, const Vm&) = default;
};

using VmList = std::vector<Vm>;

/// Parses the platform's list of VMs.
Result<VmList>
ParseVmList(std::string_view aText, std::string_view aPeer);

/// What a target said of itself when last probed.
struct MemberReport
{
  /// New at each start of the target.
  std::string incarnation;
  /// The order it holds; an empty group means none.
  std::string group;
  std::uint64_t epoch = 0;
  /// The first member of a group: all members present and loaded.
  bool ready = false;
  /// Requests running and waiting at the target.
  int requests = 0;
  /// When the probe that brought this report was sent.
  Instant heardAt;

  friend bool operator==(const MemberReport&, const MemberReport&) = default;
};

/// Last report by VM id.
using MemberReports = std::map<std::string, MemberReport, std::less<>>;

/// Parses a target's answer to a probe.
Result<MemberReport>
ParseMemberReport(std::string_view aText,
                  std::string_view aPeer,
                  Instant aHeardAt);

} // namespace apricottrack

#endif
