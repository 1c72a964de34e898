// Hosts whose memory is asked for by many servers, or many callers, at once.
// Real gateways and faulty servers as processes.

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kHosts = 4;
constexpr std::size_t kCallersOfAHost = 48;
constexpr std::size_t kSoundCallers = 8;

// What a process of the current deployments may use, and the growth that what
// others send may cause.
constexpr std::int64_t kMebibyte = 1 << 20;
constexpr std::int64_t kMaxMemory = 110 * kMebibyte;
constexpr std::int64_t kMaxGrowth = 64 * kMebibyte;

// Of callers that don't send the rest of a body.
constexpr absl::Duration kStall = absl::Seconds(5);

// The share of sound calls beside the others that must be served.
constexpr double kServed = 0.97;

// The plain servers have the options; the model servers are sound.
std::vector<FaultyServerSetup> Servers(std::vector<std::string> plain_options) {
  std::vector<FaultyServerSetup> servers(
      6, {.service = "plain", .options = std::move(plain_options)});
  servers.resize(9, {.service = "llm"});
  return servers;
}

class MemorySite : public AnswersSite {
 public:
  explicit MemorySite(std::vector<std::string> plain_options)
      : AnswersSite(Servers(std::move(plain_options)), kHosts) {
    StartHosts();
    for (auto& host : hosts_) {
      before_.push_back(host->process().PeakMemory());
    }
  }

  // Runs `ask` for each host and caller at once, beside sound callers.
  template <typename Function>
  void Disturb(Function ask) {
    std::atomic<bool> ends = false;
    auto sound = StartCallers({CallKind::kTalk}, kSoundCallers,
                              [&ends](std::size_t /*calls*/) { return !ends; });
    std::vector<std::jthread> callers;
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (std::size_t i = 0; i < kCallersOfAHost; ++i) {
        callers.emplace_back([ask, host] { ask(host); });
      }
    }
    callers.clear();
    ends = true;
  }

  void CheckMemory() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      BOOST_TEST(!hosts_[i]->process().HasEnded());
      const std::int64_t peak = hosts_[i]->process().PeakMemory();
      BOOST_TEST_MESSAGE("host " << i << ": " << before_[i] / kMebibyte
                                 << " MiB before, " << peak / kMebibyte
                                 << " MiB at most");
      BOOST_TEST(peak < kMaxMemory);
      BOOST_TEST(peak - before_[i] < kMaxGrowth);
    }
  }

  // Sound calls are those of streams.
  void CheckSoundCalls() {
    int calls = 0;
    int served = 0;
    const Judgement verdict = Verdict(&calls, &served);
    BOOST_TEST_MESSAGE("sound " << calls << " served " << served << "; "
                                << verdict.Text());
    BOOST_TEST(calls > 0);
    BOOST_TEST(served >= kServed * calls);
    BOOST_TEST(verdict.mixed.empty());
    BOOST_TEST(verdict.order.empty());
    BOOST_TEST(verdict.refused.empty());
    BOOST_TEST(verdict.twice.empty());
  }

 private:
  Judgement Verdict(int* calls, int* served) {
    for (const CallRecord& call : Records()) {
      if (!call.stream) continue;
      ++*calls;
      *served +=
          call.answer.status == 200 && call.answer.end == AnswerEnd::kFramed
              ? 1
              : 0;
    }
    return AnswersSite::Verdict();
  }

  std::vector<std::int64_t> before_;  // Bytes, by host.
};

// Guards against hosts that are killed, with all that they serve, as the
// answers without end of many servers together exceed their memory.
BOOST_AUTO_TEST_CASE(AnswersWithoutEndTogetherFillNoHost) {
  constexpr int kRounds = 3;
  MemorySite site({"--endless", "1"});
  for (int round = 0; round < kRounds; ++round) {
    site.Disturb(
        [&site](std::size_t host) { site.AskOnce(host, CallKind::kRead); });
  }
  site.CheckMemory();
  site.CheckSoundCalls();
}

// The same by bodies that many callers begin to send.
BOOST_AUTO_TEST_CASE(BodiesThatStallTogetherFillNoHost) {
  constexpr std::size_t kBody = 4 << 20;
  constexpr std::size_t kSent = kBody - (100 << 10);
  MemorySite site({});
  const std::string request = absl::StrCat(
      "POST /read/1 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: stalled\r\n"
      "Content-Length: ",
      kBody, "\r\n\r\n", std::string(kSent, 'x'));
  site.Disturb([&site, &request](std::size_t host) {
    CallerConnection connection(site.hosts_[host]->callers());
    connection.Ask(request, kStall);
  });
  site.CheckMemory();
  site.CheckSoundCalls();
}

}  // namespace
}  // namespace gentianlb::process
