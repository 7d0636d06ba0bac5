#ifndef APRICOTTRACK_BASE_JSONFIELDS_H
#define APRICOTTRACK_BASE_JSONFIELDS_H

#include "apricottrack/Error.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

/// Tolerant access to the members of JSON objects: a member that is absent or
/// of a different type yields an empty or zero value.
namespace apricottrack {

std::string
JsonText(const boost::json::object& aObject, std::string_view aName);

std::int64_t
JsonInteger(const boost::json::object& aObject, std::string_view aName);

/// Returns any number, integer or not.
double
JsonNumber(const boost::json::object& aObject, std::string_view aName);

bool
JsonFlag(const boost::json::object& aObject, std::string_view aName);

/// Returns null if the member is absent or not an array.
const boost::json::array*
JsonArray(const boost::json::object& aObject, std::string_view aName);

/// Returns null if the member is absent or not an object.
const boost::json::object*
JsonObject(const boost::json::object& aObject, std::string_view aName);

/// Parses a JSON object. Fails with kBadReply at the given step and peer.
Result<boost::json::object>
ParseJsonObject(std::string_view aText,
                std::string_view aStep,
                std::string_view aPeer);

} // namespace apricottrack

#endif
