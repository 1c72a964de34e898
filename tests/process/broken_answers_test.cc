// Servers in trouble that write heads outside the grammar of HTTP/1.1, or
// answer before they have the request. Real gateways and servers as processes.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "http/head_grammar.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kCallers = 6;
constexpr std::size_t kCalls = 40;  // Of a caller.
constexpr std::size_t kUploadBytes = 1 << 20;

std::vector<CallKind> AllKinds() {
  return {CallKind::kOnce, CallKind::kRead, CallKind::kChat, CallKind::kTalk};
}

bool IsWhole(const RawAnswer& answer) {
  return answer.status == 200 &&
         (answer.end == AnswerEnd::kFramed || answer.end == AnswerEnd::kClosed);
}

// Checks that callers got whole answers only of servers that wrote a sound one
// to its end, and no line that no head may have.
void CheckAnswers(AnswersSite& site) {
  const Judgement verdict = site.Verdict();
  BOOST_TEST_MESSAGE(verdict.Text());
  BOOST_TEST(verdict.twice.empty());
  BOOST_TEST(verdict.refused.empty());
  BOOST_TEST(verdict.mixed.empty());
  BOOST_TEST(verdict.order.empty());
  std::set<std::string> written;
  for (const ServerReport& report : site.Reports()) {
    written.insert(report.finished.begin(), report.finished.end());
  }
  for (const CallRecord& call : site.Records()) {
    BOOST_TEST((!IsWhole(call.answer) || written.contains(call.id)), call.id);
    for (const http::Header& header : call.answer.headers) {
      BOOST_TEST(http::IsHeaderName(header.name), header.name);
    }
  }
}

// Guards against a caller that gets a server's bad head, or a body that a line
// of it cut.
BOOST_AUTO_TEST_CASE(ABadHeadReachesNoCaller) {
  const std::vector<std::string> faults = {"--bad-head", "0.3", "--chunked",
                                           "0.3"};
  AnswersSite site({{"plain", "v1", 600, faults},
                    {"plain", "v1", 600, faults},
                    {"llm", "v1", 600, faults},
                    {"llm", "v1", 600, faults}},
                   2);
  site.StartHosts();
  site.CallAll(AllKinds(), kCallers, kCalls);
  CheckAnswers(site);
  BOOST_TEST(site.CountReported("bad-head") > 0);
  // An operator sees which server wrote them, and what was wrong.
  const std::string metrics = site.hosts_[0]->Metrics(site.client_);
  BOOST_TEST(metrics.find("gentianlb_invalid_responses{fault=\"name\"}") !=
             std::string::npos);
  const std::string log = ReadFile(site.folder_.Path("h0.out"));
  BOOST_TEST(log.find("event=invalid-response ") != std::string::npos);
}

// Guards against a content that is taken for one that ends servers, since they
// write bad heads: all callers that ask for it would be refused for minutes.
BOOST_AUTO_TEST_CASE(AContentOutlivesBadHeads) {
  const FaultyServerSetup server = {.service = "plain",
                                    .options = {"--bad-head", "0.5"}};
  AnswersSite site({server, server, server, server}, 1);
  site.StartHosts();
  site.CallAll({CallKind::kOnce, CallKind::kRead}, kCallers, kCalls);
  CheckAnswers(site);
  for (const CallRecord& call : site.Records()) {
    BOOST_TEST(call.answer.body.find("3007") == std::string::npos, call.id);
  }
  const std::string log = ReadFile(site.folder_.Path("h0.out"));
  BOOST_TEST(log.find("event=suspect ") == std::string::npos);
}

// Guards against the beginning of an unframed answer that passes for the whole,
// since its server ended it before it had the request.
BOOST_AUTO_TEST_CASE(AnEarlyEndMakesNoAnswerWhole) {
  AnswersSite site({{"plain", "v1", 600, {"--answers-early"}},
                    {"llm", "v1", 600, {"--answers-early"}}},
                   2);
  site.StartHosts();
  site.SetRequestBytes(kUploadBytes);
  site.CallAll(AllKinds(), kCallers, /*count=*/4);
  CheckAnswers(site);
  BOOST_TEST(site.CountReported("early") > 0);
}

}  // namespace
}  // namespace gentianlb::process
