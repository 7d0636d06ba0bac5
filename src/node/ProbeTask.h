#ifndef APRICOTTRACK_NODE_PROBETASK_H
#define APRICOTTRACK_NODE_PROBETASK_H

#include "groups/Vm.h"
#include "http/HttpClient.h"

#include <functional>
#include <set>

namespace apricottrack {

/// Probes each target at a fixed interval for its incarnation, order,
/// readiness and load, over one connection per address.
class ProbeTask
{
public:
  /// Called with each report. Failed probes and malformed responses are
  /// ignored, so that the VM's last report ages.
  using ReportSink =
    std::function<void(const std::string& aVm, MemberReport aReport)>;

  /// `aInterval` is the time between the starts of two probes of a VM, and the
  /// timeout of each probe and of its connection attempt.
  ProbeTask(boost::asio::any_io_executor aExecutor,
            Duration aInterval,
            ReportSink aSink);

  /// Starts probing added VMs and stops probing removed ones.
  void SetVms(const VmList& aVms);

private:
  Task<void> ProbePeriodically(std::string aVm, std::string aAddress);

  boost::asio::any_io_executor executor;
  Duration interval;
  ReportSink sink;
  HttpConnectionPool pool;
  /// VM id and address of each VM to probe.
  std::set<std::pair<std::string, std::string>> requiredProbes;
  /// VM id and address of each probe coroutine that has not ended.
  std::set<std::pair<std::string, std::string>> runningProbes;
};

} // namespace apricottrack

#endif
