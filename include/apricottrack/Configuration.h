#ifndef APRICOTTRACK_CONFIGURATION_H
#define APRICOTTRACK_CONFIGURATION_H

#include "apricottrack/Mistake.h"
#include "apricottrack/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

/// What operators declare and submit as a whole.
namespace apricottrack {

enum class Priority
{
  /// Somebody waits for the answer.
  kInteractive,
  kBatch,
};

/// How a service's targets are spoken to.
enum class Contract
{
  /// Chat completions by replica groups of several VMs.
  kChat,
  /// Any HTTP service on single VMs; passed through as it is.
  kPlain,
};

struct ClientAccount
{
  std::string name;
  /// SHA-256 of the account's key, in hexadecimal.
  std::string keySha256;
  double requestsPerSecond = 0;
  double tokensPerSecond = 0;
  /// Share of a contended service relative to other accounts.
  double weight = 1;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

/// A class of requests that a service answers.
struct RequestKind
{
  std::string name;
  /// Upper-case HTTP method.
  std::string method;
  /// Path prefix below the service.
  std::string path;
  bool idempotent = true;
  Priority priority = Priority::kInteractive;

  friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

/// Service-level objective: the share of requests answered well and in time.
struct Objective
{
  Duration firstToken = milliseconds(560);
  double target = 0.95;

  friend bool operator==(const Objective&, const Objective&) = default;
};

struct Service
{
  std::string name;
  Contract contract = Contract::kPlain;
  /// Role, in the platform's list of VMs, of a plain service's targets.
  std::string role;
  /// Names of the accounts that may call; "*" stands for all.
  std::vector<std::string> accounts;
  std::vector<RequestKind> kinds;
  /// Requests that one target works on at a time.
  int slotsPerTarget = 8;
  /// Requests that may wait at one node.
  int queueLimit = 256;
  int maxAttempts = 3;
  Duration firstByteTimeout = seconds(5);
  /// Longest silence inside an answer before the connection is given up.
  Duration stallTimeout = seconds(2);
  /// The target repeats X-Request-Id in its answers. Where it does not,
  /// each request has a connection of its own.
  bool echoesRequestId = false;
  /// The engine continues a stream from a given event.
  bool resumesStreams = false;
  Objective objective;

  friend bool operator==(const Service&, const Service&) = default;
};

/// A set of equal replica groups for one chat service.
struct GroupSet
{
  std::string name;
  std::string service;
  /// Role, in the platform's list of VMs, of the members.
  std::string role;
  int count = 1;
  int size = 1;
  /// Targets refuse orders that carry an old fencing number.
  bool checksFencing = true;

  friend bool operator==(const GroupSet&, const GroupSet&) = default;
};

/// Relative costs of group downtime and of stranded accelerators.
struct GroupPolicy
{
  double downtimeWeight = 1;
  double strandedWeight = 1;

  friend bool operator==(const GroupPolicy&, const GroupPolicy&) = default;
};

struct Configuration
{
  std::string firm;
  GroupPolicy policy;
  std::vector<ClientAccount> accounts;
  std::vector<Service> services;
  std::vector<GroupSet> groupSets;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// Parses and checks the operators' TOML text; reports every mistake at once.
tl::expected<Configuration, Mistakes>
ParseConfiguration(std::string_view aText);

const Service*
FindService(const Configuration& aConfiguration, std::string_view aName);

/// The account that owns the key, compared in constant time per account.
const ClientAccount*
FindAccountByKey(const Configuration& aConfiguration, std::string_view aKey);

bool
MayCall(const Service& aService, const ClientAccount& aAccount);

} // namespace apricottrack

#endif
