#include "groups/EvacuatedZones.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

std::string
EncodeEvacuatedZones(const EvacuatedZones& aZones)
{
  json::array zones;
  for (const std::string& zone : aZones) {
    zones.emplace_back(zone);
  }
  return json::serialize(zones);
}

Result<EvacuatedZones>
ParseEvacuatedZones(std::string_view aText, std::string_view aAddress)
{
  const auto fail = [aAddress](std::string aDetail) {
    return Failure(ErrorCode::kBadReply,
                   "evacuated_zones.read",
                   aAddress,
                   std::move(aDetail));
  };
  boost::system::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_array()) {
    return fail("the value is no JSON array");
  }
  EvacuatedZones zones;
  for (const json::value& item : value.get_array()) {
    if (!item.is_string()) {
      return fail("an item is no string");
    }
    zones.emplace(item.get_string());
  }
  return zones;
}

} // namespace apricottrack
