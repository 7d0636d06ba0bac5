#include "kv/EtcdMessages.h"

#include "base/JsonFields.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace apricottrack::detail {

namespace base64 = boost::beast::detail::base64;
namespace json = boost::json;

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  // The decoder would write past the size that it states for such a text.
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  const auto [written, read] =
    base64::decode(bytes.data(), aText.data(), aText.size());
  const std::string_view rest = aText.substr(read);
  if (rest.find_first_not_of('=') != std::string_view::npos) {
    return std::nullopt;
  }
  bytes.resize(written);
  return bytes;
}

std::string
PrefixEnd(std::string aPrefix)
{
  while (!aPrefix.empty()) {
    if (static_cast<unsigned char>(aPrefix.back()) != 0xff) {
      aPrefix.back() =
        static_cast<char>(static_cast<unsigned char>(aPrefix.back()) + 1);
      return aPrefix;
    }
    aPrefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string
RangeBody(std::string_view aKey, bool aIsPrefix)
{
  json::object body{ { "key", EncodeBase64(aKey) } };
  if (aIsPrefix) {
    body["range_end"] = EncodeBase64(PrefixEnd(std::string(aKey)));
  }
  return json::serialize(body);
}

std::string
SwapBody(const Swap& aSwap)
{
  const std::string key = EncodeBase64(aSwap.key);
  json::object put{ { "key", key }, { "value", EncodeBase64(aSwap.value) } };
  if (aSwap.lease != 0) {
    put["lease"] = std::to_string(aSwap.lease);
  }
  const json::object compare{ { "key", key },
                              { "target", "MOD" },
                              { "result", "EQUAL" },
                              { "mod_revision",
                                std::to_string(aSwap.expected) } };
  const json::object body{
    { "compare", json::array{ compare } },
    { "success", json::array{ json::object{ { "request_put", put } } } },
  };
  return json::serialize(body);
}

std::string
GrantBody(std::int64_t aTtlSeconds)
{
  return json::serialize(
    json::object{ { "TTL", std::to_string(aTtlSeconds) } });
}

std::string
LeaseBody(LeaseId aLease)
{
  return json::serialize(json::object{ { "ID", std::to_string(aLease) } });
}

std::string
WatchBody(std::string_view aPrefix, Revision aFrom)
{
  const json::object create{ { "key", EncodeBase64(aPrefix) },
                             { "range_end",
                               EncodeBase64(PrefixEnd(std::string(aPrefix))) },
                             { "start_revision", std::to_string(aFrom) },
                             { "progress_notify", true } };
  return json::serialize(json::object{ { "create_request", create } });
}

std::int64_t
NumberField(const json::object& aObject, std::string_view aName)
{
  const json::value* const field = aObject.if_contains(aName);
  if (field == nullptr) {
    return 0;
  }
  if (field->is_string()) {
    std::int64_t number = 0;
    const auto& text = field->get_string();
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
  }
  return field->is_int64() ? field->get_int64() : 0;
}

namespace {

std::string
Base64Field(const json::object& aObject, std::string_view aName)
{
  return DecodeBase64(JsonText(aObject, aName)).value_or(std::string{});
}

} // namespace

KeyValue
ReadKeyValue(const json::object& aObject)
{
  return KeyValue{ .key = Base64Field(aObject, "key"),
                   .value = Base64Field(aObject, "value"),
                   .revision = NumberField(aObject, "mod_revision") };
}

Revision
HeaderRevision(const json::object& aReply)
{
  const json::object* const header = JsonObject(aReply, "header");
  return header == nullptr ? 0 : NumberField(*header, "revision");
}

std::vector<KeyValue>
ReadWatchEvents(const json::object& aResult)
{
  std::vector<KeyValue> changes;
  const json::array* const events = JsonArray(aResult, "events");
  if (events == nullptr) {
    return changes;
  }
  for (const json::value& event : *events) {
    const json::object* const object = event.if_object();
    const json::object* const kv =
      object == nullptr ? nullptr : JsonObject(*object, "kv");
    if (kv == nullptr) {
      continue;
    }
    KeyValue change = ReadKeyValue(*kv);
    if (JsonText(*object, "type") == "DELETE") {
      change.revision = 0;
      change.value.clear();
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace apricottrack::detail
