// Streams that are taken up after all hosts were killed while the table service
// is away. Real gateways and backend servers of two software versions.

#include <signal.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kHosts = 4;
constexpr std::size_t kServersOfAVersion = 3;
constexpr int kEvents = 40;

// Servers of v2 replace those of v1 while hosts run.
std::vector<FaultyServerSetup> Servers() {
  std::vector<FaultyServerSetup> servers;
  for (const char* version : {"v1", "v2"}) {
    for (std::size_t i = 0; i < kServersOfAVersion; ++i) {
      servers.push_back({.service = "llm",
                         .version = version,
                         .options = {"--event-gap-ms", "50"}});
    }
  }
  return servers;
}

// The share of streams that must go on.
constexpr double kGoal = 0.9;

// Streams that began later before a kill may not have been recorded.
constexpr absl::Duration kRecordTime = absl::Milliseconds(250);

// A caller that is told to come back does so within this time.
constexpr absl::Duration kReturnTime = absl::Seconds(3);

struct BrokenStream {
  absl::Time began;
  absl::Time broken;
  absl::Time went_on = absl::InfiniteFuture();
};

struct OutageVerdict {
  int streams = 0;  // That broke off at a kill, and were recorded.
  int went_on = 0;  // Soon after the table was back.
};

// `back`: when the table was back after each kill.
OutageVerdict Judge(const std::vector<BrokenStream>& streams,
                    const std::vector<absl::Time>& back) {
  OutageVerdict verdict;
  for (const BrokenStream& stream : streams) {
    if (stream.broken - stream.began < kRecordTime) continue;
    const auto next = std::upper_bound(back.begin(), back.end(), stream.broken);
    if (next == back.end()) continue;
    ++verdict.streams;
    verdict.went_on += stream.went_on <= *next + kReturnTime ? 1 : 0;
  }
  return verdict;
}

class OutageSite : public AnswersSite {
 public:
  OutageSite() : AnswersSite(Servers(), kHosts, kEvents) {
    ForgetServers();
    StartHosts();
  }

  void ReplaceServers() {
    for (std::size_t i = 0; i < kServersOfAVersion; ++i) {
      StartServer(kServersOfAVersion + i);
      table_.Remove("servers", ServerId(i));
    }
  }

  // The table service has lost the registrations of servers, as after a
  // restart.
  void ForgetServers() {
    for (std::size_t i = kServersOfAVersion; i < servers_.size(); ++i) {
      table_.Remove("servers", ServerId(i));
    }
  }
  void RegisterServers() {
    for (std::size_t i = kServersOfAVersion; i < servers_.size(); ++i) {
      Register(i);
    }
  }

  void KillAll() {
    for (auto& host : hosts_) host->process().Signal(SIGKILL);
    for (auto& host : hosts_) {
      WaitUntil("it has ended", [&] { return host->process().HasEnded(); });
    }
  }

  void RunAll() {
    ++runs_;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->Run(absl::StrCat("h", i, "-", runs_));
    }
  }

  // Begins streams over and over, and takes each one up until it has ended or
  // `end` has come.
  void CallUntil(std::size_t caller, absl::Time end) {
    for (std::size_t host = caller; absl::Now() < end; ++host) {
      CallerConnection connection(hosts_[host % kHosts]->callers());
      if (!connection.IsOpen()) {
        absl::SleepFor(kPauseAtADeadHost);
        continue;
      }
      BrokenStream stream;
      stream.began = absl::Now();
      const CallRecord call = Ask(connection, host % kHosts, CallKind::kChat,
                                  NewCall(CallKind::kChat));
      stream.broken = absl::Now();
      if (call.answer.status != 200) absl::SleepFor(Wait(call.answer));
      TakeUp(call, host, end, stream);
    }
  }

  std::vector<BrokenStream> broken_streams() {
    absl::MutexLock lock(&streams_mutex_);
    return streams_;
  }

 private:
  static constexpr absl::Duration kPauseAtADeadHost = absl::Milliseconds(50);

  // Returns how long the caller of `answer` waits for its next try.
  static absl::Duration Wait(const RawAnswer& answer) {
    double seconds = 0;
    const bool stated =
        absl::SimpleAtod(answer.Header("Retry-After"), &seconds);
    return stated ? absl::Seconds(seconds) : kPauseAtADeadHost;
  }

  void TakeUp(CallRecord call, std::size_t host, absl::Time end,
              BrokenStream stream) {
    const std::string first = call.id;
    int last = LastEventOf(call.answer.body, 0);
    if (last == 0 || last == kEvents) return;
    while (last < kEvents && absl::Now() < end) {
      ++host;
      CallerConnection connection(hosts_[host % kHosts]->callers());
      if (!connection.IsOpen()) {
        absl::SleepFor(kPauseAtADeadHost);
        continue;
      }
      CallRecord next = NewCall(CallKind::kChat);
      next.resumes = first;
      next.after_event = last;
      call = Ask(connection, host % kHosts, CallKind::kChat, std::move(next));
      const int reached = LastEventOf(call.answer.body, last);
      if (reached == last) {
        absl::SleepFor(Wait(call.answer));
        continue;
      }
      stream.went_on = std::min(stream.went_on, absl::Now());
      last = reached;
    }
    absl::MutexLock lock(&streams_mutex_);
    streams_.push_back(stream);
  }

  int runs_ = 0;
  absl::Mutex streams_mutex_;
  std::vector<BrokenStream> streams_ ABSL_GUARDED_BY(streams_mutex_);
};

// Guards against streams that are refused, for as long as a stream may live,
// because a host took what it had not read yet for what isn't there.
BOOST_AUTO_TEST_CASE(AStreamGoesOnOnceTheTableIsBack) {
  constexpr std::size_t kCallers = 16;
  constexpr int kKills = 2;
  constexpr absl::Duration kHostsAway = absl::Milliseconds(600);
  constexpr absl::Duration kTableAway = absl::Seconds(2);  // More.
  constexpr absl::Duration kRegistrationTime = absl::Milliseconds(500);
  constexpr absl::Duration kCalm = absl::Seconds(7);
  OutageSite site;
  const absl::Time end = absl::Now() + absl::Seconds(24);
  std::vector<std::jthread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&site, i, end] { site.CallUntil(i, end); });
  }
  absl::SleepFor(absl::Seconds(3));
  site.ReplaceServers();
  absl::SleepFor(absl::Seconds(2));
  std::vector<absl::Time> back;  // The table, after each kill.
  for (int i = 0; i < kKills; ++i) {
    site.table_.SetDown(true);
    site.KillAll();
    site.ForgetServers();
    absl::SleepFor(kHostsAway);
    site.RunAll();
    absl::SleepFor(kTableAway);
    site.table_.SetDown(false);
    absl::SleepFor(kRegistrationTime);
    site.RegisterServers();
    back.push_back(absl::Now());
    absl::SleepFor(kCalm);
  }
  callers.clear();
  const OutageVerdict outcome = Judge(site.broken_streams(), back);
  const Judgement verdict = site.Verdict();
  BOOST_TEST_MESSAGE("broken " << outcome.streams << ", go on "
                               << outcome.went_on << "; " << verdict.Text());
  BOOST_TEST(verdict.order.empty());
  BOOST_TEST(outcome.streams > 0);
  BOOST_TEST(outcome.went_on >= kGoal * outcome.streams);
}

}  // namespace
}  // namespace gentianlb::process
