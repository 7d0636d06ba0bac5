#ifndef APRICOTTRACK_QUARANTINE_PROMPTPARTS_H
#define APRICOTTRACK_QUARANTINE_PROMPTPARTS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// Longest id that BoundedId returns, in bytes.
inline constexpr std::size_t kMaxBoundedIdBytes = 32;

/// Returns a caller's id, or a hash of it if it exceeds kMaxBoundedIdBytes.
/// Equal ids yield equal results on all nodes.
std::string
BoundedId(std::string_view aId);

/// Collects the ids of the parts of a prompt for the attribution of crashes.
/// Bounds what a caller's prompt makes the nodes hold, send and compare: keeps
/// the first and the last parts of a longer list, without empty and repeated
/// ids. A crash by a part in between is attributed to its request as a whole.
class PromptParts
{
public:
  static constexpr std::size_t kMaxFirstParts = 32;
  static constexpr std::size_t kMaxLastParts = 32;

  void Add(std::string_view aId);

  /// Returns the bounded ids, in order.
  std::vector<std::string> Ids() const;

  /// Removes the ids in between from a longer list, which an older build has
  /// sent. The last one is the identity of the request.
  static void Bound(std::vector<std::string>& aIds);

private:
  /// Views of the ids, which must outlive this object.
  std::vector<std::string_view> first;
  /// A ring, once it is full.
  std::vector<std::string_view> last;
  std::size_t oldestOfLast = 0;
};

} // namespace apricottrack

#endif
