#ifndef APRICOTTRACK_NODE_VMLISTTASK_H
#define APRICOTTRACK_NODE_VMLISTTASK_H

#include "apricottrack/KeyValueStore.h"
#include "groups/Vm.h"
#include "http/HttpClient.h"

#include <functional>

namespace apricottrack {

/// Reads the platform's list of VMs periodically and passes each list to a
/// sink. A failed read is logged, and the last list stays in force.
class VmListTask
{
public:
  VmListTask(boost::asio::any_io_executor aExecutor,
             std::string aAddress,
             std::function<void(VmList)> aSink);

  void Start();

private:
  Task<void> Run();

  boost::asio::any_io_executor executor;
  std::string address;
  std::function<void(VmList)> sink;
  HttpConnectionPool pool;
};

} // namespace apricottrack

#endif
