#include "intake/Refusal.h"

#include "retry/RefusalStatus.h"

#include <boost/json.hpp>
#include <cmath>

namespace apricottrack {

namespace json = boost::json;

Refusal
MakeNotRunRefusal(unsigned aStatus,
                  std::string_view aCode,
                  std::string_view aMessage,
                  std::optional<Duration> aRetryAfter)
{
  return Refusal{ .status = aStatus,
                  .code = std::string(aCode),
                  .outcome = Outcome::kNotRun,
                  .message = std::string(aMessage),
                  .retryAfter = aRetryAfter };
}

Refusal
MakeQuarantineRefusal(Duration aRemaining)
{
  return MakeNotRunRefusal(
    503,
    "prompt_quarantined",
    "earlier attempts of this request crashed the targets that ran it",
    aRemaining);
}

std::string
RefusalBody(const Refusal& aRefusal, std::string_view aRequestId)
{
  const json::object error{ { "code", aRefusal.code },
                            { "outcome", OutcomeName(aRefusal.outcome) },
                            { "message", aRefusal.message },
                            { "request_id", aRequestId } };
  return json::serialize(json::object{ { "error", error } });
}

HttpResponse
RefusalResponse(const Refusal& aRefusal, std::string_view aRequestId)
{
  HttpResponse response =
    JsonResponse(aRefusal.status, RefusalBody(aRefusal, aRequestId));
  response.set("X-Request-Id", aRequestId);
  response.set("X-Request-Outcome", OutcomeName(aRefusal.outcome));
  if (aRefusal.retryAfter) {
    const double seconds = std::ceil(ToSeconds(*aRefusal.retryAfter));
    response.set(boost::beast::http::field::retry_after,
                 std::to_string(std::max(1, static_cast<int>(seconds))));
  }
  return response;
}

Outcome
StatedOutcome(const HttpResponse& aHead)
{
  const std::string_view name = aHead["X-Request-Outcome"];
  if (name == OutcomeName(Outcome::kNotRun)) {
    return Outcome::kNotRun;
  }
  return name == OutcomeName(Outcome::kAnswered) &&
             !StatesNotRun(aHead.result_int())
           ? Outcome::kAnswered
           : Outcome::kUnknown;
}

} // namespace apricottrack
