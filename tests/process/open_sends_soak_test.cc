// Seeded series of faults before calls and streams that may run once, and
// streams that may be resumed: hosts stall, are killed and stopped; servers are
// killed, and their links are cut one way; links to callers are cut; the table
// service is down. Servers refuse, answer twice and break off.
//
// GENTIANLB_SOAK_SEEDS sets how many seeds are played,
// GENTIANLB_SOAK_FIRST_SEED the first one, GENTIANLB_SOAK_HOSTS,
// GENTIANLB_SOAK_SERVERS and GENTIANLB_SOAK_STEPS the size and length of a
// play.

#include <signal.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/environment_test.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr int kSeeds = 1;
constexpr int kHosts = 6;
constexpr int kServers = 12;
constexpr int kSteps = 30;
constexpr absl::Duration kStep = absl::Milliseconds(300);
constexpr int kMaxStepsAway = 4;  // Of what was killed, stalled or cut off.
constexpr int kEvents = 80;
constexpr int kSlots = 60;  // Of a server, so that there are several groups.
constexpr int kCallersPerHost = 2;

// From the rules (`stable_window_ms` of rcfc-brussels-grown).
constexpr absl::Duration kTouchTime = absl::Seconds(4);

// Callers leave after four objectives, and streams last longer.
constexpr absl::Duration kObjective = absl::Milliseconds(500);
constexpr absl::Duration kEventTimeout = absl::Seconds(2);
constexpr absl::Duration kTimeout = absl::Seconds(9);

// Hosts for each fault at a time: most streams of a play must be at hosts and
// servers that were not disturbed lately.
constexpr std::size_t kHostsPerFault = 6;

std::vector<FaultyServerSetup> Servers(int count) {
  std::vector<FaultyServerSetup> servers;
  for (int i = 0; i < count; ++i) {
    FaultyServerSetup setup;
    setup.service = i % 3 == 0 ? "plain" : "llm";
    setup.slots = kSlots;
    setup.options = {"--work-ms",
                     absl::StrCat(5 + i % 4 * 40),
                     "--event-gap-ms",
                     absl::StrCat(40 + i % 3 * 30),
                     "--refused",
                     "0.1",
                     "--doubled",
                     "0.05",
                     "--doubled-refusals",
                     "0.1",
                     "--cut",
                     "0.03",
                     "--cut-in-head",
                     "0.01"};
    servers.push_back(std::move(setup));
  }
  return servers;
}

class Play {
 public:
  Play(int seed, int hosts, int servers)
      : random_(static_cast<unsigned>(seed)),
        site_(Servers(servers), static_cast<std::size_t>(hosts), kEvents,
              static_cast<std::uint64_t>(seed)) {
    site_.table_.Put("op", "config",
                     AnswersConfiguration(kObjective, kTimeout));
    site_.StartHosts();
  }

  void Run(int steps) {
    std::atomic<bool> ends = false;
    std::vector<std::jthread> callers = site_.StartCallers(
        {CallKind::kOnce, CallKind::kTalk, CallKind::kChat, CallKind::kRead},
        kCallersPerHost * site_.hosts_.size(),
        [&ends](std::size_t /*calls*/) { return !ends; });
    for (std::size_t host = 0; host < site_.hosts_.size(); ++host) {
      callers.emplace_back([this, host, &ends] {
        while (!ends) LoseACaller(host);
      });
    }
    // Also where a fault of the test itself ends it.
    const absl::Cleanup end = [&ends] { ends = true; };
    for (int step = 0; step < steps; ++step) {
      EndDue(step);
      Disturb(step);
      absl::SleepFor(kStep);
    }
    EndDue(steps + kMaxStepsAway);
    ends = true;
    for (std::jthread& caller : callers) caller.join();
  }

  void Check() {
    const Judgement verdict = site_.Verdict();
    BOOST_TEST_MESSAGE(verdict.Text());
    BOOST_TEST(verdict.twice.empty());
    BOOST_TEST(verdict.refused.empty());
    BOOST_TEST(verdict.served > 0);
    for (const std::string& line : FindTwoAtWork(
             site_.Records(), site_.Reports(), disturbances_, kTouchTime)) {
      BOOST_TEST(false, line);
    }
    BOOST_TEST_MESSAGE(
        "streams taken up by callers whose link was cut: " << taken_up_);
  }

 private:
  enum class Kind { kStalledHost, kEndedHost, kEndedServer, kCutServer };
  struct Fault {
    Kind kind = Kind::kStalledHost;
    std::size_t number = 0;
    int until = 0;  // Step.
    absl::Time begin;
  };

  int Pick(std::size_t count) {
    return std::uniform_int_distribution<int>(
        0, static_cast<int>(count) - 1)(random_);
  }
  bool IsDisturbed(bool host, std::size_t number) const {
    return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
      const bool of_host =
          fault.kind == Kind::kStalledHost || fault.kind == Kind::kEndedHost;
      return of_host == host && fault.number == number;
    });
  }

  void Disturb(int step) {
    if (faults_.size() * kHostsPerFault >= site_.hosts_.size()) return;
    const auto host = static_cast<std::size_t>(Pick(site_.hosts_.size()));
    const auto server = static_cast<std::size_t>(Pick(site_.servers_.size()));
    const int until = step + 1 + Pick(kMaxStepsAway);
    const int choice = Pick(10);
    if (choice < 3 && !IsDisturbed(true, host)) {
      site_.hosts_[host]->process().Signal(SIGSTOP);
      faults_.push_back({Kind::kStalledHost, host, until, absl::Now()});
    } else if (choice < 5 && !IsDisturbed(true, host)) {
      site_.SetInRotation(host, false);
      site_.hosts_[host]->process().Signal(choice == 3 ? SIGKILL : SIGTERM);
      faults_.push_back({Kind::kEndedHost, host, until, absl::Now()});
    } else if (choice < 7 && !IsDisturbed(false, server)) {
      site_.servers_[server]->Signal(SIGUSR1);
      faults_.push_back({Kind::kCutServer, server, until, absl::Now()});
    } else if (choice < 8 && !IsDisturbed(false, server)) {
      site_.servers_[server]->Signal(SIGKILL);
      faults_.push_back({Kind::kEndedServer, server, until, absl::Now()});
    } else if (choice == 9) {
      site_.table_.SetDown(Pick(2) == 0);
    }
  }

  void EndDue(int step) {
    std::vector<Fault> going_on;
    for (const Fault& fault : std::exchange(faults_, {})) {
      if (fault.until > step || !End(fault, step)) going_on.push_back(fault);
    }
    faults_.insert(faults_.end(), going_on.begin(), going_on.end());
    site_.table_.SetDown(false);
    std::erase_if(returning_, [this](std::size_t host) {
      if (IsDisturbed(true, host)) return true;
      if (site_.hosts_[host]->Ready(site_.client_) != 200) return false;
      site_.SetInRotation(host, true);
      return true;
    });
  }

  // Returns false if the fault can't end yet.
  bool End(const Fault& fault, int step) {
    const bool of_host =
        fault.kind == Kind::kStalledHost || fault.kind == Kind::kEndedHost;
    switch (fault.kind) {
      case Kind::kStalledHost:
        site_.hosts_[fault.number]->process().Signal(SIGCONT);
        returning_.push_back(fault.number);
        break;
      case Kind::kEndedHost:
        if (!site_.hosts_[fault.number]->process().HasEnded()) return false;
        site_.hosts_[fault.number]->Run(
            absl::StrCat("h", fault.number, "-", step));
        returning_.push_back(fault.number);
        break;
      case Kind::kCutServer:
        site_.servers_[fault.number]->Signal(SIGUSR2);
        break;
      case Kind::kEndedServer:
        site_.StartServer(fault.number);
        break;
    }
    disturbances_.push_back({of_host ? absl::StrCat("h", fault.number)
                                     : site_.ServerId(fault.number),
                             {fault.begin, absl::Now()}});
    return true;
  }

  // The link to a caller is cut in the middle of its stream, which it takes up
  // over the next host.
  void LoseACaller(std::size_t host) {
    CallerConnection lost(site_.hosts_[host]->callers());
    if (!lost.IsOpen()) return absl::SleepFor(kStep);
    CallRecord first = site_.NewCall(CallKind::kChat);
    {
      const std::jthread cut([&lost] {
        absl::SleepFor(kStep);
        lost.CutLink();
      });
      first =
          site_.Ask(lost, host, CallKind::kChat, first, kStep + kEventTimeout);
    }
    const int last = LastEventOf(first.answer.body, 0);
    if (last == 0 || first.answer.status != 200) return;
    const std::size_t next_host = (host + 1) % site_.hosts_.size();
    CallerConnection other(site_.hosts_[next_host]->callers());
    if (!other.IsOpen()) return;
    CallRecord next = site_.NewCall(CallKind::kChat);
    next.resumes = first.id;
    next.after_event = last;
    next = site_.Ask(other, next_host, CallKind::kChat, std::move(next));
    if (next.answer.status == first.answer.status) ++taken_up_;
  }

  std::mt19937 random_;
  AnswersSite site_;
  std::vector<Fault> faults_;
  std::vector<std::size_t> returning_;  // Hosts that aren't ready yet.
  std::vector<Disturbance> disturbances_;
  std::atomic<int> taken_up_ = 0;
};

// Guards against a second run of what may run once, a refusal of what runs, and
// a second server at work on a stream.
BOOST_AUTO_TEST_CASE(SendsHoldUnderSeriesOfFaults) {
  const int first = FromEnvironment("GENTIANLB_SOAK_FIRST_SEED", 1);
  const int seeds = FromEnvironment("GENTIANLB_SOAK_SEEDS", kSeeds);
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST_MESSAGE("seed " << seed);
      Play play(seed, FromEnvironment("GENTIANLB_SOAK_HOSTS", kHosts),
                FromEnvironment("GENTIANLB_SOAK_SERVERS", kServers));
      play.Run(FromEnvironment("GENTIANLB_SOAK_STEPS", kSteps));
      play.Check();
    }
  }
}

}  // namespace
}  // namespace gentianlb::process
