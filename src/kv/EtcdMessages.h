#ifndef APRICOTTRACK_KV_ETCDMESSAGES_H
#define APRICOTTRACK_KV_ETCDMESSAGES_H

#include "apricottrack/KeyValueStore.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>

/// Encodes requests to and decodes replies of etcd's JSON gateway. It encodes
/// 64-bit numbers as strings, and keys and values in base64.
namespace apricottrack::detail {

std::string
EncodeBase64(std::string_view aBytes);
/// Returns nothing if the text is not base64.
std::optional<std::string>
DecodeBase64(std::string_view aText);

/// Returns the smallest key greater than every key with the prefix, which ends
/// the key range of the prefix. If there is none (an empty prefix, or one of
/// 0xff bytes only), returns a zero byte, which etcd reads as "no end".
std::string
PrefixEnd(std::string aPrefix);

/// Body of a read of one key, or of all keys with a prefix.
std::string
RangeBody(std::string_view aKey, bool aIsPrefix);
/// Body of a transaction that compares the revision and writes the value.
std::string
SwapBody(const Swap& aSwap);
/// Body of a request for a new lease.
std::string
GrantBody(std::int64_t aTtlSeconds);
/// Body of a request to renew or to revoke a lease.
std::string
LeaseBody(LeaseId aLease);
/// Body of a watch of a prefix from a revision on, with progress notifications.
std::string
WatchBody(std::string_view aPrefix, Revision aFrom);

/// Returns a number that is encoded as a JSON number or as a string; zero if
/// absent or malformed.
std::int64_t
NumberField(const boost::json::object& aObject, std::string_view aName);

/// Decodes a key with its value and revision.
KeyValue
ReadKeyValue(const boost::json::object& aObject);

/// Returns the revision in a reply's header; zero if absent.
Revision
HeaderRevision(const boost::json::object& aReply);

/// Returns the changes in one watch reply; a deleted key has revision zero.
/// Malformed events are skipped.
std::vector<KeyValue>
ReadWatchEvents(const boost::json::object& aResult);

} // namespace apricottrack::detail

#endif
