#include "apricottrack/Configuration.h"

#include "base/Hash.h"
#include "config/TomlReader.h"

#include <algorithm>
#include <fmt/format.h>

namespace apricottrack {

namespace {

constexpr NumberRange kRate{ .minimum = 0,
                             .maximum = 1e7,
                             .unit = "per second" };
constexpr NumberRange kWeight{ .minimum = 0.001, .maximum = 1000, .unit = "" };
constexpr NumberRange kTimeoutMs{ .minimum = 10,
                                  .maximum = 3'600'000,
                                  .unit = "milliseconds" };

ClientAccount
ReadAccount(TomlReader& aReader)
{
  ClientAccount account{
    .name = aReader.String("name"),
    .keySha256 = aReader.String("key_sha256"),
    .requestsPerSecond = aReader.Number("requests_per_second", kRate, 10),
    .tokensPerSecond = aReader.Number("tokens_per_second", kRate, 10'000),
    .weight = aReader.Number("weight", kWeight, 1),
  };
  const bool isHex = std::all_of(
    account.keySha256.begin(), account.keySha256.end(), [](char aDigit) {
      return (aDigit >= '0' && aDigit <= '9') ||
             (aDigit >= 'a' && aDigit <= 'f');
    });
  if (!account.keySha256.empty() &&
      (account.keySha256.size() != 64 || !isHex)) {
    aReader.AddMistake(
      "key_sha256",
      "is not a SHA-256 hash of 64 lower-case hexadecimal digits",
      "compute it with: apricottrack hash-key");
  }
  return account;
}

RequestKind
ReadRequestKind(TomlReader& aReader)
{
  static const std::vector<std::string_view> kMethods{
    "POST", "GET", "PUT", "PATCH", "DELETE"
  };
  RequestKind kind{
    .name = aReader.String("name"),
    .method = std::string(kMethods[aReader.Choice("method", kMethods, 0)]),
    .path = aReader.String("path", "/"),
    .idempotent = aReader.Boolean("idempotent", true),
    .priority = static_cast<Priority>(
      aReader.Choice("priority", { "interactive", "batch" }, 0)),
  };
  if (!kind.path.starts_with('/')) {
    aReader.AddMistake(
      "path", "does not start with a slash", "write it as \"/...\"");
  }
  return kind;
}

Objective
ReadObjective(TomlReader& aReader)
{
  return Objective{
    .firstTokenLimit =
      milliseconds(aReader.Integer("first_token_ms", kTimeoutMs, 560)),
    .target = aReader.Number(
      "target", { .minimum = 0.5, .maximum = 0.99999, .unit = "" }, 0.95),
  };
}

Service
ReadService(TomlReader& aReader)
{
  Service service{
    .name = aReader.String("name"),
    .contract =
      static_cast<Contract>(aReader.Choice("contract", { "chat", "plain" }, 1)),
    .role = aReader.String("role", ""),
    .accounts = aReader.StringList("accounts"),
    .slotsPerTarget =
      aReader.Integer("slots_per_target",
                      { .minimum = 1, .maximum = 4096, .unit = "requests" },
                      8),
    .queueLimit =
      aReader.Integer("queue_limit",
                      { .minimum = 0, .maximum = 100'000, .unit = "requests" },
                      256),
    .maxAttempts = aReader.Integer(
      "max_attempts", { .minimum = 1, .maximum = 10, .unit = "attempts" }, 3),
    .firstByteTimeout =
      milliseconds(aReader.Integer("first_byte_timeout_ms", kTimeoutMs, 5000)),
    .stallTimeout =
      milliseconds(aReader.Integer("stall_timeout_ms", kTimeoutMs, 2000)),
    .echoesRequestId = aReader.Boolean("echoes_request_id", false),
    .resumesStreams = aReader.Boolean("resumes_streams", false),
  };
  aReader.ForEachTable("kinds", [&service](TomlReader& aKind) {
    service.kinds.push_back(ReadRequestKind(aKind));
  });
  aReader.VisitTable("objective", [&service](TomlReader& aObjective) {
    service.objective = ReadObjective(aObjective);
  });
  if (service.kinds.empty()) {
    aReader.AddMistake(
      "kinds", "is missing", "declare at least one kind of request");
  }
  if (service.accounts.empty()) {
    aReader.AddMistake(
      "accounts",
      "lists no accounts",
      "list the accounts that may call this service, or \"*\" for all");
  }
  if (service.contract == Contract::kPlain && service.role.empty()) {
    aReader.AddMistake(
      "role",
      "is missing for a plain service",
      "set it to the role of the service's VMs in the platform's list of VMs");
  }
  return service;
}

GroupSet
ReadGroupSet(TomlReader& aReader)
{
  return GroupSet{
    .name = aReader.String("name"),
    .service = aReader.String("service"),
    .role = aReader.String("role"),
    .count = aReader.Integer(
      "count", { .minimum = 0, .maximum = 10'000, .unit = "groups" }, 1),
    .size = aReader.Integer(
      "size", { .minimum = 1, .maximum = 256, .unit = "VMs" }, 1),
    .checksFencing = aReader.Boolean("checks_fencing", true),
  };
}

/// Reports names that appear more than once in a list.
template<typename T>
void
CheckUnique(const std::vector<T>& aItems,
            std::string_view aKey,
            TomlReader& aReader)
{
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (aItems[i].name == aItems[j].name && !aItems[i].name.empty()) {
        aReader.AddMistake(
          aKey,
          fmt::format("the name \"{}\" appears more than once", aItems[i].name),
          "give each entry a unique name");
      }
    }
  }
}

void
CheckReferences(const Configuration& aConfiguration, TomlReader& aReader)
{
  for (const Service& service : aConfiguration.services) {
    for (const std::string& name : service.accounts) {
      const bool isDeclared =
        name == "*" || std::any_of(aConfiguration.accounts.begin(),
                                   aConfiguration.accounts.end(),
                                   [&](const ClientAccount& aAccount) {
                                     return aAccount.name == name;
                                   });
      if (!isDeclared) {
        aReader.AddMistake(
          "services",
          fmt::format(
            "service \"{}\" names unknown account \"{}\"", service.name, name),
          "declare the account, or remove its name from the service");
      }
    }
  }
  for (const GroupSet& set : aConfiguration.groupSets) {
    const Service* const service = FindService(aConfiguration, set.service);
    if (service == nullptr || service->contract != Contract::kChat) {
      aReader.AddMistake(
        "groups",
        fmt::format("group set \"{}\" is for \"{}\", which is not a "
                    "declared chat service",
                    set.name,
                    set.service),
        "set it to a declared service with contract = \"chat\"");
    }
  }
}

} // namespace

tl::expected<Configuration, Mistakes>
ParseConfiguration(std::string_view aText)
{
  Mistakes mistakes;
  const auto table = ParseToml(aText, mistakes);
  if (!table) {
    return tl::unexpected(std::move(mistakes));
  }
  TomlReader reader(*table, "", mistakes);
  Configuration configuration;
  configuration.firm = reader.String("firm");
  reader.VisitTable("policy", [&](TomlReader& aPolicy) {
    configuration.policy = GroupPolicy{
      .downtimeWeight = aPolicy.Number("downtime_weight", kWeight, 1),
      .strandedWeight = aPolicy.Number("stranded_weight", kWeight, 1),
    };
  });
  reader.ForEachTable("accounts", [&](TomlReader& aAccount) {
    configuration.accounts.push_back(ReadAccount(aAccount));
  });
  reader.ForEachTable("services", [&](TomlReader& aService) {
    configuration.services.push_back(ReadService(aService));
    CheckUnique(configuration.services.back().kinds, "kinds", aService);
  });
  reader.ForEachTable("groups", [&](TomlReader& aSet) {
    configuration.groupSets.push_back(ReadGroupSet(aSet));
  });
  reader.ReportUnknownKeys();
  CheckUnique(configuration.accounts, "accounts", reader);
  CheckUnique(configuration.services, "services", reader);
  CheckUnique(configuration.groupSets, "groups", reader);
  CheckReferences(configuration, reader);
  if (!mistakes.empty()) {
    return tl::unexpected(std::move(mistakes));
  }
  return configuration;
}

const Service*
FindService(const Configuration& aConfiguration, std::string_view aName)
{
  const auto& services = aConfiguration.services;
  const auto found = std::find_if(
    services.begin(), services.end(), [aName](const Service& aService) {
      return aService.name == aName;
    });
  return found == services.end() ? nullptr : &*found;
}

const ClientAccount*
FindAccountByKey(const Configuration& aConfiguration, std::string_view aKey)
{
  const std::string hash = Sha256Hex(aKey);
  const ClientAccount* found = nullptr;
  for (const ClientAccount& account : aConfiguration.accounts) {
    if (EqualConstantTime(account.keySha256, hash)) {
      found = &account;
    }
  }
  return found;
}

bool
MayCall(const Service& aService, const ClientAccount& aAccount)
{
  return std::any_of(aService.accounts.begin(),
                     aService.accounts.end(),
                     [&aAccount](const std::string& aName) {
                       return aName == "*" || aName == aAccount.name;
                     });
}

} // namespace apricottrack
