#include "scenarios/Scenario.h"

#include "config/TomlReader.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace apricottrack::scenarios {

namespace {

constexpr NumberRange kCount{ .minimum = 0, .maximum = 100'000, .unit = "" };
constexpr NumberRange kSeconds{ .minimum = 0, .maximum = 86'400, .unit = "s" };

Duration
ReadSeconds(TomlReader& aReader, std::string_view aKey, double aDefault)
{
  return FromSeconds(aReader.Number(aKey, kSeconds, aDefault));
}

} // namespace

Scenario
ReadScenario(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  Mistakes mistakes;
  const auto table = ParseToml(text.str(), mistakes);
  Scenario scenario;
  scenario.name = std::filesystem::path(aPath).stem().string();
  if (table) {
    TomlReader reader(*table, "", mistakes);
    scenario.kind = reader.String("kind");
    scenario.seed =
      static_cast<std::uint64_t>(reader.Integer("seed", kCount, 1));
    scenario.length = ReadSeconds(reader, "length_s", 30);
    scenario.nodes = reader.Integer("nodes", kCount, 3);
    scenario.naiveVariant = reader.String("naive", "");
    scenario.expectedViolation = reader.String("finds", "");
    scenario.bookings = reader.Integer("bookings", kCount, 200);
    scenario.domains = reader.Integer("domains", kCount, 3);
    scenario.vmsPerDomain = reader.Integer("vms_per_domain", kCount, 9);
    scenario.groups = reader.Integer("groups", kCount, 5);
    scenario.groupSize = reader.Integer("group_size", kCount, 4);
    scenario.checksFencing = reader.Boolean("checks_fencing", true);
    scenario.downtimeWeight = reader.Number("downtime_weight", kCount, 1);
    scenario.downtimeLimit = reader.Number(
      "downtime_limit", { .minimum = -1, .maximum = 1e9, .unit = "VM s" }, -1);
    scenario.strandedWeight = reader.Number("stranded_weight", kCount, 1);
    reader.ForEachTable("faults", [&](TomlReader& aFault) {
      scenario.faults.push_back(
        Fault{ .what = aFault.String("what"),
               .where = aFault.String("where", ""),
               .at = ReadSeconds(aFault, "at_s", 0),
               .activeDuration = ReadSeconds(aFault, "lasts_s", 0) });
    });
    reader.ReportUnknownKeys();
  }
  if (!mistakes.empty()) {
    throw std::runtime_error(Describe(mistakes, aPath));
  }
  return scenario;
}

std::vector<std::string>
ScenarioFiles()
{
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(SCENARIO_DIR)) {
    if (entry.path().extension() == ".toml") {
      files.push_back(entry.path().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

Scenario
WithRandomFaults(Scenario aScenario)
{
  static const std::vector<std::string> kBookingFaults{
    "kill_node",    "pause_node",   "platform_down", "platform_slow",
    "lose_replies", "drop_answers", "late_answers",  "refuse_connections"
  };
  static const std::vector<std::string> kGroupFaults{
    "kill_vm",    "restart_vm",    "pause_vm",     "kill_domain",
    "pause_node", "platform_down", "lose_replies", "leave_vm"
  };
  const bool bookings = aScenario.kind == "bookings";
  const auto& kinds = bookings ? kBookingFaults : kGroupFaults;
  std::mt19937_64 random(aScenario.seed);
  // Faults start within this time, in seconds: the first 80% of the scenario.
  const double length = ToSeconds(aScenario.length) * 0.8;
  std::uniform_real_distribution<double> when(0, length);
  std::uniform_real_distribution<double> activeDuration(0.2, length / 3);
  aScenario.faults.clear();
  const auto count = 2 + random() % 6;
  for (std::uint64_t i = 0; i < count; ++i) {
    Fault fault{ .what = kinds[random() % kinds.size()],
                 .at = FromSeconds(when(random)),
                 .activeDuration = FromSeconds(activeDuration(random)) };
    const auto domain =
      random() % static_cast<std::uint64_t>(aScenario.domains);
    if (fault.what.ends_with("_node")) {
      fault.where =
        std::to_string(random() % static_cast<std::uint64_t>(aScenario.nodes));
    } else if (fault.what.ends_with("_domain")) {
      fault.where = std::to_string(domain);
    } else if (fault.what.ends_with("_vm")) {
      fault.where = fmt::format(
        "{}-{}",
        domain,
        random() % static_cast<std::uint64_t>(aScenario.vmsPerDomain));
    }
    aScenario.faults.push_back(fault);
  }
  return aScenario;
}

} // namespace apricottrack::scenarios
