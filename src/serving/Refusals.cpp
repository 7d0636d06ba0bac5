#include "serving/Refusals.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace apricottrack {

namespace http = boost::beast::http;

namespace {

/// Range of Retry-After, in seconds: by then a slot is likely to be free, as a
/// batch completes several requests in this time.
constexpr double kMinRetryAfterSeconds = 0.15;
constexpr double kMaxRetryAfterSeconds = 0.6;

constexpr unsigned kUnavailable = 503;
constexpr unsigned kUnauthorized = 401;

void
SetRetryAfter(HttpResponse& aResponse,
              double aMinSeconds,
              double aMaxSeconds,
              std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> retryAfterDistribution(aMinSeconds,
                                                                aMaxSeconds);
  aResponse.set(http::field::retry_after,
                fmt::format("{:.2f}", retryAfterDistribution(aRandom)));
}

} // namespace

HttpResponse
MakeRefusal(unsigned aStatus,
            std::string_view aReason,
            std::mt19937_64& aRandom)
{
  HttpResponse response =
    JsonResponse(aStatus, fmt::format(R"({{"error":"{}"}})", aReason));
  if (aStatus == kUnavailable) {
    SetRetryAfter(
      response, kMinRetryAfterSeconds, kMaxRetryAfterSeconds, aRandom);
  }
  if (aStatus == kUnauthorized) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  return response;
}

HttpResponse
MakeSpreadRefusal(std::string_view aReason,
                  Duration aLongest,
                  std::mt19937_64& aRandom)
{
  HttpResponse response =
    JsonResponse(kUnavailable, fmt::format(R"({{"error":"{}"}})", aReason));
  SetRetryAfter(response,
                kMinRetryAfterSeconds,
                std::max(kMaxRetryAfterSeconds, ToSeconds(aLongest)),
                aRandom);
  return response;
}

HttpResponse
MakeRefusalAfter(std::string_view aReason,
                 Duration aEarliest,
                 std::mt19937_64& aRandom)
{
  HttpResponse response =
    JsonResponse(kUnavailable, fmt::format(R"({{"error":"{}"}})", aReason));
  const double earliest = ToSeconds(aEarliest);
  SetRetryAfter(response,
                earliest + kMinRetryAfterSeconds,
                earliest + kMaxRetryAfterSeconds,
                aRandom);
  return response;
}

HttpResponse
MakeRefusalUntil(std::string_view aReason, Duration aRetryAfter)
{
  HttpResponse response =
    JsonResponse(kUnavailable, fmt::format(R"({{"error":"{}"}})", aReason));
  response.set(http::field::retry_after,
               fmt::format("{:.0f}", std::ceil(ToSeconds(aRetryAfter))));
  return response;
}

} // namespace apricottrack
