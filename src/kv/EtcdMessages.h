#ifndef APRICOTTRACK_KV_ETCDMESSAGES_H
#define APRICOTTRACK_KV_ETCDMESSAGES_H

#include "apricottrack/KeyValueStore.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>

/// Encoding and decoding of etcd's JSON gateway messages. Numbers of 64 bits
/// travel as strings there.
namespace apricottrack::detail {

std::string
EncodeBase64(std::string_view aBytes);
std::optional<std::string>
DecodeBase64(std::string_view aText);

/// The smallest key greater than every key with the prefix.
std::string
PrefixEnd(std::string aPrefix);

std::string
RangeBody(std::string_view aKey, bool aIsPrefix);
std::string
SwapBody(const Swap& aSwap);
std::string
GrantBody(std::int64_t aTtlSeconds);
/// Names a lease, to renew or to end it.
std::string
LeaseBody(LeaseId aLease);
std::string
WatchBody(std::string_view aPrefix, Revision aFrom);

/// A number that is sent as a JSON number or as a string; zero if absent.
std::int64_t
NumberField(const boost::json::object& aObject, std::string_view aName);

KeyValue
ReadKeyValue(const boost::json::object& aObject);

/// The revision in a reply's header.
Revision
HeaderRevision(const boost::json::object& aReply);

/// The changes in one watch reply; a deletion has revision zero.
std::vector<KeyValue>
ReadWatchEvents(const boost::json::object& aResult);

} // namespace apricottrack::detail

#endif
