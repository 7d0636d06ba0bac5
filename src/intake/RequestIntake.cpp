#include "intake/RequestIntake.h"

#include "base/Hash.h"
#include "base/JsonFields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace apricottrack {

namespace json = boost::json;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPath = "/services/";
/// Maximum length of request ids and idempotency keys, in bytes.
constexpr std::size_t kMaxIdBytes = 128;
/// Bytes at the start of a prompt that determine its routing affinity.
constexpr std::size_t kPrefixBytes = 512;
/// Used to estimate the tokens of a prompt from its length.
constexpr double kBytesPerToken = 4;
/// Output tokens assumed if the request has no `max_tokens`.
constexpr double kDefaultMaxTokens = 256;
/// Time from arrival to the deadline of a request that has no
/// X-Request-Timeout-Ms.
constexpr int kDefaultTimeoutMs = 60'000;
/// Maximum of X-Request-Timeout-Ms.
constexpr int kMaxTimeoutMs = 600'000;

/// True for 1 to kMaxIdBytes printable ASCII characters without space, quote
/// and backslash.
bool
IsPrintableId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdBytes &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte > ' ' && aByte < 0x7f && aByte != '"' && aByte != '\\';
         });
}

tl::unexpected<Refusal>
Refuse(unsigned aStatus, std::string_view aCode, std::string_view aMessage)
{
  return tl::unexpected(MakeNotRunRefusal(aStatus, aCode, aMessage));
}

/// Returns the value of a header, or an empty text if the request has none.
std::string_view
Header(const HttpRequest& aRequest, std::string_view aName)
{
  const auto found = aRequest.find(aName);
  return found == aRequest.end()
           ? std::string_view{}
           : std::string_view(found->value().data(), found->value().size());
}

/// Returns the caller's API key, or an empty text if there is none.
std::string_view
BearerKey(const HttpRequest& aRequest)
{
  static constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = Header(aRequest, "Authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size())
                                    : std::string_view{};
}

/// Returns the first kPrefixBytes bytes of the chat messages' contents, and
/// the length of all contents in bytes.
std::pair<std::string, std::size_t>
PromptPrefix(const json::object& aBody)
{
  std::string prefix;
  std::size_t bytes = 0;
  const json::array* const messages = JsonArray(aBody, "messages");
  if (messages == nullptr) {
    return { prefix, bytes };
  }
  for (const json::value& item : *messages) {
    const json::object* const message = item.if_object();
    const std::string content =
      message == nullptr ? std::string{} : JsonText(*message, "content");
    bytes += content.size();
    if (prefix.size() < kPrefixBytes) {
      prefix.append(content, 0, kPrefixBytes - prefix.size());
    }
  }
  return { prefix, bytes };
}

/// Result of a step that fills a RequestSpec; the spec itself is an argument.
using SpecReadResult = tl::expected<void, Refusal>;

/// Reads the service, target path, prefix hash and token estimates of a chat
/// request.
SpecReadResult
ReadChatRequest(const HttpRequest& aRequest, RequestSpec& aSpec)
{
  if (aRequest.method() != http::verb::post) {
    return Refuse(
      405, "method_not_allowed", "chat completions accept only POST");
  }
  const auto body = ParseJsonObject(aRequest.body(), "request.body", "");
  if (!body) {
    return Refuse(400, "malformed_body", "the body is not a JSON object");
  }
  aSpec.service = FindService(*aSpec.configuration, JsonText(*body, "model"));
  if (aSpec.service == nullptr || aSpec.service->contract != Contract::kChat) {
    return Refuse(
      404, "unknown_service", "\"model\" is not a declared chat service");
  }
  const auto [prefix, bytes] = PromptPrefix(*body);
  if (bytes == 0) {
    return Refuse(400, "malformed_body", "\"messages\" has no content");
  }
  const std::int64_t maxTokens = JsonInteger(*body, "max_tokens");
  if (maxTokens < 0) {
    return Refuse(400, "malformed_body", "\"max_tokens\" is negative");
  }
  aSpec.prefixHash = StableHash(prefix, StableHash(aSpec.account->name));
  aSpec.promptTokens = static_cast<double>(bytes) / kBytesPerToken;
  aSpec.estimatedTokens =
    aSpec.promptTokens +
    (maxTokens > 0 ? static_cast<double>(maxTokens) : kDefaultMaxTokens);
  aSpec.targetPath = kChatPath;
  return {};
}

/// Reads the service and target path of a request for a plain service from the
/// request target `aTarget`, "/services/NAME/PATH".
SpecReadResult
ReadPlainRequest(std::string_view aTarget, RequestSpec& aSpec)
{
  const std::string_view rest = aTarget.substr(kServicesPath.size());
  const std::size_t slash = std::min(rest.find_first_of("/?"), rest.size());
  aSpec.service = FindService(*aSpec.configuration, rest.substr(0, slash));
  if (aSpec.service == nullptr || aSpec.service->contract != Contract::kPlain) {
    return Refuse(404,
                  "unknown_service",
                  "the path does not name a declared plain service");
  }
  aSpec.targetPath = rest.substr(slash);
  if (!aSpec.targetPath.starts_with('/')) {
    aSpec.targetPath.insert(0, "/");
  }
  return {};
}

/// Returns the kind named by X-Request-Kind if it matches the request. Without
/// the header, returns the matching kind with the longest path for a plain
/// service, or the first kind for a chat service. Null if none matches.
const RequestKind*
FindKind(const HttpRequest& aRequest, const RequestSpec& aSpec)
{
  const std::string_view requestedKind = Header(aRequest, "X-Request-Kind");
  const RequestKind* best = nullptr;
  for (const RequestKind& kind : aSpec.service->kinds) {
    const bool matches =
      aSpec.service->contract == Contract::kChat ||
      (kind.method == std::string_view(aRequest.method_string().data(),
                                       aRequest.method_string().size()) &&
       aSpec.targetPath.starts_with(kind.path));
    if (!matches || (!requestedKind.empty() && kind.name != requestedKind)) {
      continue;
    }
    const bool moreSpecific =
      best == nullptr || (aSpec.service->contract == Contract::kPlain &&
                          kind.path.size() > best->path.size());
    if (moreSpecific) {
      best = &kind;
    }
  }
  return best;
}

SpecReadResult
ReadDeadline(const HttpRequest& aRequest, RequestSpec& aSpec, Instant aNow)
{
  const std::string_view text = Header(aRequest, "X-Request-Timeout-Ms");
  int timeout = kDefaultTimeoutMs;
  if (!text.empty()) {
    const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), timeout);
    if (error != std::errc{} || end != text.data() + text.size() ||
        timeout <= 0 || timeout > kMaxTimeoutMs) {
      return Refuse(
        400, "malformed_deadline", "X-Request-Timeout-Ms must be 1 to 600000");
    }
  }
  aSpec.deadline = aNow + milliseconds(timeout);
  return {};
}

SpecReadResult
ReadIdempotency(const HttpRequest& aRequest, RequestSpec& aSpec)
{
  const std::string_view key = Header(aRequest, "Idempotency-Key");
  const bool isPresent = aRequest.find("Idempotency-Key") != aRequest.end();
  if (isPresent && !IsPrintableId(key)) {
    return Refuse(400,
                  "malformed_idempotency_key",
                  "Idempotency-Key must be 1 to 128 printable ASCII characters "
                  "without space, quote and backslash");
  }
  aSpec.idempotencyKey = key;
  aSpec.idempotent = aSpec.kind->idempotent && key.empty();
  return {};
}

} // namespace

std::string
RequestIdOf(const HttpRequest& aRequest)
{
  const std::string_view id = Header(aRequest, "X-Request-Id");
  return IsPrintableId(id) ? std::string(id) : RandomId();
}

tl::expected<RequestSpec, Refusal>
ReadRequest(const HttpRequest& aRequest,
            std::shared_ptr<const Configuration> aConfiguration,
            std::string aRequestId,
            Instant aNow)
{
  if (aConfiguration == nullptr) {
    return tl::unexpected(
      MakeNotRunRefusal(503,
                        "no_configuration",
                        "this node has not received a configuration yet",
                        seconds(1)));
  }
  RequestSpec spec;
  spec.configuration = std::move(aConfiguration);
  spec.requestId = std::move(aRequestId);
  spec.account = FindAccountByKey(*spec.configuration, BearerKey(aRequest));
  if (spec.account == nullptr) {
    return Refuse(
      401, "unknown_account", "the key is not assigned to any account");
  }
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  const bool isChat = target.substr(0, target.find('?')) == kChatPath;
  if (!isChat && !target.starts_with(kServicesPath)) {
    return Refuse(404, "unknown_path", "no service is declared for this path");
  }
  const SpecReadResult read =
    isChat ? ReadChatRequest(aRequest, spec) : ReadPlainRequest(target, spec);
  if (!read) {
    return tl::unexpected(read.error());
  }
  if (!MayCall(*spec.service, *spec.account)) {
    return Refuse(
      403, "account_not_allowed", "the account may not call this service");
  }
  spec.kind = FindKind(aRequest, spec);
  if (spec.kind == nullptr) {
    return Refuse(404,
                  "unknown_kind",
                  "no kind of the service matches name, method and path");
  }
  const SpecReadResult deadline =
    ReadDeadline(aRequest, spec, aNow).and_then([&] {
      return ReadIdempotency(aRequest, spec);
    });
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  return spec;
}

bool
DependsOnConfiguration(const Refusal& aRefusal)
{
  static constexpr std::string_view kCodes[] = {
    "unknown_account", "account_not_allowed", "unknown_service", "unknown_kind"
  };
  return std::find(std::begin(kCodes), std::end(kCodes), aRefusal.code) !=
         std::end(kCodes);
}

std::string
RequestFingerprint(const HttpRequest& aRequest)
{
  std::string text(aRequest.method_string());
  text.append("\n").append(aRequest.target()).append("\n");
  text.append(aRequest.body());
  return Sha256Hex(text).substr(0, 16);
}

std::string
JournalKey(const RequestSpec& aSpec, std::string_view aFingerprint)
{
  std::string text = aSpec.account->name;
  text.append("\n").append(aSpec.service->name).append("\n");
  if (aSpec.idempotencyKey.empty()) {
    // Request ids also serve as trace ids, which callers may reuse, so a
    // reused id counts as a retry only if the request is the same.
    text.append("id\n").append(aSpec.requestId).append("\n");
    text.append(aFingerprint);
  } else {
    text.append("key\n").append(aSpec.idempotencyKey);
  }
  return Sha256Hex(text).substr(0, 32);
}

} // namespace apricottrack
