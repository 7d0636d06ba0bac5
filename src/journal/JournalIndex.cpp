#include "journal/JournalIndex.h"

#include "base/JsonFields.h"
#include "retry/RefusalStatus.h"

#include <boost/json.hpp>

namespace apricottrack {

namespace json = boost::json;

namespace {

JournalIntent
ReadIntent(const json::object& aObject)
{
  return JournalIntent{ .key = JsonText(aObject, "key"),
                        .nonce = JsonText(aObject, "nonce"),
                        .fingerprint = JsonText(aObject, "fingerprint"),
                        .requestId = JsonText(aObject, "request"),
                        .account = JsonText(aObject, "account"),
                        .service = JsonText(aObject, "service"),
                        .kind = JsonText(aObject, "kind"),
                        .node = JsonText(aObject, "node"),
                        .at = JsonInteger(aObject, "at") };
}

Outcome
ReadOutcome(std::string_view aName)
{
  for (const Outcome outcome : { Outcome::kAnswered, Outcome::kNotRun }) {
    if (aName == OutcomeName(outcome)) {
      return outcome;
    }
  }
  return Outcome::kUnknown;
}

JournalEnd
ReadEnd(const json::object& aObject)
{
  return JournalEnd{
    .key = JsonText(aObject, "key"),
    .nonce = JsonText(aObject, "nonce"),
    .outcome = ReadOutcome(JsonText(aObject, "outcome")),
    .status = static_cast<int>(JsonInteger(aObject, "status")),
    .contentType = JsonText(aObject, "content_type"),
    .body = JsonText(aObject, "body"),
    .bodyIsStored = aObject.contains("body"),
    .target = JsonText(aObject, "target"),
    .at = JsonInteger(aObject, "at"),
  };
}

} // namespace

std::string
EncodeLine(const JournalIntent& aIntent)
{
  return json::serialize(json::object{ { "op", "intent" },
                                       { "key", aIntent.key },
                                       { "nonce", aIntent.nonce },
                                       { "fingerprint", aIntent.fingerprint },
                                       { "request", aIntent.requestId },
                                       { "account", aIntent.account },
                                       { "service", aIntent.service },
                                       { "kind", aIntent.kind },
                                       { "node", aIntent.node },
                                       { "at", aIntent.at } }) +
         "\n";
}

std::string
EncodeLine(const JournalEnd& aEnd)
{
  json::object line{
    { "op", "end" },           { "key", aEnd.key },
    { "nonce", aEnd.nonce },   { "outcome", OutcomeName(aEnd.outcome) },
    { "status", aEnd.status }, { "target", aEnd.target },
    { "at", aEnd.at }
  };
  if (aEnd.bodyIsStored) {
    line["content_type"] = aEnd.contentType;
    line["body"] = aEnd.body;
  }
  return json::serialize(line) + "\n";
}

Outcome
ProvenOutcome(const JournalEnd& aEnd)
{
  const bool isRefusal =
    aEnd.status > 0 && StatesNotRun(static_cast<unsigned>(aEnd.status));
  return isRefusal && aEnd.outcome == Outcome::kAnswered ? Outcome::kUnknown
                                                         : aEnd.outcome;
}

std::string_view
SealLine()
{
  return "{\"op\":\"seal\"}\n";
}

bool
JournalIndex::Apply(std::string_view aLines)
{
  bool sealed = false;
  while (!aLines.empty()) {
    const std::size_t end = aLines.find('\n');
    sealed = this->ApplyLine(aLines.substr(0, end)) || sealed;
    aLines.remove_prefix(end == std::string_view::npos ? aLines.size()
                                                       : end + 1);
  }
  return sealed;
}

bool
JournalIndex::ApplyLine(std::string_view aLine)
{
  const auto object = ParseJsonObject(aLine, "journal.read", "");
  if (!object) {
    return false;
  }
  const std::string op = JsonText(*object, "op");
  if (op == "intent") {
    JournalIntent intent = ReadIntent(*object);
    if (this->MayAttempt(intent.key)) {
      std::string key = intent.key;
      this->entries.insert_or_assign(
        std::move(key),
        JournalEntry{ .intent = std::move(intent), .end = std::nullopt });
    }
  } else if (op == "end") {
    JournalEnd end = ReadEnd(*object);
    const auto found = this->entries.find(end.key);
    if (found != this->entries.end() &&
        found->second.intent.nonce == end.nonce) {
      found->second.end = std::move(end);
    }
  }
  return op == "seal";
}

const JournalEntry*
JournalIndex::Find(const std::string& aKey) const
{
  const auto found = this->entries.find(aKey);
  return found == this->entries.end() ? nullptr : &found->second;
}

bool
JournalIndex::MayAttempt(const std::string& aKey) const
{
  const JournalEntry* const entry = this->Find(aKey);
  return entry == nullptr ||
         (entry->end && entry->end->outcome == Outcome::kNotRun);
}

void
JournalIndex::ForEach(
  const std::function<void(const JournalEntry&)>& aVisit) const
{
  for (const auto& [key, entry] : this->entries) {
    aVisit(entry);
  }
}

} // namespace apricottrack
