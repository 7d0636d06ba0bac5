#include "base/JsonFields.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

std::string
JsonText(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  return field != nullptr && field->is_string()
           ? std::string(field->get_string())
           : std::string{};
}

std::int64_t
JsonInteger(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  return field != nullptr && field->is_int64() ? field->get_int64() : 0;
}

double
JsonNumber(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  return field != nullptr && field->is_number() ? field->to_number<double>()
                                                : 0;
}

bool
JsonFlag(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  return field != nullptr && field->is_bool() && field->get_bool();
}

const json::array*
JsonArray(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  return field == nullptr ? nullptr : field->if_array();
}

const json::object*
JsonObject(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  return field == nullptr ? nullptr : field->if_object();
}

Result<json::object>
ParseJsonObject(std::string_view aText,
                std::string_view aStep,
                std::string_view aPeer)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return Failure(
      ErrorCode::kBadReply, aStep, aPeer, "the text is not a JSON object");
  }
  return std::move(value.get_object());
}

} // namespace apricottrack
