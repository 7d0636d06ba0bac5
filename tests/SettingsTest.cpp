#include "apricottrack/Settings.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

const std::string kValid = "node = \"n\"\navailability_zone = \"z\"\n"
                           "listen = \"127.0.0.1:1\"\n"
                           "admin_listen = \"127.0.0.1:2\"\n"
                           "peer_listen = \"127.0.0.1:3\"\n"
                           "platform = \"127.0.0.1:4\"\n"
                           "vm_list = \"127.0.0.1:5\"\n";

} // namespace

TEST_CASE("ParseSettings fills in the defaults of valid settings")
{
  const auto settings = ParseSettings(kValid);
  REQUIRE(settings);
  CHECK(settings->maxReportAge == seconds(2));
}

TEST_CASE("ParseSettings reports every invalid setting with cause and remedy")
{
  const auto settings =
    ParseSettings("node = \"\"\nlisten = \"nowhere\"\n"
                  "admin_listen = \"127.0.0.1:70000\"\nprobe_interval_ms = 1\n"
                  "heard_within_ms = 300\ncolour = \"red\"\n");
  REQUIRE_FALSE(settings);
  const std::string text = Describe(settings.error(), "f");
  for (const std::string_view part :
       { "node: is empty",
         "listen: is not IP:port",
         "admin_listen: is not IP:port",
         "peer_listen: is missing",
         "probe_interval_ms: 1 is out of range; use a number from 50",
         "heard_within_ms: is shorter than two probe intervals",
         "colour: is not a known key" }) {
    INFO(part);
    CHECK(text.find(part) != std::string::npos);
  }
}

// Platforms compute this limit from the size of a deployment.
TEST_CASE("ParseSettings accepts a fractional retry reserve")
{
  const auto settings =
    ParseSettings("node = \"n\"\navailability_zone = \"z\"\n"
                  "listen = \"127.0.0.1:1\"\n"
                  "admin_listen = \"127.0.0.1:2\"\n"
                  "peer_listen = \"127.0.0.1:3\"\n"
                  "platform = \"127.0.0.1:4\"\n"
                  "[serving]\nready_listen = \"127.0.0.1:5\"\n"
                  "retry_slack = 134.5\n");
  REQUIRE(settings);
  CHECK(settings->serving->retryReserve == 134.5);
}

TEST_CASE(
  "ParseSettings places the port for forwarded requests after the peer port")
{
  const std::string text = "node = \"n\"\navailability_zone = \"z\"\n"
                           "listen = \"127.0.0.1:1\"\n"
                           "admin_listen = \"127.0.0.1:2\"\n"
                           "peer_listen = \"127.0.0.1:3\"\n"
                           "platform = \"127.0.0.1:4\"\n"
                           "[serving]\nready_listen = \"127.0.0.1:5\"\n";
  REQUIRE(ParseSettings(text));
  CHECK(ParseSettings(text)->serving->forwardListen.empty());
  const auto settings = ParseSettings(text + "forward_port_offset = 1\n");
  REQUIRE(settings);
  CHECK(settings->serving->forwardListen == "127.0.0.1:4");
  CHECK_FALSE(ParseSettings(text + "forward_port_offset = -1\n"));
  std::string highest = text + "forward_port_offset = 1\n";
  highest.replace(highest.find("127.0.0.1:3"), 11, "127.0.0.1:65535");
  CHECK_FALSE(ParseSettings(highest));
}

// Guards against a node that does not start with the settings of a later
// version while VMs are upgraded one by one.
TEST_CASE(
  "ParseSettings sets keys of a later version apart where it is asked to")
{
  const std::string text = kValid + "later_key = 1\n[later_table]\nx = 1\n";
  CHECK_FALSE(ParseSettings(text));
  Mistakes unknownKeys;
  CHECK(ParseSettings(text, &unknownKeys) == ParseSettings(kValid));
  REQUIRE(unknownKeys.size() == 2);
  CHECK(unknownKeys[0].path == "later_key");
  CHECK(unknownKeys[1].path == "later_table");
  CHECK_FALSE(ParseSettings("node = 1\n" + text, &unknownKeys));
}

TEST_CASE("ParseSettings takes the evacuation bound and the link for unknown "
          "without a key")
{
  const std::string text = "node = \"n\"\navailability_zone = \"z\"\n"
                           "listen = \"127.0.0.1:1\"\n"
                           "admin_listen = \"127.0.0.1:2\"\n"
                           "peer_listen = \"127.0.0.1:3\"\n"
                           "platform = \"127.0.0.1:4\"\n"
                           "[serving]\nready_listen = \"127.0.0.1:5\"\n";
  CHECK_FALSE(ParseSettings(text)->serving->evacuationBound);
  CHECK(ParseSettings(text + "evacuation_bound_ms = 5000\n")
          ->serving->evacuationBound == seconds(5));
  CHECK_FALSE(ParseSettings(text + "evacuation_bound_ms = -1\n"));
  CHECK_FALSE(ParseSettings(text)->serving->linkMbps);
  CHECK(ParseSettings(text + "link_mbps = 51.5\n")->serving->linkMbps == 51.5);
  CHECK_FALSE(ParseSettings(text + "link_mbps = -1\n"));
}

TEST_CASE("ParseSettings uses defaults for keys that the file lacks")
{
  const std::string serving = kValid.substr(0, kValid.find("vm_list")) +
                              "[serving]\nready_listen = \"127.0.0.1:6\"\n";
  const SettingsDefaults defaults{ { "serving.link_mbps", "20.0" },
                                   { "max_connections", "7" } };
  const auto settings = ParseSettings(serving, nullptr, defaults);
  REQUIRE(settings);
  CHECK(settings->serving->linkMbps == 20);
  CHECK(settings->maxConnections == 7);
  CHECK(ParseSettings(serving + "link_mbps = 5\n", nullptr, defaults)
          ->serving->linkMbps == 5);
  CHECK(ParseSettings(kValid, nullptr, defaults)->maxConnections == 7);
  CHECK_FALSE(
    ParseSettings(serving, nullptr, { { "serving.link_mbps", "-1" } }));
  CHECK_FALSE(
    ParseSettings(serving, nullptr, { { "serving.link_mbps", "wide" } }));
}

// Guards against a node that refuses every large request.
TEST_CASE("ParseSettings requires memory for requests of the largest size")
{
  CHECK(ParseSettings(kValid + "memory_mb = 160\nmax_fds = 4200\n"));
  CHECK(ParseSettings(kValid + "memory_mb = 0\nmax_body_bytes = 104857600\n"));
  const auto settings =
    ParseSettings(kValid + "memory_mb = 160\nmax_body_bytes = 104857600\n");
  REQUIRE_FALSE(settings);
  CHECK(Describe(settings.error(), "f")
          .find("memory_mb: is too small for requests of the largest size") !=
        std::string::npos);
}
