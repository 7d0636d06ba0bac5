#include "operators/ConfigurationDiff.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

namespace {

using Changes = std::vector<ConfigurationChange>;

template<typename T>
const T*
FindByName(const std::vector<T>& aItems, const std::string& aName)
{
  const auto found =
    std::find_if(aItems.begin(), aItems.end(), [&aName](const T& aItem) {
      return aItem.name == aName;
    });
  return found == aItems.end() ? nullptr : &*found;
}

/// Texts that describe the effect of adding and of removing an item.
struct Effects
{
  std::string_view added;
  std::string_view removed;
};

/// Appends the differences of two lists of named items. aChangedEffect returns
/// the effect of a change from the old item to the new one.
template<typename T, typename ChangedEffect>
void
DiffItems(const std::vector<T>& aBefore,
          const std::vector<T>& aAfter,
          std::string_view aKind,
          const Effects& aEffects,
          ChangedEffect aChangedEffect,
          Changes& aChanges)
{
  for (const T& item : aAfter) {
    const std::string subject = fmt::format("{}.{}", aKind, item.name);
    const T* const before = FindByName(aBefore, item.name);
    if (before == nullptr) {
      aChanges.push_back({ subject, "added", std::string(aEffects.added) });
    } else if (*before != item) {
      aChanges.push_back({ subject, "changed", aChangedEffect(*before, item) });
    }
  }
  for (const T& item : aBefore) {
    if (FindByName(aAfter, item.name) == nullptr) {
      aChanges.push_back({ fmt::format("{}.{}", aKind, item.name),
                           "removed",
                           std::string(aEffects.removed) });
    }
  }
}

std::string
GroupSetEffect(const GroupSet& aBefore, const GroupSet& aAfter)
{
  const bool mustReform = aBefore.size != aAfter.size ||
                          aBefore.service != aAfter.service ||
                          aBefore.role != aAfter.role;
  if (mustReform) {
    return fmt::format("all {} groups drain and form anew", aBefore.count);
  }
  if (aAfter.count > aBefore.count) {
    return fmt::format("{} groups form", aAfter.count - aBefore.count);
  }
  if (aAfter.count < aBefore.count) {
    return fmt::format("{} groups drain and end", aBefore.count - aAfter.count);
  }
  return "no group restarts";
}

} // namespace

std::vector<ConfigurationChange>
DiffConfigurations(const Configuration& aBefore, const Configuration& aAfter)
{
  Changes changes;
  if (aBefore.firm != aAfter.firm) {
    changes.push_back({ "firm", "changed", "none" });
  }
  if (aBefore.policy != aAfter.policy) {
    changes.push_back({ "policy", "changed", "spare targets are replanned" });
  }
  DiffItems(
    aBefore.accounts,
    aAfter.accounts,
    "accounts",
    { "its requests are accepted", "its requests are refused" },
    [](const ClientAccount& aOld, const ClientAccount& aNew) {
      return std::string(aOld.keySha256 != aNew.keySha256
                           ? "requests with the old key are refused"
                           : "new limits apply to new requests");
    },
    changes);
  DiffItems(
    aBefore.services,
    aAfter.services,
    "services",
    { "is served once targets are ready", "new requests are refused" },
    [](const Service&, const Service&) {
      return std::string("applies to new requests");
    },
    changes);
  DiffItems(aBefore.groupSets,
            aAfter.groupSets,
            "groups",
            { "its groups form", "its groups drain and end" },
            GroupSetEffect,
            changes);
  return changes;
}

} // namespace apricottrack
