#include "base/StandardOutput.h"

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace apricottrack {

void
OpenClosedStandardDescriptors()
{
  for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO;
       ++descriptor) {
    if (fcntl(descriptor, F_GETFD) < 0) {
      // Takes the lowest free number, which is this one.
      open("/dev/null", O_RDWR); // NOLINT(cppcoreguidelines-pro-type-vararg)
    }
  }
}

void
IgnoreWriteSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

} // namespace apricottrack
