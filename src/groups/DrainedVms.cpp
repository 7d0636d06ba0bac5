#include "groups/DrainedVms.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

std::string
EncodeDrainedVms(const DrainedVms& aVms)
{
  json::array vms;
  for (const std::string& vm : aVms) {
    vms.emplace_back(vm);
  }
  return json::serialize(vms);
}

DrainedVms
ParseDrainedVms(std::string_view aText)
{
  DrainedVms vms;
  boost::system::error_code error;
  const json::value value = json::parse(aText, error);
  if (!error && value.is_array()) {
    for (const json::value& item : value.get_array()) {
      if (item.is_string()) {
        vms.emplace(item.get_string());
      }
    }
  }
  return vms;
}

} // namespace apricottrack
