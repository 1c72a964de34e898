#include "base/result.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace gentianlb {
namespace {

std::string DocumentedRow(const CodeInfo& info) {
  std::ostringstream row;
  row << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
      << info.http_status << " | "
      << (info.run == RunState::kNo ? "no" : "unknown") << " | " << info.meaning
      << " |";
  return row.str();
}

// Operators look up codes in the documentation; a row that differs from the
// source would mislead them.
BOOST_AUTO_TEST_CASE(DocumentationListsExactlyTheDefinedCodes) {
  std::ifstream page(GENTIANLB_SOURCE_DIR "/docs/RESULT_CODES.md");
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    // Skips the table of exit codes, which have one digit.
    bool four_digits = line.size() > 7 && line.substr(6, 2) == " |" &&
                       std::isdigit(line[2]) != 0;
    if (line.starts_with("| ") && four_digits) rows.push_back(line);
  }
  std::vector<std::string> expected;
  for (const CodeInfo& info : AllCodes()) {
    expected.push_back(DocumentedRow(info));
  }
  BOOST_TEST(rows == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CaptureReturnsTheRaisedError) {
  auto outcome = Capture(
      []() -> Result<int> { return Fail(Code::kQueueFull, "64 waiting"); });
  BOOST_TEST(!outcome.ok());
  BOOST_TEST((outcome.error() == Error{Code::kQueueFull, "64 waiting"}));
}

}  // namespace
}  // namespace gentianlb
