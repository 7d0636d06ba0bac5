#include "serving/Forwarding.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <fmt/format.h>

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

/// Targets that may run the request; on requests.
constexpr std::string_view kMaxTargets = "Apricottrack-Max-Targets";
/// On refusals of the node itself.
constexpr std::string_view kRefused = "Apricottrack-Refused";
/// Id of the target that a response comes from.
constexpr std::string_view kTarget = "Apricottrack-Target";
/// Version of the sender's catalog; on requests and responses.
constexpr std::string_view kCatalogVersion = "Apricottrack-Catalog-Version";

/// Distinguishes nodes from targets where both are named by an id.
constexpr std::string_view kNodePrefix = "node ";

std::string_view
ValueOf(const http::fields& aFields, std::string_view aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? std::string_view{}
                                : std::string_view(found->value());
}

/// Returns zero if the text is no number.
template<typename T>
T
NumberIn(std::string_view aText)
{
  T number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace

void
SetForwarded(HttpRequest& aRequest, const ForwardedRequest& aTerms)
{
  aRequest.set(kMaxTargets, std::to_string(aTerms.maxTargets));
  aRequest.set(kCatalogVersion, std::to_string(aTerms.catalogVersion));
  // Keeps the receiving node from passing the headers on.
  aRequest.set(http::field::connection,
               fmt::format("{}, {}", kMaxTargets, kCatalogVersion));
}

ForwardedRequest
ReadForwarded(const HttpRequest& aRequest)
{
  return { .maxTargets =
             std::max(1, NumberIn<int>(ValueOf(aRequest, kMaxTargets))),
           .catalogVersion =
             NumberIn<std::int64_t>(ValueOf(aRequest, kCatalogVersion)) };
}

void
SetRefusedByNode(HttpResponse& aResponse)
{
  aResponse.set(kRefused, "1");
}

bool
IsRefusedByNode(const HttpResponse& aResponse)
{
  // A response that names its target is that target's, whatever it contains.
  return !ValueOf(aResponse, kRefused).empty() && TargetOf(aResponse).empty();
}

HttpHeaders
WithCatalogVersion(HttpHeaders aHeaders, std::int64_t aVersion)
{
  aHeaders.emplace_back(kCatalogVersion, std::to_string(aVersion));
  return aHeaders;
}

std::int64_t
CatalogVersionOf(const HttpResponse& aResponse)
{
  return NumberIn<std::int64_t>(ValueOf(aResponse, kCatalogVersion));
}

HttpHeaders
WithTarget(HttpHeaders aHeaders, std::string_view aTargetId)
{
  aHeaders.emplace_back(kTarget, aTargetId);
  return aHeaders;
}

std::string
TargetOf(const HttpResponse& aResponse)
{
  return std::string(ValueOf(aResponse, kTarget));
}

HttpHeaders
WithoutNodeHeaders(HttpHeaders aHeaders)
{
  std::erase_if(aHeaders, [](const auto& aHeader) {
    return boost::beast::iequals(aHeader.first, kTarget) ||
           boost::beast::iequals(aHeader.first, kRefused) ||
           boost::beast::iequals(aHeader.first, kCatalogVersion);
  });
  return aHeaders;
}

Candidate
NodeCandidate(const std::string& aAddress)
{
  return { .id = std::string(kNodePrefix) + aAddress, .address = aAddress };
}

bool
IsNodeCandidate(std::string_view aId)
{
  return aId.starts_with(kNodePrefix);
}

} // namespace apricottrack
