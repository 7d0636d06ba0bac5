#include "platform/CatalogReader.h"
#include "platform/TargetReader.h"
#include "platform/WireProtocol.h"
#include "serving/Forwarding.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <random>

using namespace apricottrack;
using namespace apricottrack::platform;

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kEntry =
  R"({"service":"s","address":"10.0.0.1:80","zone":"a","batch_slots":26,
      "state":"ready","sequence":4,"domain":"d1","staged":["m1"],"born":17,
      "models":[{"name":"m0","version":1,"adapters":[]}],
      "group":{"name":"g","epoch":12,"rank":1,"state":"ready"}})";

constexpr std::string_view kDocument =
  R"({"version":7,
      "routes":[{"name":"r","host":"h","prefix":"/p/","kind":"streaming",
        "timeout_ms":8000,"target_latency_ms":300,"priority":1,"attempts":2,
        "public":false,"sticky":true,"resumable":true,"gap_aim_ms":300,
        "traffic_split":[{"service":"s","weight":90},
                         {"service":"t","weight":10}]}],
      "services":[{"name":"s","health_path":"/healthz","max_connections":464,
        "engine":{"batch_slots":26,"kv_capacity_tokens":1590000,"stride":7,
          "step_ms":5.95,"read_per_s":50700.0,"loads_per_s":4.5,
          "loads_at_once":6,"form_ms":300.0,"report_lag_ms":200.0,
          "models":[{"name":"m0","size":4,"share":0.57,"pace":1.0,
                     "load_s":16.0,"warm_s":1.6}]}},
        {"name":"t","health_path":"/healthz","max_connections":96}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000},
      "tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":1}]})";

Result<TargetRecord>
ReadEntry(std::string aText)
{
  return ReadTarget(
    { .key = "servers/i-1", .value = std::move(aText), .revision = 9 });
}

std::string
Replaced(std::string_view aText, std::string_view aFrom, std::string_view aTo)
{
  std::string text(aText);
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

HttpRequest
MakeCallerRequest()
{
  HttpRequest request(http::verb::post, "/p/1?q=2", 11);
  request.set(http::field::host, "h");
  request.set("Request-Attempt-Id", "abc");
  request.set("Model", "m0");
  request.set("Token-Count", "1460,80");
  request.set("Length-Hint", "60");
  request.set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  request.set("Deadline-Ms", "8000");
  request.set("Last-Event-Id", "12");
  request.set(http::field::authorization, "Token k1");
  request.set("Tenant-Id", "forged");
  request.set("Expect-Instance", "forged");
  request.set(http::field::connection, "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("X-Other", "2");
  request.body() = "body";
  return request;
}

} // namespace

TEST_CASE("WireProtocol decodes a target's entry in the store")
{
  const auto record = ReadEntry(std::string(kEntry));
  REQUIRE(record);
  CHECK(record->id == "i-1");
  CHECK(record->model == "m0");
  CHECK(record->stagedModels == std::vector<std::string>{ "m1" });
  CHECK(record->membership == Membership{ .replica = "g",
                                          .epoch = 12,
                                          .rank = 1,
                                          .state = MemberState::kReady });
  CHECK(record->startedAt == 17);
  CHECK(record->revision == 9);
  CHECK(ReadEntry(Replaced(kEntry, "\"ready\",\"seq", "\"draining\",\"seq"))
          ->leaving);
}

TEST_CASE("WireProtocol ignores a request limit that is no number in range")
{
  const auto limitOf = [](std::string_view aText) {
    HttpResponse response(http::status::ok, 11);
    response.set("Server-Limit", aText);
    return WireProtocol().ReadHead(response).requestLimit;
  };
  CHECK(limitOf("3.5") == 3.5);
  CHECK(limitOf("12") == 12);
  CHECK(limitOf("0") == 0);
  CHECK_FALSE(WireProtocol().ReadHead(HttpResponse()).requestLimit);
  const std::string text = GENERATE(
    "", "-1", "x", "3.5x", "nan", "inf", "1e99", "1e3", "999999999999");
  CAPTURE(text);
  CHECK_FALSE(limitOf(text));
}

TEST_CASE("WireProtocol reads a pause from a 503 only")
{
  HttpResponse response(http::status::service_unavailable, 11);
  CHECK_FALSE(WireProtocol().ReadHead(response).pause);
  response.set("Retry-After", "1.5");
  CHECK(WireProtocol().ReadHead(response).pause ==
        PauseRequest{ .duration = milliseconds(1500) });
  response.result(http::status::too_many_requests);
  CHECK_FALSE(WireProtocol().ReadHead(response).pause);
}

TEST_CASE("WireProtocol reads that a target leaves unless another one answered")
{
  HttpResponse response(http::status::ok, 11);
  CHECK_FALSE(WireProtocol().ReadHead(response).isLeaving);
  response.set("Server-Leaving", "1");
  CHECK(WireProtocol().ReadHead(response).isLeaving);
  response.result(http::status::service_unavailable);
  CHECK(WireProtocol().ReadHead(response).isLeaving);
  response.result(http::status::misdirected_request);
  CHECK_FALSE(WireProtocol().ReadHead(response).isLeaving);
  response.result(http::status::ok);
  const std::string text = GENERATE("", "0", "yes", "11");
  CAPTURE(text);
  response.set("Server-Leaving", text);
  CHECK_FALSE(WireProtocol().ReadHead(response).isLeaving);
}

TEST_CASE("WireProtocol rejects target entries with missing or invalid fields")
{
  CHECK_FALSE(ReadEntry(""));
  CHECK_FALSE(ReadEntry("[1]"));
  CHECK_FALSE(ReadEntry(Replaced(kEntry, "\"address\"", "\"elsewhere\"")));
  CHECK_FALSE(ReadEntry(Replaced(kEntry, "26", "\"26\"")));
  CHECK_FALSE(ReadEntry(Replaced(kEntry, "\"ready\"", "\"odd\"")));
}

// Guards against an exception that ends the process.
TEST_CASE("WireProtocol rejects an entry whose key names no target id")
{
  const std::string key =
    GENERATE("",
             "serv",
             "servers/",
             "servers/a b",
             "servers/a\r\nX-Other: 1",
             "servers/\xff",
             std::string("servers/") + std::string(70'000, 'a'));
  CAPTURE(key.substr(0, 20));
  CHECK_FALSE(
    ReadTarget({ .key = key, .value = std::string(kEntry), .revision = 9 }));
}

// Guards against an odd entry of another writer that is taken for a target.
TEST_CASE("WireProtocol rejects an entry with an address that no connection "
          "can use")
{
  const std::string address = GENERATE("10.0.0.1",
                                       "10.0.0.1:",
                                       "10.0.0.1:0",
                                       "10.0.0.1:-1",
                                       "10.0.0.1:65536",
                                       "10.0.0.1:99999999999",
                                       "10.0.0.1:80x",
                                       "host.example:80",
                                       ":80",
                                       "10.0.0.1\\u0000:80");
  CAPTURE(address);
  CHECK_FALSE(ReadEntry(Replaced(kEntry, "10.0.0.1:80", address)));
}

// Guards against an odd entry of another writer that is taken for a target.
TEST_CASE("WireProtocol rejects an entry with a number out of range")
{
  const auto [from, to] = GENERATE(table<std::string, std::string>({
    { "26", "0" },
    { "26", "-1" },
    { "26", "26.5" },
    { "26", "1e400" },
    { "26", "NaN" },
    { "26", "4294967322" },
    { "26", "99999999999999999999" },
    { "17", "17.5" },
    { "17", "-1" },
    { "17", "1e400" },
    { "17", "99999999999999999999" },
    { "17", "\"17\"" },
    { "\"rank\":1", "\"rank\":4294967296" },
    { "\"rank\":1", "\"rank\":-1" },
    { "\"rank\":1", "\"rank\":0.5" },
    { "\"rank\":1", "\"other\":1" },
    { "\"epoch\":12", "\"epoch\":99999999999999999999" },
    { "\"epoch\":12", "\"epoch\":-1" },
  }));
  CAPTURE(from, to);
  CHECK_FALSE(ReadEntry(Replaced(kEntry, from, to)));
}

// Guards against an order's reply, or an odd text, that is taken for the report
// of a target without a model.
TEST_CASE("WireProtocol rejects a report that lacks a required field or has "
          "numbers out of range")
{
  const auto read = [](std::string_view aText) {
    return ReadReport(aText, "10.0.0.1:80").has_value();
  };
  constexpr std::string_view kReport =
    R"({"stage":"both","models":[],"busy":false,"sequence":2,"queued":1,
        "active":12,"pace":1.5,"born":17,
        "group":{"name":"g","epoch":12,"rank":1,"state":"ready"}})";
  CHECK(read(kReport));
  CHECK_FALSE(read("{}"));
  CHECK_FALSE(read(R"({"sequence":3})"));
  CHECK_FALSE(read(Replaced(kReport, "\"models\":[]", "\"models\":4")));
  CHECK_FALSE(read(Replaced(kReport, "\"busy\":false", "\"busy\":0")));
  CHECK_FALSE(read(Replaced(kReport, "12,\"pace", "4294967296,\"pace")));
  CHECK_FALSE(read(Replaced(kReport, "\"queued\":1", "\"queued\":-1")));
  CHECK_FALSE(read(Replaced(kReport, "1.5", "-1")));
  CHECK_FALSE(read(Replaced(kReport, "1.5", "1e400")));
  CHECK_FALSE(read(Replaced(kReport, "17", "17.5")));
  CHECK_FALSE(read(Replaced(kReport, "\"rank\":1", "\"rank\":4294967296")));
}

TEST_CASE("WireProtocol rejects an entry nested 10,000 deep or not in UTF-8")
{
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  CHECK_FALSE(ReadEntry(Replaced(kEntry, "[\"m1\"]", deep)));
  CHECK_FALSE(ReadEntry(deep));
  CHECK_FALSE(ReadEntry(std::string(10'000, '[')));
  CHECK_FALSE(ReadEntry(Replaced(kEntry, "\"d1\"", "\"\xff\xfe\"")));
  CHECK_FALSE(ReadEntry(std::string("\x80\0\xff", 3)));
}

TEST_CASE("WireProtocol decodes the operator's document into a catalog")
{
  const auto catalog = ReadCatalog(kDocument);
  REQUIRE(catalog);
  CHECK(catalog->version == 7);
  REQUIRE(catalog->routes.size() == 1);
  const CatalogRoute& route = catalog->routes.front();
  CHECK(route.kind == RouteKind::kStream);
  CHECK(route.IsRepeatable());
  CHECK(route.timeout == seconds(8));
  CHECK(route.latencyObjective == milliseconds(300));
  CHECK(route.services.size() == 2);
  REQUIRE(catalog->services.front().engine);
  CHECK(catalog->services.front().engine->step == microseconds(5950));
  CHECK(catalog->services.front().engine->models.front().size == 4);
  CHECK_FALSE(catalog->services.back().engine);
  CHECK(catalog->accounts.front().keys.size() == 2);
  CHECK(catalog->limits.idleTimeout == seconds(15));
}

// Guards against applying an incomplete catalog, which would remove routes or
// accounts that the operator still declares.
TEST_CASE("WireProtocol rejects a document if any of its entries is invalid")
{
  CHECK_FALSE(ReadCatalog("{"));
  CHECK_FALSE(ReadCatalog("{}"));
  CHECK_FALSE(
    ReadCatalog(Replaced(kDocument, "{\"name\":\"acme\"", "{\"no\":\"\"")));
}

TEST_CASE("WireProtocol does not crash on randomly corrupted documents")
{
  std::mt19937 random(11);
  for (int i = 0; i < 20'000; ++i) {
    std::string text(i % 2 == 0 ? kDocument : kEntry);
    for (int change = 0; change < 3; ++change) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    text.resize(text.size() - random() % 3 * (random() % text.size()) / 2);
    static_cast<void>(ReadCatalog(text));
    static_cast<void>(ReadEntry(text));
    static_cast<void>(ReadReport(text, "peer"));
  }
}

TEST_CASE("WireProtocol decodes the headers of a caller's request")
{
  const CallerHead head = WireProtocol().ReadCaller(MakeCallerRequest());
  CHECK(head == CallerHead{ .attemptId = "abc",
                            .key = "k1",
                            .model = "m0",
                            .promptTokens = 1460,
                            .outputTokens = 60,
                            .sharedPromptParts = { "5c1e07a2", "91bd3f06" },
                            .requestTimeout = seconds(8),
                            .resumeAfter = 12 });
}

// Guards against forwarding a caller's key or hop-by-hop headers, and against
// callers that forge the headers that only this system may set.
TEST_CASE("WireProtocol replaces reserved headers of a forwarded request")
{
  const HttpRequest request =
    WireProtocol().MakeRequest(MakeCallerRequest(),
                               { .targetId = "i-1",
                                 .account = "acme",
                                 .timeLeft = milliseconds(7990),
                                 .resumeAfter = 20 });
  CHECK(request.method() == http::verb::post);
  CHECK(request.target() == "/p/1?q=2");
  CHECK(request.body() == "body");
  CHECK(request["Request-Attempt-Id"] == "abc");
  CHECK(request["X-Other"] == "2");
  CHECK(request["Tenant-Id"] == "acme");
  CHECK(request["Expect-Instance"] == "i-1");
  CHECK(request["Deadline-Ms"] == "7990");
  CHECK(request["Last-Event-Id"] == "20");
  CHECK(request.count(http::field::authorization) == 0);
  CHECK(request.count("X-Hop") == 0);
  CHECK(request.count("Tenant-Id") == 1);
}

TEST_CASE("WireProtocol ranks retries first, and new requests by priority")
{
  const auto rank = [](int aPriority, bool aIsRetry) {
    return std::string(
      WireProtocol().MakeRequest(MakeCallerRequest(),
                                 { .targetId = "i-1",
                                   .timeLeft = seconds(1),
                                   .priority = aPriority,
                                   .isRetry = aIsRetry })["Request-Priority"]);
  };
  CHECK(rank(0, false) == "3");
  CHECK(rank(2, false) == "5");
  CHECK(rank(2, true) == "2");
  CHECK(rank(1000, false) == "9");
  CHECK(rank(-1, false) == "3");
}

TEST_CASE("WireProtocol sends no account header without an account")
{
  const HttpRequest request = WireProtocol().MakeRequest(
    MakeCallerRequest(), { .targetId = "i-1", .timeLeft = seconds(1) });
  CHECK(request.count("Tenant-Id") == 0);
}

TEST_CASE("WireProtocol decodes the headers of a target's response")
{
  HttpResponse unavailable(http::status::service_unavailable, 11);
  CHECK_FALSE(WireProtocol().ReadHead(unavailable).notRun);
  unavailable.set("Not-Executed", "1");
  CHECK(WireProtocol().ReadHead(unavailable).notRun);
  HttpResponse misdirected(static_cast<http::status>(421), 11);
  CHECK(WireProtocol().ReadHead(misdirected).notRun);
  HttpResponse signedResponse(http::status::ok, 11);
  signedResponse.set("Response-Signature", "x");
  signedResponse.set("Server-Load", "3,1,8");
  signedResponse.set(http::field::content_type, "text/event-stream");
  const TargetHead head = WireProtocol().ReadHead(signedResponse);
  CHECK(head.isSigned);
  CHECK(head.isEventStream);
  CHECK_FALSE(head.isEncoded);
  CHECK(head.load == TargetLoad{ .running = 3, .waiting = 1, .slots = 8 });
}

// Guards against an integer overflow, after which a full target looks empty.
TEST_CASE("WireProtocol limits the counts and times in headers")
{
  HttpRequest request = MakeCallerRequest();
  request.set("Deadline-Ms", "9223372036854775807");
  request.set("Token-Count", "4294967297,-5");
  request.set("Length-Hint", "4294967297");
  const CallerHead caller = WireProtocol().ReadCaller(request);
  CHECK(caller.requestTimeout > seconds(3600));
  CHECK(caller.promptTokens > 1'000'000);
  CHECK(caller.outputTokens > 1'000'000);
  request.set("Deadline-Ms", "-9223372036854775808");
  CHECK(WireProtocol().ReadCaller(request).requestTimeout == seconds(0));
  HttpResponse response(http::status::ok, 11);
  response.set("Server-Load", "2147483647,2147483647,4294967304");
  const auto load = WireProtocol().ReadHead(response).load;
  REQUIRE(load);
  CHECK(load->running > 1'000'000);
  CHECK(std::int64_t{ load->running } + load->waiting <
        std::numeric_limits<int>::max());
  CHECK(load->slots > 1'000'000);
  response.set("Server-Load", "-3,1,8");
  CHECK(WireProtocol().ReadHead(response).load->running == 0);
}

TEST_CASE("WireProtocol encodes a join order as JSON")
{
  const HttpRequest request =
    WireProtocol().MakeOrder({ .kind = OrderKind::kJoin,
                               .target = "i-1",
                               .replica = "g",
                               .epoch = 12,
                               .model = "m0",
                               .members = { "i-1", "i-2" },
                               .fencingToken = 5 });
  CHECK(request["Expect-Instance"] == "i-1");
  const auto body = boost::json::parse(request.body()).as_object();
  CHECK(body.at("op") == "join");
  CHECK(body.at("fence") == 5);
  CHECK(body.at("members").as_array().size() == 2);
}

TEST_CASE("WireProtocol forwards a request to a node as the caller sent it")
{
  const HttpRequest request = WireProtocol().MakeForwarded(
    MakeCallerRequest(),
    { .targetId = "i-9", .timeLeft = milliseconds(1200), .resumeAfter = 15 });
  CHECK(request.method() == http::verb::post);
  CHECK(request.target() == "/p/1?q=2");
  CHECK(request[http::field::host] == "h");
  CHECK(request[http::field::authorization] == "Token k1");
  CHECK(request["Request-Attempt-Id"] == "abc");
  CHECK(request["Deadline-Ms"] == "1200");
  CHECK(request["Last-Event-Id"] == "15");
  CHECK(request["X-Other"] == "2");
  CHECK(request.body() == "body");
  for (const std::string_view name :
       { "Tenant-Id", "Expect-Instance", "Request-Priority", "X-Hop" }) {
    CAPTURE(name);
    CHECK(request.count(name) == 0);
  }
}

TEST_CASE("WireProtocol keeps headers between nodes from targets")
{
  HttpRequest request = WireProtocol().MakeForwarded(
    MakeCallerRequest(), { .targetId = "i-9", .timeLeft = milliseconds(1200) });
  SetForwarded(request, { .maxTargets = 2 });
  CHECK(ReadForwarded(request) == ForwardedRequest{ .maxTargets = 2 });
  const HttpRequest sent = WireProtocol().MakeRequest(
    request, { .targetId = "i-9", .timeLeft = milliseconds(1200) });
  for (const auto& field : sent) {
    CHECK_FALSE(field.name_string().starts_with("Apricottrack"));
  }
  CHECK(sent.count(http::field::authorization) == 0);
  CHECK(sent["X-Other"] == "2");
}

TEST_CASE("WireProtocol decodes how long a target stays cold")
{
  const auto remaining = [](std::string_view aText) {
    return ReadEntry(Replaced(kEntry,
                              "\"sequence\":4",
                              "\"sequence\":4,\"cold_remaining_ms\":" +
                                std::string(aText)))
      ->coldRemaining;
  };
  CHECK(ReadEntry(std::string(kEntry))->coldRemaining == Duration::zero());
  CHECK(remaining("2500") == milliseconds(2500));
  CHECK(remaining("-1") == Duration::zero());
  CHECK(remaining("\"soon\"") == Duration::zero());
  CHECK(remaining("9000000000000000000") == seconds(60));
}

TEST_CASE("WireProtocol decodes what a service says of cold targets")
{
  const auto catalog = ReadCatalog(
    Replaced(kDocument,
             "\"health_path\"",
             "\"cold_start_s\":3.0,\"cold_per_s\":17.0,\"health_path\""));
  REQUIRE(catalog);
  CHECK(catalog->services.front().coldTime == seconds(3));
  CHECK(catalog->services.front().coldRate == 17);
  CHECK(catalog->services.back().coldRate == 0);
}

TEST_CASE("WireProtocol names the zone of an evacuation")
{
  const WireProtocol protocol;
  CHECK(protocol.EvacuatedZoneOf("op/evacuate/z-1") == "z-1");
  CHECK(protocol.EvacuatedZoneOf("op/config").empty());
  CHECK(protocol.EvacuatedZoneOf("op/evacuate/").empty());
  CHECK(protocol.CatalogKey().starts_with(protocol.OperatorPrefix()));
}
