#include "config/intent.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "config/check_file.h"
#include "settings/field_reader.h"
#include "settings/host_settings.h"

namespace gentianlb::config {
namespace {

constexpr std::string_view kGood =
    "[site]\nname = s\npower_cap = 2kW\n"
    "[zone a]\npower_floor = 500W\n"
    "[tier urgent]\nrank = 0\ndeadline = 3m\n"
    "[service llm]\nkind = model\n"
    "[service portal]\nkind = plain\npath_prefix = /portal/\n"
    "non_idempotent = POST /permits, POST /a/\n"
    "[model m]\nservice = llm\n"
    "[workspace w]\ntoken = 0123456789abcdef\ntier = urgent\n"
    "services = portal, llm\nmodels = m\nweight = 2\n"
    "[server s1]\nservice = llm\nzone = a\naddress = 127.0.0.1:80\n"
    "models = m\nmax_streams = 8\nprefill_speed = 5000tokens/s\n"
    "decode_speed = 40tokens/s\nkv_tokens = 100000\nidle_power = 300W\n";

std::string ProblemsOf(const std::string& text) {
  settings::Problems problems;
  ReadIntent(settings::ParseDocument("i.ini", text, &problems), &problems);
  return settings::Format(problems);
}

void Holds(const std::string& text, std::string_view part) {
  bool found = text.find(part) != std::string::npos;
  BOOST_TEST(found, "no '" << part << "' in\n" << text);
}

BOOST_AUTO_TEST_CASE(ReadsAWholeIntentSortedByName) {
  auto read = ParseIntent("i.ini", kGood);
  BOOST_REQUIRE(read.ok());
  const Configuration& c = read.value();
  BOOST_TEST(c.power_cap_watts == 2000);
  BOOST_TEST(c.services.at(1).non_idempotent.size() == 2u);
  BOOST_TEST(c.workspaces.at(0).services.at(0).str() == "llm");
  BOOST_TEST(c.workspaces.at(0).limits.weight == 2);
  BOOST_TEST(c.servers.at(0).spec.prefill_tokens_per_second == 5000);
  BOOST_TEST((c.tiers.at(0).deadline == absl::Minutes(3)));
}

// An operator mistypes names and figures in many places. Taken as they are, a
// workspace would find every call refused, or a zone that is cut off would draw
// more than its share.
BOOST_AUTO_TEST_CASE(ReportsEveryContradictionWithItsLine) {
  std::string text(kGood);
  text +=
      "[tier second]\nrank = 0\ndeadline = 30\n"
      "[zone b]\npower_floor = 1.9kW\n"
      "[workspace x]\ntoken = 0123456789abcdef\ntier = lost\n"
      "services = llm, gone\n"
      "[server s2]\nservice = llm\nzone = c\naddress = 127.0.0.1:80\n"
      "models = n\nmax_streams = 0\n"
      "[model big]\nservice = llm\nzones = a\nmin_servers = 4\n";
  std::string found = ProblemsOf(text);
  Holds(found, "i.ini:3: 6007 Contradiction: power_cap 2000W is under");
  Holds(found, "i.ini:7: 6007 Contradiction: rank 0 is that of tier second");
  Holds(found, "i.ini:35: 6005 BadUnit: deadline '30'");
  Holds(found, "i.ini:39: 6007 Contradiction: token is that of workspace w");
  Holds(found, "i.ini:40: 6007 Contradiction: tier lost is not described");
  Holds(found, "i.ini:41: 6007 Contradiction: services: gone");
  Holds(found, "i.ini:38: 6008 MissingSetting: models has none of llm");
  Holds(found, "i.ini:44: 6007 Contradiction: zone: c is not described");
  Holds(found, "i.ini:45: 6007 Contradiction: address is that of server s1");
  Holds(found, "i.ini:46: 6007 Contradiction: models: n is not a model");
  Holds(found, "i.ini:47: 6006 OutOfRange: max_streams");
  Holds(found, "i.ini:51: 6007 Contradiction: min_servers 4: zone a has 1");
  BOOST_TEST(found.find("0123456789abcdef") == std::string::npos);
}

// A zone's servers draw their idle power whatever is decided. With a smaller
// floor, a zone that is cut off would break the cap without doing anything.
BOOST_AUTO_TEST_CASE(AFloorUnderTheIdleDrawIsRefused) {
  std::string text(kGood);
  text.replace(text.find("500W"), 4, "200W");
  Holds(ProblemsOf(text), "i.ini:5: 6007 Contradiction: power_floor 200W");
}

BOOST_AUTO_TEST_CASE(TheFilesUnderEtcAreGood) {
  int files = 0;
  std::string folder = GENTIANLB_SOURCE_DIR "/etc";
  for (auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".ini") continue;
    FileReport report = CheckFile(entry.path().string(), FileKind::kDetect);
    BOOST_TEST(settings::Format(report.problems) == "");
    ++files;
  }
  BOOST_TEST(files == 17);
}

// The keys that a page documents, as a file that sets each to nonsense.
std::string DocumentedKeys(const std::string& page) {
  std::ifstream file(std::string(GENTIANLB_SOURCE_DIR "/docs/") + page);
  std::string text;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| `[")) {
      text += line.substr(3, line.find('`', 3) - 3) + "\n";
    } else if (!line.starts_with("| | `")) {
      continue;
    }
    std::string keys = line.substr(line.find('|', 1));
    keys = keys.substr(1, keys.find('|', 1) - 1);
    for (const std::string& key : settings::SplitList(keys)) {
      bool quoted = key.starts_with('`');
      if (quoted) text += key.substr(1, key.size() - 2) + " = ?\n";
    }
  }
  return text;
}

// An operator copies a key out of the page and is told that it is unknown.
BOOST_AUTO_TEST_CASE(EveryDocumentedKeyIsKnown) {
  settings::Problems problems;
  std::string text = DocumentedKeys("INTENT.md");
  BOOST_TEST(std::count(text.begin(), text.end(), '=') == 39);
  ReadIntent(settings::ParseDocument("INTENT.md", text, &problems), &problems);
  text = DocumentedKeys("SETTINGS.md");
  BOOST_TEST(std::count(text.begin(), text.end(), '=') == 33);
  settings::Document document =
      settings::ParseDocument("SETTINGS.md", text, &problems);
  settings::ReadHostSettings(document, ".", &problems);
  for (const settings::Problem& problem : problems) {
    bool unknown = problem.code == Code::kUnknownSection ||
                   problem.code == Code::kUnknownSetting;
    BOOST_TEST(!unknown, settings::Format(problem));
  }
}

BOOST_AUTO_TEST_CASE(AFileThatCannotBeReadIsAProblemOfItsOwn) {
  FileReport report = CheckFile("/no/such/file", FileKind::kDetect);
  BOOST_TEST(settings::Format(report.problems) ==
             "/no/such/file:0: 6009 FileUnreadable: /no/such/file can't be "
             "read\n");
}

}  // namespace
}  // namespace gentianlb::config
