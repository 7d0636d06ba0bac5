#include "quarantine/RequestIdentity.h"

#include "base/Hash.h"

#include <fmt/format.h>

namespace apricottrack {

namespace {

constexpr std::string_view kPrefix = "request:";

std::string
IdentityOf(const HttpRequest& aRequest,
           std::string_view aHost,
           std::string_view aAccount)
{
  std::uint64_t hash = 0;
  for (const std::string_view text :
       { std::string_view(aRequest.method_string()),
         aHost,
         std::string_view(aRequest.target()),
         aAccount,
         std::string_view(aRequest.body()) }) {
    hash = StableHash(text, hash);
  }
  return fmt::format("{}{:016x}", kPrefix, hash);
}

} // namespace

std::string
RequestIdentity(const HttpRequest& aRequest, std::string_view aAccount)
{
  return IdentityOf(
    aRequest, aRequest[boost::beast::http::field::host], aAccount);
}

std::string
HostlessRequestIdentity(const HttpRequest& aRequest, std::string_view aAccount)
{
  return IdentityOf(aRequest, {}, aAccount);
}

bool
IsRequestIdentity(std::string_view aKey)
{
  return aKey.starts_with(kPrefix);
}

} // namespace apricottrack
