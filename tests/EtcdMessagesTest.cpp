#include "kv/EtcdMessages.h"

#include "base/JsonFields.h"

#include <catch2/catch.hpp>

using namespace apricottrack;
using namespace apricottrack::detail;

TEST_CASE("EncodeBase64 and DecodeBase64 preserve arbitrary bytes, and "
          "DecodeBase64 refuses text that is not base64")
{
  for (const std::string& bytes : { std::string("a"),
                                    std::string("ab"),
                                    std::string("abc"),
                                    std::string("\0\xff\n", 3) }) {
    CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  }
  CHECK_FALSE(DecodeBase64("not base64!"));
}

TEST_CASE("PrefixEnd returns the first key after all keys with the prefix")
{
  CHECK(PrefixEnd("a/") == "a0");
  CHECK(PrefixEnd("a\xff") == "b");
  CHECK(PrefixEnd("\xff") == std::string(1, '\0'));
}

TEST_CASE("SwapBody compares the key's revision and writes one value")
{
  const auto body = ParseJsonObject(
    SwapBody({ .key = "k", .expected = 7, .value = "v", .lease = 9 }),
    "test",
    "");
  REQUIRE(body);
  const auto& compare = body->at("compare").at(0).as_object();
  CHECK(JsonText(compare, "target") == "MOD");
  CHECK(NumberField(compare, "mod_revision") == 7);
  const auto& put = body->at("success").at(0).at("request_put").as_object();
  CHECK(DecodeBase64(JsonText(put, "value")) == "v");
  CHECK(NumberField(put, "lease") == 9);
}

TEST_CASE(
  "ReadWatchEvents distinguishes changes from deletions and skips malformed "
  "events")
{
  const std::string text =
    R"({"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"5"}},)"
    R"({"type":"DELETE","kv":{"key":"aw==","mod_revision":"6"}},7,{}]})";
  const auto result = ParseJsonObject(text, "test", "");
  REQUIRE(result);
  const auto changes = ReadWatchEvents(*result);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0] == KeyValue{ .key = "k", .value = "v", .revision = 5 });
  CHECK(changes[1].revision == 0);
}

// Guards against a write past the end of the buffer.
TEST_CASE("DecodeBase64 rejects a text without its padding")
{
  for (std::size_t size = 1; size < 200; ++size) {
    CAPTURE(size);
    CHECK(detail::DecodeBase64(std::string(size, 'A')).has_value() ==
          (size % 4 == 0));
  }
}
