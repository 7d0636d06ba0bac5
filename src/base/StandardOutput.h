#ifndef APRICOTTRACK_BASE_STANDARDOUTPUT_H
#define APRICOTTRACK_BASE_STANDARDOUTPUT_H

namespace apricottrack {

/// Opens /dev/null in place of each standard descriptor that is closed.
/// Otherwise a socket could get its number, and the log would be written to it.
/// Called before any other descriptor is opened.
void
OpenClosedStandardDescriptors();

/// Makes a write to a pipe without a reader, or to a file at its size limit,
/// fail instead of ending the process. Programs that log call it at start.
void
IgnoreWriteSignals();

} // namespace apricottrack

#endif
