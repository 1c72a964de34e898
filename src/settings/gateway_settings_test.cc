#include "settings/gateway_settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>

namespace gentianlb::settings {
namespace {

constexpr char kCompleteFile[] = R"([host]
id = h
zone = z
grace = 8s
processor = 0.25
memory = 110MiB
[callers]
address = 10.0.0.1:80
[ready]
address = 10.0.0.1:81
path = /ready
[metrics]
address = 10.0.0.1:82
[peers]
address = 10.0.0.1:83
[table]
address = 10.0.0.2:84
[retries]
per_request = 0.2
burst = 56
[servers]
zone_crossing_cost = 300ms
drain_time = 2000ms
[limits]
tolerance_tokens = 140000
[rollouts]
max_exposure = 0.2
)";

GatewaySettings Read(const std::string& text, Problems* problems) {
  return ReadGatewaySettings(ParseDocument("f", text, problems), problems);
}

bool HasCode(const Problems& problems, Code code) {
  return std::any_of(
      problems.begin(), problems.end(),
      [code](const auto& problem) { return problem.code == code; });
}

BOOST_AUTO_TEST_CASE(ReadsCompleteFile) {
  Problems problems;
  const GatewaySettings settings = Read(kCompleteFile, &problems);
  BOOST_TEST(problems.empty());
  BOOST_TEST(settings.id.str() == "h");
  BOOST_TEST((settings.grace == absl::Seconds(8)));
  BOOST_TEST(settings.memory == 110 << 20);
  BOOST_TEST(Format(settings.table) == "10.0.0.2:84");
  BOOST_TEST(settings.retry_burst == 56);
  BOOST_TEST((settings.zone_crossing_cost == absl::Milliseconds(300)));
  BOOST_TEST((settings.drain_time == absl::Seconds(2)));
  BOOST_TEST(settings.limit_tolerance_tokens == 140000);
  BOOST_TEST(settings.has_rollouts);
  BOOST_TEST(settings.max_rollout_exposure == 0.2);
}

// A template with an empty value, or an outdated one, must stop the process
// before it accepts callers, and the error must say what is wrong.
BOOST_AUTO_TEST_CASE(ReportsEveryProblemWithItsCode) {
  Problems problems;
  Read("[host]\nid =\nzone = z\ngrace = 8\n[other]\n[ready]\npath = x\n",
       &problems);
  BOOST_TEST(HasCode(problems, Code::kUnknownSection));
  BOOST_TEST(HasCode(problems, Code::kMissingSetting));
  BOOST_TEST(HasCode(problems, Code::kBadUnit));
  BOOST_TEST(HasCode(problems, Code::kOutOfRange));
}

// Operators copy keys from the documentation. A documented key that the program
// rejects would keep every host from starting.
BOOST_AUTO_TEST_CASE(TemplateAndDocumentationListOnlyKnownKeys) {
  std::ifstream documentation(GENTIANLB_SOURCE_DIR "/docs/GATEWAY_SETTINGS.md");
  std::ifstream template_file(GENTIANLB_SOURCE_DIR "/deploy/gateway.ini");
  const std::string text((std::istreambuf_iterator<char>(documentation)), {});
  BOOST_REQUIRE(!text.empty());
  Problems problems;
  const Document document = ParseDocument("f", kCompleteFile, &problems);
  for (const Section& section : document.sections) {
    BOOST_TEST(text.find("`[" + section.kind + "]`") != std::string::npos);
    for (const Entry& entry : section.entries) {
      BOOST_TEST(text.find("`" + entry.key + "`") != std::string::npos,
                 entry.key);
    }
  }
  int key_count = 0;
  for (std::string line; std::getline(template_file, line);) {
    const std::size_t equals = line.find(" = ");
    if (equals == std::string::npos) continue;
    ++key_count;
    BOOST_TEST(std::string(kCompleteFile).find(line.substr(0, equals + 3)) !=
                   std::string::npos,
               line);
  }
  BOOST_TEST(key_count == 17);
}

}  // namespace
}  // namespace gentianlb::settings
