#ifndef APRICOTTRACK_TESTS_STANDINS_VMLISTSTANDIN_H
#define APRICOTTRACK_TESTS_STANDINS_VMLISTSTANDIN_H

#include "apricottrack/Time.h"
#include "http/HttpServer.h"

#include <deque>
#include <string>

namespace apricottrack::standins {

/// Stands in for the platform's list of VMs. A POST to /control replaces the
/// list; readers get the new one after a configured lag.
class VmListStandin
{
public:
  VmListStandin(std::string aInitial, Duration aLag);

  Task<void> Handle(HttpExchange& aExchange);

private:
  /// A published list; the first one is current.
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
