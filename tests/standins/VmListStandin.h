#ifndef APRICOTTRACK_TESTS_STANDINS_VMLISTSTANDIN_H
#define APRICOTTRACK_TESTS_STANDINS_VMLISTSTANDIN_H

#include "apricottrack/Time.h"
#include "http/HttpServer.h"

#include <deque>
#include <string>

namespace apricottrack::standins {

/// Stands in for the platform's list of VMs. The list is replaced by a POST
/// to /control and seen by readers only after a lag.
class VmListStandin
{
public:
  VmListStandin(std::string aInitial, Duration aLag);

  Task<void> Handle(HttpExchange& aExchange);

private:
  struct Version
  {
    Instant visibleFrom;
    std::string text;
  };

  Duration lag;
  std::deque<Version> versions;
};

} // namespace apricottrack::standins

#endif
