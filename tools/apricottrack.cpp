/// The operators' command: checks and applies configurations, shows the status
/// of nodes and replica groups, drains VMs, evacuates zones, and audits
/// requests.

#include "apricottrack/Configuration.h"
#include "base/Hash.h"
#include "base/JsonFields.h"
#include "base/Log.h"
#include "kv/EtcdStore.h"
#include "operators/ConfigurationDiff.h"
#include "operators/EvacuationProgress.h"
#include "operators/Operators.h"
#include "operators/StatusText.h"
#include "report/BurnReport.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

using namespace apricottrack;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Exit codes; scripts depend on them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitInvalid = 2;
constexpr int kExitConflict = 3;
/// The configuration was accepted, but not all nodes confirmed it in time.
constexpr int kExitUnconfirmed = 4;
constexpr std::string_view kDefaultPlatform = "127.0.0.1:2379";

/// Command-line arguments of all subcommands.
struct Arguments
{
  std::string platform{ kDefaultPlatform };
  std::string file;
  std::string submission;
  std::uint64_t baseVersion = 0;
  /// Maximum wait, in seconds, until all nodes confirm a configuration.
  double waitSeconds = 13;
  std::vector<std::string> vms;
  std::vector<std::string> zones;
  bool undo = false;
  std::string request;
  std::string account;
  std::string key;
  std::string since;
  std::string until;
  std::string htmlFile;
  bool asJson = false;
};

/// Event loop and key-value store connection of one command.
struct Session
{
  explicit Session(const Arguments& aArguments)
    : store(loop.get_executor(),
            EtcdStore::Options{ .address = aArguments.platform })
  {
  }

  /// Runs a task on the loop until it has finished.
  template<typename T>
  T Run(Task<T> aTask)
  {
    std::optional<T> result;
    asio::co_spawn(this->loop,
                   std::move(aTask),
                   [&result](std::exception_ptr aError, T aValue) {
                     if (!aError) {
                       result = std::move(aValue);
                     }
                   });
    this->loop.run();
    this->loop.restart();
    return std::move(*result);
  }

  asio::io_context loop{ 1 };
  EtcdStore store;
};

/// Prints an error and returns the exit code for it.
int
ReportError(const Error& aError)
{
  std::cerr << Describe(aError) << "\n";
  return aError.code == ErrorCode::kConflict ? kExitConflict : kExitFailed;
}

/// Reads a file, or standard input for "-".
std::optional<std::string>
ReadFile(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the text of a configuration file if it is valid; otherwise prints
/// its mistakes or that it cannot be read.
std::optional<std::string>
ReadValidFile(const std::string& aPath)
{
  auto text = ReadFile(aPath);
  if (!text) {
    return std::nullopt;
  }
  const auto parsed = ParseConfiguration(*text);
  if (!parsed) {
    std::cerr << Describe(parsed.error(), aPath);
    return std::nullopt;
  }
  return text;
}

int
CheckFile(const Arguments& aArguments)
{
  if (!ReadValidFile(aArguments.file)) {
    return kExitInvalid;
  }
  std::cout << aArguments.file << ": ok\n";
  return kExitOk;
}

void
PrintChanges(const std::vector<ConfigurationChange>& aChanges, bool aAsJson)
{
  for (const ConfigurationChange& change : aChanges) {
    if (aAsJson) {
      std::cout << json::serialize(json::object{ { "subject", change.subject },
                                                 { "change", change.change },
                                                 { "effect", change.effect } })
                << "\n";
    } else {
      std::cout << fmt::format(
        "{:<32} {:<8} {}\n", change.subject, change.change, change.effect);
    }
  }
}

int
ShowDiff(const Arguments& aArguments)
{
  const auto text = ReadValidFile(aArguments.file);
  if (!text) {
    return kExitInvalid;
  }
  Session session(aArguments);
  const auto current = session.Run(ReadConfiguration(session.store));
  if (!current) {
    return ReportError(current.error());
  }
  const Configuration before =
    ParseConfiguration(current->text).value_or(Configuration{});
  const auto changes = DiffConfigurations(before, *ParseConfiguration(*text));
  if (!aArguments.asJson) {
    std::cout << "compared with version " << current->version << ", "
              << changes.size() << " changes\n";
  }
  PrintChanges(changes, aArguments.asJson);
  return kExitOk;
}

int
ApplyFile(const Arguments& aArguments)
{
  const auto text = ReadValidFile(aArguments.file);
  if (!text) {
    return kExitInvalid;
  }
  Session session(aArguments);
  ApplyOptions options{ .baseVersion = aArguments.baseVersion,
                        .submission = aArguments.submission.empty()
                                        ? RandomId()
                                        : aArguments.submission,
                        .now = WallNow() };
  const auto accepted =
    session.Run(ApplyConfiguration(session.store, *text, options));
  if (!accepted) {
    return ReportError(accepted.error());
  }
  std::cout << "accepted version=" << accepted->version
            << " submission=" << accepted->submission << "\n";
  const Instant until = MonotonicNow() + FromSeconds(aArguments.waitSeconds);
  std::vector<std::string> unconfirmed{ "(nodes not read)" };
  while (!unconfirmed.empty()) {
    const auto nodes =
      session.Run(ReadNodeStatuses(session.loop.get_executor(), session.store));
    if (nodes) {
      unconfirmed = UnconfirmedNodes(*nodes, accepted->version);
      if (unconfirmed.empty()) {
        std::cout << "in force on " << nodes->size() << " nodes\n";
        break;
      }
    }
    if (MonotonicNow() >= until) {
      std::cout << fmt::format("not confirmed by: {}\n",
                               fmt::join(unconfirmed, ", "));
      return kExitUnconfirmed;
    }
    asio::steady_timer timer(session.loop, milliseconds(100));
    timer.wait();
  }
  return kExitOk;
}

int
ShowStatus(const Arguments& aArguments)
{
  Session session(aArguments);
  const auto nodes =
    session.Run(ReadNodeStatuses(session.loop.get_executor(), session.store));
  if (!nodes) {
    return ReportError(nodes.error());
  }
  if (aArguments.asJson) {
    for (const NodeStatus& node : *nodes) {
      std::cout << json::serialize(node.status) << "\n";
    }
    return kExitOk;
  }
  std::cout << RenderNodeStatuses(*nodes);
  const auto zones = session.Run(ReadEvacuatedZones(session.store));
  if (!zones) {
    return ReportError(zones.error());
  }
  for (const EvacuationProgress& zone : MeasureEvacuations(*zones, *nodes)) {
    std::cout << RenderEvacuation(zone);
  }
  return kExitOk;
}

int
DrainVms(const Arguments& aArguments)
{
  Session session(aArguments);
  const auto vms = session.Run(
    UpdateDrainedVms(session.store, aArguments.vms, !aArguments.undo));
  if (!vms) {
    return ReportError(vms.error());
  }
  std::cout << fmt::format("drained VMs: {}\n", fmt::join(*vms, ", "));
  return kExitOk;
}

int
EvacuateZones(const Arguments& aArguments)
{
  Session session(aArguments);
  const auto zones = session.Run(
    UpdateEvacuatedZones(session.store, aArguments.zones, !aArguments.undo));
  if (!zones) {
    return ReportError(zones.error());
  }
  std::cout << fmt::format("evacuated zones: {}\n", fmt::join(*zones, ", "));
  return kExitOk;
}

/// Formats a time as UTC, such as "2024-01-31T12:00:00.000Z". The texts sort by
/// time, so that the options --since and --until are compared with them.
std::string
FormatWallTime(UnixMillis aAt)
{
  const std::time_t wholeSeconds = aAt / 1000;
  return fmt::format(
    "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(wholeSeconds), aAt % 1000);
}

/// Returns the outcome of a request as the API reports it to callers; unknown
/// if the journal holds no end.
std::string_view
EntryOutcome(const JournalEntry& aEntry)
{
  return aEntry.end ? OutcomeName(aEntry.end->outcome) : "outcome_unknown";
}

void
PrintEntry(const JournalEntry& aEntry, bool aAsJson)
{
  const JournalIntent& intent = aEntry.intent;
  if (aAsJson) {
    std::cout << json::serialize(json::object{
                   { "request", intent.requestId },
                   { "account", intent.account },
                   { "service", intent.service },
                   { "kind", intent.kind },
                   { "node", intent.node },
                   { "at", intent.at },
                   { "ended_at", aEntry.end ? aEntry.end->at : 0 },
                   { "outcome", EntryOutcome(aEntry) },
                   { "status", aEntry.end ? aEntry.end->status : 0 },
                   { "target", aEntry.end ? aEntry.end->target : "" } })
              << "\n";
    return;
  }
  std::string description = "may have run; no end was recorded";
  if (aEntry.end && aEntry.end->outcome == Outcome::kAnswered) {
    description = fmt::format("ran on {} and was answered with status {} at {}",
                              aEntry.end->target,
                              aEntry.end->status,
                              FormatWallTime(aEntry.end->at));
  } else if (aEntry.end && aEntry.end->outcome == Outcome::kNotRun) {
    description = "was not run";
  } else if (aEntry.end) {
    description = fmt::format(
      "was sent to {} and may have run; no complete response arrived",
      aEntry.end->target);
  }
  std::cout << fmt::format("{} request {} of account {} for {}/{}: {}\n",
                           FormatWallTime(intent.at),
                           intent.requestId,
                           intent.account,
                           intent.service,
                           intent.kind,
                           description);
}

int
ShowAudit(const Arguments& aArguments)
{
  Session session(aArguments);
  const auto index = session.Run(ReadJournals(session.store));
  if (!index) {
    return ReportError(index.error());
  }
  std::vector<JournalEntry> entries;
  index->ForEach([&](const JournalEntry& aEntry) {
    const std::string at = FormatWallTime(aEntry.intent.at);
    const bool isSelected =
      (aArguments.request.empty() ||
       aEntry.intent.requestId == aArguments.request) &&
      (aArguments.account.empty() ||
       aEntry.intent.account == aArguments.account) &&
      (aArguments.since.empty() || at >= aArguments.since) &&
      (aArguments.until.empty() || at < aArguments.until);
    if (isSelected) {
      entries.push_back(aEntry);
    }
  });
  std::sort(entries.begin(),
            entries.end(),
            [](const JournalEntry& aLeft, const JournalEntry& aRight) {
              return aLeft.intent.at < aRight.intent.at;
            });
  for (const JournalEntry& entry : entries) {
    PrintEntry(entry, aArguments.asJson);
  }
  if (entries.empty() && !aArguments.asJson) {
    std::cout << "no record of a non-idempotent request matches\n";
  }
  return kExitOk;
}

int
ShowBurnReport(const Arguments& aArguments)
{
  Session session(aArguments);
  const auto stored = session.Run(ReadConfiguration(session.store));
  const auto ledger =
    session.Run(ReadBurnLedger(session.loop.get_executor(), session.store));
  if (!stored || !ledger) {
    return ReportError(stored ? ledger.error() : stored.error());
  }
  const Configuration configuration =
    ParseConfiguration(stored->text).value_or(Configuration{});
  const UnixMillis now = WallNow();
  const auto rows = MakeBurnRows(configuration, *ledger, now);
  if (aArguments.asJson) {
    std::cout << EncodeBurnLedger(*ledger) << "\n";
  } else {
    std::cout << RenderBurnText(rows, *ledger);
  }
  if (!aArguments.htmlFile.empty()) {
    std::ofstream file(aArguments.htmlFile);
    file << RenderBurnHtml(configuration, rows, *ledger, now);
    if (!file.flush()) {
      std::cerr << aArguments.htmlFile << ": cannot be written\n";
      return kExitFailed;
    }
  }
  return kExitOk;
}

int
HashKey(const Arguments& aArguments)
{
  std::cout << Sha256Hex(aArguments.key) << "\n";
  return kExitOk;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("apricottrack: operate a serving system");
  app.require_subcommand(1);
  Arguments arguments;
  int (*command)(const Arguments&) = nullptr;
  const auto addCommand = [&](const char* aName,
                              const char* aHelp,
                              int (*aCommand)(const Arguments&)) {
    auto* const sub = app.add_subcommand(aName, aHelp);
    sub->callback([&command, aCommand] { command = aCommand; });
    return sub;
  };
  const auto addPlatformOptions = [&](CLI::App* aSub) {
    aSub->add_option("--platform",
                     arguments.platform,
                     "IP:port of the platform's key-value service");
    aSub->add_flag("--json", arguments.asJson, "print JSON lines");
    return aSub;
  };

  addCommand("check", "report all mistakes in a configuration", CheckFile)
    ->add_option("file", arguments.file, "configuration, or - for stdin")
    ->required();
  auto* const diff = addPlatformOptions(addCommand(
    "diff", "show the changes that a configuration would make", ShowDiff));
  diff->add_option("file", arguments.file)->required();
  auto* const apply = addPlatformOptions(
    addCommand("apply",
               "submit a configuration and wait until it is in force",
               ApplyFile));
  apply->add_option("file", arguments.file)->required();
  apply->add_option(
    "--base", arguments.baseVersion, "version the change was reviewed against");
  apply->add_option(
    "--submission", arguments.submission, "id of this submission");
  apply->add_option(
    "--wait", arguments.waitSeconds, "seconds to wait for confirmation");
  addPlatformOptions(
    addCommand("status",
               "show nodes, evacuated zones, replica groups and why a group is "
               "not serving",
               ShowStatus));
  auto* const drain = addPlatformOptions(
    addCommand("drain", "take VMs out of service", DrainVms));
  drain->add_option("vms", arguments.vms)->required();
  drain->add_flag("--undo", arguments.undo, "return them to service");
  auto* const evacuate = addPlatformOptions(
    addCommand("evacuate",
               "send no requests to the VMs of availability zones",
               EvacuateZones));
  evacuate->add_option("zones", arguments.zones)->required();
  evacuate->add_flag("--undo", arguments.undo, "take them back");
  auto* const audit = addPlatformOptions(
    addCommand("audit", "show whether non-idempotent requests ran", ShowAudit));
  audit->add_option("--request", arguments.request, "one request id");
  audit->add_option("--account", arguments.account, "one client account");
  audit->add_option("--since", arguments.since, "UTC, YYYY-MM-DDTHH:MM:SS");
  audit->add_option("--until", arguments.until, "UTC, exclusive");
  addPlatformOptions(
    addCommand("report",
               "show the use of error budgets and of the fleet",
               ShowBurnReport))
    ->add_option("--html", arguments.htmlFile, "also write a page with plots");
  addCommand("hash-key", "print the SHA-256 of an account's key", HashKey)
    ->add_option("key", arguments.key)
    ->required();
  CLI11_PARSE(app, argc, argv);
  StartLogging("warn");
  return command(arguments);
}
