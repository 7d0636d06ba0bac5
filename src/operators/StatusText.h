#ifndef APRICOTTRACK_OPERATORS_STATUSTEXT_H
#define APRICOTTRACK_OPERATORS_STATUSTEXT_H

#include "operators/Operators.h"

#include <string>
#include <vector>

namespace apricottrack {

/// Returns one line per node, followed by one per group. All nodes report the
/// same groups: those of the first node that responded are listed.
std::string
RenderNodeStatuses(const std::vector<NodeStatus>& aNodes);

} // namespace apricottrack

#endif
