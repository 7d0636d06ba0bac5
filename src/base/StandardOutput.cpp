#include "base/StandardOutput.h"

#include <csignal>

namespace apricottrack {

void
IgnoreWriteSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

} // namespace apricottrack
