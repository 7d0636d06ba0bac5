#include "serving/Forwarding.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

/// Targets that may run the request; on requests.
constexpr std::string_view kMaxTargets = "Apricottrack-Max-Targets";
/// On refusals of the node itself.
constexpr std::string_view kRefused = "Apricottrack-Refused";
/// Id of the target that a response comes from.
constexpr std::string_view kTarget = "Apricottrack-Target";

/// Distinguishes nodes from targets where both are named by an id.
constexpr std::string_view kNodePrefix = "node ";

std::string_view
ValueOf(const http::fields& aFields, std::string_view aName)
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? std::string_view{}
                                : std::string_view(found->value());
}

} // namespace

void
SetForwarded(HttpRequest& aRequest, const ForwardedRequest& aTerms)
{
  aRequest.set(kMaxTargets, std::to_string(aTerms.maxTargets));
  // Keeps the receiving node from passing the header on.
  aRequest.set(http::field::connection, kMaxTargets);
}

ForwardedRequest
ReadForwarded(const HttpRequest& aRequest)
{
  const std::string_view text = ValueOf(aRequest, kMaxTargets);
  ForwardedRequest terms;
  std::from_chars(text.data(), text.data() + text.size(), terms.maxTargets);
  terms.maxTargets = std::max(1, terms.maxTargets);
  return terms;
}

void
SetRefusedByNode(HttpResponse& aResponse)
{
  aResponse.set(kRefused, "1");
}

bool
IsRefusedByNode(const HttpResponse& aResponse)
{
  return !ValueOf(aResponse, kRefused).empty();
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
           boost::beast::iequals(aHeader.first, kRefused);
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
