#include "intake/RequestIntake.h"

#include "base/Hash.h"

#include <catch2/catch.hpp>

using namespace apricottrack;
namespace http = boost::beast::http;

namespace {

std::shared_ptr<const Configuration>
MakeConfiguration()
{
  auto configuration = std::make_shared<Configuration>();
  ClientAccount account;
  account.name = "shop";
  account.keySha256 = Sha256Hex("secret");
  Service chat;
  chat.name = "advisor";
  chat.contract = Contract::kChat;
  chat.accounts = { "*" };
  chat.kinds = { { .name = "question", .method = "POST", .path = "/" } };
  Service plain;
  plain.name = "booking";
  plain.accounts = { "shop" };
  plain.kinds = {
    { .name = "slots", .method = "GET", .path = "/slots" },
    { .name = "confirm",
      .method = "POST",
      .path = "/bookings",
      .idempotent = false },
  };
  Service closed = plain;
  closed.name = "closed";
  closed.accounts = { "other" };
  configuration->accounts = { account };
  configuration->services = { chat, plain, closed };
  return configuration;
}

HttpRequest
MakeRequest(http::verb aMethod, std::string aPath, std::string aBody = {})
{
  HttpRequest request(aMethod, aPath, 11);
  request.set(http::field::authorization, "Bearer secret");
  request.body() = std::move(aBody);
  return request;
}

tl::expected<RequestSpec, Refusal>
ReadWithConfiguration(const HttpRequest& aRequest)
{
  return ReadRequest(aRequest, MakeConfiguration(), "id", Instant{});
}

const std::string kChatBody =
  R"({"model":"advisor","messages":[{"role":"user","content":"hi"}]})";

} // namespace

TEST_CASE("ReadRequest parses a chat request as idempotent, with a prefix hash")
{
  const auto spec = ReadWithConfiguration(
    MakeRequest(http::verb::post, "/v1/chat/completions", kChatBody));
  REQUIRE(spec);
  CHECK(spec->service->name == "advisor");
  CHECK(spec->idempotent);
  CHECK(spec->prefixHash != 0);
}

TEST_CASE(
  "ReadRequest keeps a plain request's path and uses its kind's idempotency")
{
  const auto spec = ReadWithConfiguration(
    MakeRequest(http::verb::post, "/services/booking/bookings?x=1"));
  REQUIRE(spec);
  CHECK(spec->targetPath == "/bookings?x=1");
  CHECK(spec->kind->name == "confirm");
  CHECK_FALSE(spec->idempotent);
}

TEST_CASE(
  "ReadRequest marks a request with an idempotency key as non-idempotent")
{
  HttpRequest request =
    MakeRequest(http::verb::post, "/v1/chat/completions", kChatBody);
  request.set("Idempotency-Key", "k1");
  const auto spec = ReadWithConfiguration(request);
  REQUIRE(spec);
  CHECK_FALSE(spec->idempotent);
}

TEST_CASE("ReadRequest refuses invalid requests as not run, with a stable code")
{
  struct Case
  {
    HttpRequest request;
    std::string code;
  };
  HttpRequest unknownAccountRequest =
    MakeRequest(http::verb::get, "/services/booking/slots");
  unknownAccountRequest.set(http::field::authorization, "Bearer wrong");
  HttpRequest badTimeout =
    MakeRequest(http::verb::get, "/services/booking/slots");
  badTimeout.set("X-Request-Timeout-Ms", "soon");
  HttpRequest emptyKey =
    MakeRequest(http::verb::post, "/services/booking/bookings");
  emptyKey.set("Idempotency-Key", "");
  const std::string chat = "/v1/chat/completions";
  const std::vector<Case> cases{
    { unknownAccountRequest, "unknown_account" },
    { badTimeout, "malformed_deadline" },
    { emptyKey, "malformed_idempotency_key" },
    { MakeRequest(http::verb::get, "/elsewhere"), "unknown_path" },
    { MakeRequest(http::verb::get, "/services/none/x"), "unknown_service" },
    { MakeRequest(http::verb::get, "/services/closed/slots"),
      "account_not_allowed" },
    { MakeRequest(http::verb::put, "/services/booking/slots"), "unknown_kind" },
    { MakeRequest(http::verb::post, chat, "{"), "malformed_body" },
    { MakeRequest(http::verb::post, chat, R"({"model":"x"})"),
      "unknown_service" },
    { MakeRequest(http::verb::post, chat, R"({"model":"advisor"})"),
      "malformed_body" },
    { MakeRequest(http::verb::get, chat), "method_not_allowed" },
  };
  for (const Case& item : cases) {
    const auto spec = ReadWithConfiguration(item.request);
    REQUIRE_FALSE(spec);
    CHECK(spec.error().code == item.code);
    CHECK(spec.error().outcome == Outcome::kNotRun);
  }
}

TEST_CASE("ReadRequest refuses all requests when there is no configuration")
{
  const auto spec =
    ReadRequest(MakeRequest(http::verb::get, "/"), nullptr, "id", Instant{});
  REQUIRE_FALSE(spec);
  CHECK(spec.error().code == "no_configuration");
}

TEST_CASE(
  "JournalKey depends on the fingerprint only without an idempotency key")
{
  HttpRequest request =
    MakeRequest(http::verb::post, "/services/booking/bookings", "one");
  request.set("Idempotency-Key", "k1");
  auto spec = *ReadWithConfiguration(request);
  const std::string key = JournalKey(spec, RequestFingerprint(request));
  request.body() = "two";
  CHECK(JournalKey(spec, RequestFingerprint(request)) == key);
  spec.idempotencyKey.clear();
  const std::string byId = JournalKey(spec, "p1");
  CHECK(byId != key);
  CHECK(JournalKey(spec, "p2") != byId);
}
