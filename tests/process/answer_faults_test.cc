// Each way in which a server's or a peer's answer is taken for what it is not,
// with gateways and faulty servers as processes.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kCallers = 6;
constexpr std::size_t kCalls = 60;  // Of a caller.

constexpr std::size_t kCallsInTurn = 24;

// More than the servers' slots, so that a resend waits.
constexpr std::size_t kManyCallers = 30;
constexpr std::size_t kCallsOfMany = 15;

// A slow answer's pieces, and when its server or peer is killed.
constexpr int kEvents = 40;
constexpr absl::Duration kGap = absl::Milliseconds(50);
constexpr absl::Duration kKilledAfter = absl::Milliseconds(500);
constexpr int kSlowAnswers = 4;

std::vector<std::string> SlowAnswers() {
  const std::string gap = absl::StrCat(absl::ToInt64Milliseconds(kGap));
  return {"--unframed",         "1",
          "--unframed-streams", "1",
          "--pieces",           absl::StrCat(kEvents),
          "--piece-gap-ms",     gap,
          "--event-gap-ms",     gap};
}

void CheckRules(AnswersSite& site) {
  const Judgement verdict = site.Verdict();
  BOOST_TEST_MESSAGE(verdict.Text());
  BOOST_TEST(verdict.twice.empty());
  BOOST_TEST(verdict.refused.empty());
  BOOST_TEST(verdict.mixed.empty());
  BOOST_TEST(verdict.order.empty());
}

void Join(std::vector<std::jthread>& threads) {
  for (std::jthread& thread : threads) thread.join();
}

// Guards against checks that see a fault where there is none.
BOOST_AUTO_TEST_CASE(SoundAnswersBreakNoRule) {
  AnswersSite site({{"plain", "v1", 600, {"--chunked", "0.5"}},
                    {"plain", "v1", 90'000, {"--unframed", "0.5"}},
                    {"llm", "v1", 600, {"--unframed-streams", "0.5"}}},
                   2);
  site.StartHosts();
  site.CallAll(
      {CallKind::kOnce, CallKind::kRead, CallKind::kChat, CallKind::kTalk},
      kCallers, kCalls);
  CheckRules(site);
  BOOST_TEST(site.Verdict().ServedShare() == 1);
}

// Guards against a late copy of a refusal that names no request, taken for the
// refusal of the next request.
BOOST_AUTO_TEST_CASE(ADoubledRefusalWithoutAnIdRefusesNoOther) {
  const std::vector<std::string> faults = {
      "--refused", "0.3", "--unnamed", "1", "--doubled-refusals", "0.5"};
  AnswersSite site({{"plain", "v1", 600, faults}, {"plain", "v1", 600, faults}},
                   2);
  site.StartHosts();
  site.CallAll({CallKind::kOnce}, kCallers, kCalls);
  CheckRules(site);
}

// Guards against a late copy of the refusal of an attempt, taken for the answer
// to the same attempt, which was sent to the same server again.
BOOST_AUTO_TEST_CASE(ADoubledRefusalOfTheSameAttemptRefusesNoSecondSend) {
  AnswersSite site(
      {{"plain",
        "v1",
        600,
        {"--refused", "0.5", "--unnamed", "0", "--doubled-refusals", "1"}}},
      1);
  site.StartHosts();
  // One after the other, so that the connection stays the same.
  site.CallAll({CallKind::kOnce}, 1, kCallsInTurn);
  CheckRules(site);
}

// Guards against a head without its end that passes for a whole one.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsCutInsideItsHeadIsNoSuccess) {
  AnswersSite site({{"plain",
                     "v1",
                     600,
                     {"--cut-in-head", "0.2", "--reset", "0", "--chunked",
                      "0.3", "--unframed", "0.3"}}},
                   1);
  site.StartHosts();
  site.CallAll({CallKind::kOnce, CallKind::kRead}, kCallers, kCalls);
  CheckRules(site);
}

// Guards against a part of a body that passes for the whole body when its
// server is killed.
BOOST_AUTO_TEST_CASE(AKilledServersUnframedBodyDoesNotLookWhole) {
  AnswersSite site({{"plain", "v1", 6000, SlowAnswers()}}, 1);
  site.StartHosts();
  std::vector<std::jthread> calls =
      site.BeginCalls(0, CallKind::kOnce, kSlowAnswers);
  absl::SleepFor(kKilledAfter);
  site.servers_[0]->Signal(SIGKILL);
  Join(calls);
  CheckRules(site);
}

// Guards against a part of a stream that passes for the whole stream when its
// server is killed.
BOOST_AUTO_TEST_CASE(AKilledServersUnframedStreamDoesNotLookWhole) {
  AnswersSite site({{"llm", "v1", 600, SlowAnswers()}}, 1, kEvents);
  site.StartHosts();
  std::vector<std::jthread> calls =
      site.BeginCalls(0, CallKind::kTalk, kSlowAnswers);
  absl::SleepFor(kKilledAfter);
  site.servers_[0]->Signal(SIGKILL);
  Join(calls);
  CheckRules(site);
}

// Guards against a part of an answer that passes for the whole answer when the
// peer that tunnels it is killed.
void CheckKilledPeer(const std::string& service, CallKind kind) {
  AnswersSite site({{service, "v1", 6000, SlowAnswers()}}, 2, kEvents);
  // Nobody listens at an address that was just picked.
  site.StartHosts({absl::StrCat("LD_PRELOAD=", GENTIANLB_BUILD_DIR,
                                "/tests/process/libredirect.so"),
                   absl::StrCat("GENTIANLB_TEST_ROUTES=", site.ServerAddress(0),
                                "=", PickAddress(), ",")});
  std::vector<std::jthread> calls = site.BeginCalls(0, kind, kSlowAnswers);
  absl::SleepFor(kKilledAfter);
  site.hosts_[1]->process().Signal(SIGKILL);
  Join(calls);
  CheckRules(site);
}

BOOST_AUTO_TEST_CASE(AKilledPeersUnframedBodyDoesNotLookWhole) {
  CheckKilledPeer("plain", CallKind::kOnce);
}

BOOST_AUTO_TEST_CASE(AKilledPeersUnframedStreamDoesNotLookWhole) {
  CheckKilledPeer("llm", CallKind::kTalk);
}

// Guards against bytes of an answer that was broken off in the answer of the
// server that is asked next.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndLeavesNothingInTheNext) {
  const std::vector<std::string> faults = {"--endless", "0.05", "--work-ms",
                                           "30"};
  AnswersSite site({{"plain", "v1", 600, faults},
                    {"plain", "v1", 600, faults},
                    {"plain", "v1", 600, {"--work-ms", "30"}}},
                   1);
  site.StartHosts();
  site.CallAll({CallKind::kRead}, kManyCallers, kCallsOfMany);
  CheckRules(site);
}

}  // namespace
}  // namespace gentianlb::process
