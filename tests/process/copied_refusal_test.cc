// A server that writes its refusals once more, with the ids of the requests
// that were refused. Real gateways and servers as processes.

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr int kRenamings = 10;
constexpr std::size_t kCallers = 3;
constexpr std::size_t kCallsOfCaller = 4;  // For each renaming.

// Each of its refusals comes twice.
FaultyServerSetup DoublingServer() {
  return {.service = "plain", .options = {"--doubled-refusals", "1"}};
}
// Requests come to it after the other one.
FaultyServerSetup SlowServer() {
  return {.service = "plain", .options = {"--work-ms", "100"}};
}

// The row of a server that is gone, whose address is that of server `i`.
std::string RowOfPredecessor(AnswersSite& site, std::size_t i) {
  return absl::StrCat(R"({"service":"plain","address":")",
                      site.ServerAddress(i),
                      R"(","zone":"z","slots":8,"state":"ready","seq":1,)",
                      R"("born":1,"version":"v1"})");
}

// Calls while rows of predecessors of the first server come and go.
void CallBesideRowsOfPredecessors(std::vector<FaultyServerSetup> servers) {
  AnswersSite site(std::move(servers), /*hosts=*/1);
  site.StartHosts();
  for (int i = 0; i < kRenamings; ++i) {
    const std::string gone = absl::StrCat("plain-gone-", i);
    site.table_.Put("servers", gone, RowOfPredecessor(site, 0));
    WaitUntil("the host knows the row", [&] {
      return ReadFile(site.folder_.Path("h0.out"))
                 .find(absl::StrCat("server=", gone, " usable=1")) !=
             std::string::npos;
    });
    site.CallAll({CallKind::kOnce}, kCallers, kCallsOfCaller);
    site.table_.Remove("servers", gone);
  }
  const Judgement verdict = site.Verdict();
  BOOST_TEST_MESSAGE(verdict.Text());
  BOOST_TEST(verdict.twice.empty());
  BOOST_TEST(verdict.refused.empty());
  BOOST_TEST(verdict.mixed.empty());
  BOOST_TEST(verdict.served > 0);
}

// Guards against a call that is refused and runs, since the copy of a refusal
// is taken for the answer of the server that has the address now.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalRefusesNoCallOfTheNextServerAtItsAddress) {
  CallBesideRowsOfPredecessors({DoublingServer()});
}

// The same, and the call runs once more at another server.
BOOST_AUTO_TEST_CASE(ACopyOfARefusalSendsNoCallToAThirdServer) {
  CallBesideRowsOfPredecessors({DoublingServer(), SlowServer()});
}

}  // namespace
}  // namespace gentianlb::process
