#ifndef APRICOTTRACK_BASE_STANDARDOUTPUT_H
#define APRICOTTRACK_BASE_STANDARDOUTPUT_H

namespace apricottrack {

/// Makes a write to a pipe without a reader, or to a file at its size limit,
/// fail instead of ending the process. Programs that log call it at start.
void
IgnoreWriteSignals();

} // namespace apricottrack

#endif
