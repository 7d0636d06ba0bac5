#include "base/HeldSignals.h"

#include <pthread.h>

namespace apricottrack {

HeldSignals::HeldSignals(std::initializer_list<int> aSignals)
{
  sigemptyset(&this->signals);
  for (const int signal : aSignals) {
    sigaddset(&this->signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
}

void
HeldSignals::Release() const
{
  pthread_sigmask(SIG_UNBLOCK, &this->signals, nullptr);
}

} // namespace apricottrack
