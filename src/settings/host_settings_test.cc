#include "settings/host_settings.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::settings {
namespace {

constexpr std::string_view kValidSettings =
    "[host]\n"
    "id = abdali-1\n"
    "zone = abdali\n"
    "[callers]\n"
    "address = 127.0.0.1:0\n"
    "[control]\n"
    "address = 127.0.0.1:0\n"
    "peer_key = peers-of-the-test-1\n"
    "operator_key = operators-of-the-test\n"
    "[platform]\n"
    "addresses = 127.0.0.1:7000, 127.0.0.1:7001\n";

struct CheckResult {
  HostSettings settings;
  std::string problems;
};

CheckResult Check(const std::string& text) {
  Problems problems;
  Document document = ParseDocument("h.ini", text, &problems);
  CheckResult result;
  result.settings = ReadHostSettings(document, ".", &problems);
  result.problems = Format(problems);
  return result;
}

BOOST_AUTO_TEST_CASE(ReadsCompleteFileAndKeepsDefaults) {
  CheckResult result =
      Check(std::string(kValidSettings) +
            "[limits]\nbody = 2MiB ; small\nidle_timeout = 5s\n"
            "[peers]\nsahab-1 = 10.0.0.2:9000\n");
  BOOST_TEST(result.problems == "");
  BOOST_TEST(result.settings.id.str() == "abdali-1");
  BOOST_TEST(result.settings.platform.addresses.size() == 2u);
  BOOST_TEST(result.settings.limits.body_bytes == 2 << 20);
  BOOST_TEST((result.settings.limits.idle_timeout == absl::Seconds(5)));
  BOOST_TEST(result.settings.peers.at(0).control.port == 9000);
  BOOST_TEST((result.settings.membership == MembershipSettings()));
}

// An operator's first file has many mistakes. If each run reported only one of
// them, the operator would have to start the host ten times.
BOOST_AUTO_TEST_CASE(ReportsAllProblemsWithTheirLines) {
  CheckResult result = Check(
      "[host]\n"
      "id = abdali-1\n"
      "id = abdali-2\n"
      "colour = blue\n"
      "forgotten equals\n"
      "[callers]\n"
      "address = localhost:80\n"
      "[limits]\n"
      "idle_timeout = 30\n"
      "threads = 900\n"
      "[limits]\n"
      "[nonsense]\n"
      "[platform]\n"
      "addresses = 127.0.0.1:7000\n"
      "retry_least = 10s\n"
      "retry_most = 1s\n");
  BOOST_TEST(result.problems ==
             "h.ini:0: 6008 MissingSetting: [control] is missing\n"
             "h.ini:1: 6008 MissingSetting: zone is missing in [host]\n"
             "h.ini:3: 6004 DuplicateSetting: id stands in line 2\n"
             "h.ini:4: 6003 UnknownSetting: colour is not known in [host]\n"
             "h.ini:5: 6001 SettingsSyntax: the line is neither [section] nor "
             "key = value\n"
             "h.ini:7: 6005 BadUnit: address 'localhost:80' is not IP:PORT\n"
             "h.ini:9: 6005 BadUnit: idle_timeout '30' is not a figure with "
             "ms, s, m, h\n"
             "h.ini:10: 6006 OutOfRange: threads must be 1 to 64\n"
             "h.ini:11: 6004 DuplicateSetting: [limits] stands twice\n"
             "h.ini:12: 6002 UnknownSection: [nonsense] is not a section of "
             "settings\n"
             "h.ini:13: 6007 Contradiction: retry_least is longer than "
             "retry_most\n");
}

// A key that is missing, short, unreadable or the same for peers and operators
// exposes the control port to unauthorized clients. This could go unnoticed
// until one of them confirms a plan.
BOOST_AUTO_TEST_CASE(RejectsWeakKeysWithoutShowingThem) {
  std::string head = "[control]\naddress = 127.0.0.1:0\n";
  std::string weak = Check(head + "peer_key = hush\n").problems;
  BOOST_TEST(weak.find("h.ini:3: 6006 OutOfRange: peer_key") !=
             std::string::npos);
  BOOST_TEST(weak.find("h.ini:1: 6008 MissingSetting: operator_key") !=
             std::string::npos);
  BOOST_TEST(weak.find("hush") == std::string::npos);
  std::string same = Check(head +
                           "peer_key = 0123456789abcdef\n"
                           "operator_key = 0123456789abcdef\n")
                         .problems;
  BOOST_TEST(same.find("h.ini:4: 6007") != std::string::npos);
  std::string unread = Check(head + "peer_key_file = no/such\n").problems;
  BOOST_TEST(unread.find("h.ini:3: 6009") != std::string::npos);
}

// A certificate without its key would leave a port unencrypted that the
// operator believes to be encrypted.
BOOST_AUTO_TEST_CASE(RejectsCertificateWithoutKey) {
  std::string text(kValidSettings);
  text += "[metrics]\naddress = 127.0.0.1:0\ncertificate_file = x\n";
  std::string problems = Check(text).problems;
  BOOST_TEST(problems.find("6003") != std::string::npos);
  problems = Check("[callers]\naddress = 127.0.0.1:0\nprivate_key_file = h.ini")
                 .problems;
  BOOST_TEST(problems.find("h.ini:3: 6007") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReadsIndentedLinesAndRejectsLongHeaders) {
  Problems problems;
  Document document = ParseDocument(
      "f", "\xEF\xBB\xBF[a]\n k = 1\n   l = 2\n[empty]\n", &problems);
  BOOST_TEST(problems.empty());
  BOOST_TEST(document.sections.size() == 2u);
  BOOST_TEST(document.sections.at(0).entries.size() == 2u);
  BOOST_TEST(document.sections.at(0).entries.at(1).line == 3);
  ParseDocument("f", "[" + std::string(60, 'x') + "]\n", &problems);
  BOOST_TEST(problems.size() == 1u);
}

}  // namespace
}  // namespace gentianlb::settings
