#ifndef APRICOTTRACK_CONFIGURATION_H
#define APRICOTTRACK_CONFIGURATION_H

#include "apricottrack/Mistake.h"
#include "apricottrack/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

/// The configuration that operators declare in TOML and submit as a whole.
namespace apricottrack {

/// Scheduling class of a request.
enum class Priority
{
  /// A person is waiting for the response.
  kInteractive,
  kBatch,
};

/// The protocol between a node and the targets of a service.
enum class Contract
{
  /// Chat completions by replica groups of one or more VMs.
  kChat,
  /// Any HTTP service on single VMs; requests and responses pass through
  /// unchanged.
  kPlain,
};

/// A client account with its API key and its rate limits.
struct ClientAccount
{
  std::string name;
  /// SHA-256 of the account's key, in hexadecimal.
  std::string keySha256;
  double requestsPerSecond = 0;
  double tokensPerSecond = 0;
  /// Weight in the fair sharing of a contended service, relative to the other
  /// accounts.
  double weight = 1;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

/// A class of requests that a service handles.
struct RequestKind
{
  std::string name;
  /// Upper-case HTTP method.
  std::string method;
  /// Path prefix, relative to the service.
  std::string path;
  bool idempotent = true;
  Priority priority = Priority::kInteractive;

  friend bool operator==(const RequestKind&, const RequestKind&) = default;
};

/// Service-level objective: the share of requests that succeed with their
/// first token in time.
struct Objective
{
  /// Limit for the time to first token.
  Duration firstTokenLimit = milliseconds(560);
  /// Required share of requests, from 0.5 to 0.99999.
  double target = 0.95;

  friend bool operator==(const Objective&, const Objective&) = default;
};

/// A service that callers reach through the nodes.
struct Service
{
  std::string name;
  Contract contract = Contract::kPlain;
  /// Role of the targets of a plain service in the platform's list of VMs.
  std::string role;
  /// Names of the accounts that may call the service; "*" allows all.
  std::vector<std::string> accounts;
  std::vector<RequestKind> kinds;
  /// Maximum number of concurrent requests per target.
  int slotsPerTarget = 8;
  /// Maximum number of queued requests per node.
  int queueLimit = 256;
  /// Maximum number of attempts per request, the first one included.
  int maxAttempts = 3;
  Duration firstByteTimeout = seconds(5);
  /// Longest gap between two reads of a response body before the attempt
  /// fails.
  Duration stallTimeout = seconds(2);
  /// Whether targets echo X-Request-Id in their responses. Without the echo a
  /// response cannot be matched to its request, so each request gets its own
  /// connection.
  bool echoesRequestId = false;
  /// Whether the engine can resume a stream after a given event.
  bool resumesStreams = false;
  Objective objective;

  friend bool operator==(const Service&, const Service&) = default;
};

/// A set of equal replica groups for one chat service.
struct GroupSet
{
  std::string name;
  std::string service;
  /// Role of the members in the platform's list of VMs.
  std::string role;
  /// Number of groups.
  int count = 1;
  /// Members (VMs) per group.
  int size = 1;
  /// Whether targets reject orders with an outdated fencing number.
  bool checksFencing = true;

  friend bool operator==(const GroupSet&, const GroupSet&) = default;
};

/// Relative costs by which the planner decides whether a domain keeps a spare
/// VM: it does if the downtime that the spare is expected to save costs more
/// than its own idle time.
struct GroupPolicy
{
  /// Cost of the downtime of one VM of a group.
  double downtimeWeight = 1;
  /// Cost of an idle spare VM over the same time.
  double strandedWeight = 1;

  friend bool operator==(const GroupPolicy&, const GroupPolicy&) = default;
};

/// A whole configuration.
struct Configuration
{
  /// Name of the operating company, shown in the title of reports.
  std::string firm;
  GroupPolicy policy;
  std::vector<ClientAccount> accounts;
  std::vector<Service> services;
  std::vector<GroupSet> groupSets;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// Parses and validates the operators' TOML text. Returns all mistakes, not
/// only the first.
tl::expected<Configuration, Mistakes>
ParseConfiguration(std::string_view aText);

/// Returns the service with the name, or null.
const Service*
FindService(const Configuration& aConfiguration, std::string_view aName);

/// Returns the account that owns the key, or null. Compares the hashes of all
/// accounts in constant time, so that timing leaks nothing about them.
const ClientAccount*
FindAccountByKey(const Configuration& aConfiguration, std::string_view aKey);

/// Returns whether the service allows the account.
bool
MayCall(const Service& aService, const ClientAccount& aAccount);

} // namespace apricottrack

#endif
