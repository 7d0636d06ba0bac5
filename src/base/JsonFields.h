#ifndef APRICOTTRACK_BASE_JSONFIELDS_H
#define APRICOTTRACK_BASE_JSONFIELDS_H

#include "apricottrack/Error.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

/// Tolerant access to JSON members: a member that is absent or of another
/// type reads as the default.
namespace apricottrack {

std::string
JsonText(const boost::json::object& aObject, std::string_view aName);

std::int64_t
JsonInteger(const boost::json::object& aObject, std::string_view aName);

/// Any number, whole or not.
double
JsonNumber(const boost::json::object& aObject, std::string_view aName);

bool
JsonFlag(const boost::json::object& aObject, std::string_view aName);

/// Null where the member is absent or no array.
const boost::json::array*
JsonArray(const boost::json::object& aObject, std::string_view aName);

/// Null where the member is absent or no object.
const boost::json::object*
JsonObject(const boost::json::object& aObject, std::string_view aName);

/// Parses text to a JSON object, or fails with kBadReply.
Result<boost::json::object>
ParseJsonObject(std::string_view aText,
                std::string_view aStep,
                std::string_view aPeer);

} // namespace apricottrack

#endif
