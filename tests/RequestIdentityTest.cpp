#include "quarantine/RequestIdentity.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

namespace http = boost::beast::http;

HttpRequest
MakeRequest(http::verb aMethod, std::string_view aPath, std::string aBody)
{
  HttpRequest request(aMethod, aPath, 11);
  request.set(http::field::host, "h");
  request.body() = std::move(aBody);
  return request;
}

} // namespace

TEST_CASE("RequestIdentity is the same for repeats and differs otherwise")
{
  const HttpRequest request = MakeRequest(http::verb::post, "/p/1", "body");
  const std::string identity = RequestIdentity(request, "account");
  HttpRequest repeat = request;
  repeat.set("Request-Attempt-Id", "2");
  repeat.set("Deadline-Ms", "17");
  CHECK(RequestIdentity(repeat, "account") == identity);
  CHECK(RequestIdentity(request, "other") != identity);
  CHECK(RequestIdentity(MakeRequest(http::verb::put, "/p/1", "body"),
                        "account") != identity);
  CHECK(RequestIdentity(MakeRequest(http::verb::post, "/p/1b", "ody"),
                        "account") != identity);
  HttpRequest otherHost = request;
  otherHost.set(http::field::host, "i");
  CHECK(RequestIdentity(otherHost, "account") != identity);
}

// Guards against a request without prompt that is taken for one with a part.
TEST_CASE("RequestIdentity is no id that a prompt part can have")
{
  const HttpRequest request = MakeRequest(http::verb::get, "/", "");
  CHECK(RequestIdentity(request, "").find(':') != std::string::npos);
}

// Guards against a request with one identity for each node's address.
TEST_CASE(
  "HostlessRequestIdentity is the same by whatever name a node is called")
{
  HttpRequest request(boost::beast::http::verb::post, "/path", 11);
  request.body() = "body";
  request.set(boost::beast::http::field::host, "node-0");
  const std::string identity = HostlessRequestIdentity(request, "account");
  const std::string withHost = RequestIdentity(request, "account");
  request.set(boost::beast::http::field::host, "node-1");
  CHECK(HostlessRequestIdentity(request, "account") == identity);
  CHECK(RequestIdentity(request, "account") != withHost);
  CHECK(HostlessRequestIdentity(request, "other") != identity);
  CHECK(IsRequestIdentity(identity));
  request.body() = "other";
  CHECK(HostlessRequestIdentity(request, "account") != identity);
}
