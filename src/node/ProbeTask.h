#ifndef APRICOTTRACK_NODE_PROBETASK_H
#define APRICOTTRACK_NODE_PROBETASK_H

#include "groups/Vm.h"
#include "http/HttpClient.h"

#include <functional>
#include <set>

namespace apricottrack {

/// Probes targets for incarnation, order, readiness and load.
class ProbeTask
{
public:
  using ReportSink =
    std::function<void(const std::string& aVm, MemberReport aReport)>;

  ProbeTask(boost::asio::any_io_executor aExecutor,
            Duration aInterval,
            ReportSink aSink);

  /// Starts probing new VMs and stops probing those that are gone.
  void SetVms(const VmList& aVms);

private:
  Task<void> Follow(std::string aVm, std::string aAddress);

  boost::asio::any_io_executor executor;
  Duration interval;
  ReportSink sink;
  HttpConnectionPool pool;
  /// VM id and address of each running probe.
  std::set<std::pair<std::string, std::string>> wanted;
  std::set<std::pair<std::string, std::string>> running;
};

} // namespace apricottrack

#endif
