#ifndef APRICOTTRACK_BASE_HELDSIGNALS_H
#define APRICOTTRACK_BASE_HELDSIGNALS_H

#include <csignal>
#include <initializer_list>

namespace apricottrack {

/// Holds signals back until their handlers are in place; before, they would end
/// the process. A signal that arrives meanwhile is delivered by Release(). Used
/// by a program's main thread before it starts others.
class HeldSignals
{
public:
  HeldSignals(std::initializer_list<int> aSignals);

  /// Delivers the signals that have arrived, and further ones at once.
  void Release() const;

private:
  sigset_t signals{};
};

} // namespace apricottrack

#endif
