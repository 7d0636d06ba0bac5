#ifndef APRICOTTRACK_RETRY_REFUSALSTATUS_H
#define APRICOTTRACK_RETRY_REFUSALSTATUS_H

namespace apricottrack {

/// Returns true for the statuses by which callers take a request for not run,
/// now or later, and send it again: 408, 421, 429 and 503. A node sends them
/// only for requests of which it knows that; a target's response that has one
/// is no proof, unless the target guarantees it otherwise.
bool
StatesNotRun(unsigned aStatus);

} // namespace apricottrack

#endif
