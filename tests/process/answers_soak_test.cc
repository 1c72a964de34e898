// Seeded series of faults before servers whose answers are faulty: servers and
// hosts are killed and started again, hosts are stopped, and the table service
// is down, overlapping. GENTIANLB_SOAK_SEEDS sets how many seeds are played,
// and GENTIANLB_SOAK_FIRST_SEED the first one.

#include <signal.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
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

constexpr int kSeeds = 2;
constexpr int kSteps = 16;  // Of a seed.
constexpr absl::Duration kStep = absl::Milliseconds(400);
constexpr int kMaxStepsAway = 3;  // Of what was killed.
constexpr std::size_t kHosts = 4;
constexpr std::size_t kPlainServers = 5;
constexpr std::size_t kModelServers = 4;
constexpr std::size_t kCallers = 12;
constexpr int kEvents = 12;

// The least shares of calls that are served though answers come twice.
constexpr double kServed = 0.95;
constexpr double kServedWithKills = 0.85;
constexpr std::size_t kCallsOfShare = 120;  // Of a caller.

std::vector<int> Seeds() {
  const int first = FromEnvironment("GENTIANLB_SOAK_FIRST_SEED", 1);
  std::vector<int> seeds(static_cast<std::size_t>(
      FromEnvironment("GENTIANLB_SOAK_SEEDS", kSeeds)));
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    seeds[i] = first + static_cast<int>(i);
  }
  return seeds;
}

void CheckRules(int seed, const Judgement& verdict) {
  BOOST_TEST_MESSAGE("seed " << seed << " " << verdict.Text());
  BOOST_TEST(verdict.twice.empty());
  BOOST_TEST(verdict.refused.empty());
  BOOST_TEST(verdict.mixed.empty());
  BOOST_TEST(verdict.order.empty());
}

std::string Pick(std::mt19937& random, const std::vector<std::string>& from) {
  std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
  return from[index(random)];
}

std::vector<FaultyServerSetup> MixedServers(unsigned seed) {
  std::mt19937 random(seed);
  std::vector<FaultyServerSetup> servers;
  for (std::size_t i = 0; i < kPlainServers + kModelServers; ++i) {
    FaultyServerSetup setup;
    const bool plain = i < kPlainServers;
    setup.service = plain ? "plain" : "llm";
    setup.version = plain || i % 2 == 0 ? "v1" : "v2";
    setup.body_bytes = std::vector<std::size_t>{200, 6000, 60'000}[i % 3];
    const std::string refused = Pick(random, {"0", "0.1", "0.2"});
    setup.options = {"--pieces",
                     "5",
                     "--piece-gap-ms",
                     "10",
                     "--event-gap-ms",
                     "20",
                     "--refused",
                     refused,
                     "--doubled",
                     Pick(random, {"0", "0.1", "0.2"}),
                     "--doubled-refusals",
                     Pick(random, {"0", "0.1", "0.3"}),
                     "--copied-at-once",
                     Pick(random, {"0", "0", "0.05"}),
                     "--chunked",
                     Pick(random, {"0", "0.3"}),
                     "--unframed",
                     Pick(random, {"0", "0.3", "0.6"}),
                     "--unframed-streams",
                     Pick(random, {"0", "0.5", "1"}),
                     "--cut",
                     Pick(random, {"0", "0.05", "0.1"}),
                     "--cut-in-head",
                     Pick(random, {"0", "0", "0.05"}),
                     "--endless",
                     Pick(random, {"0", "0", "0", "0.01"})};
    servers.push_back(std::move(setup));
  }
  return servers;
}

// Kills, stops and starts hosts and servers while callers go on.
class Disturber {
 public:
  Disturber(AnswersSite& site, unsigned seed) : site_(site), random_(seed) {}

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      StartDue(step);
      Disturb(step);
      absl::SleepFor(kStep);
    }
    site_.table_.SetDown(false);
    StartDue(kSteps + kMaxStepsAway);
  }

  // Kills a host, and starts it again once it has ended.
  void RestartHost(std::size_t host) {
    EndHost(host, SIGKILL, /*until=*/0);
    WaitUntil("it has ended",
              [&] { return site_.hosts_[host]->process().HasEnded(); });
    StartDue(0);
    site_.hosts_[host]->WaitUntilReady(site_.client_);
    StartDue(0);
  }

 private:
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  void Disturb(int step) {
    const auto host = static_cast<std::size_t>(Pick(kHosts));
    const int until = step + 1 + Pick(kMaxStepsAway);
    switch (Pick(8)) {
      case 0:
      case 1:
      case 2: {
        const auto server =
            static_cast<std::size_t>(Pick(kPlainServers + kModelServers));
        site_.servers_[server]->Signal(SIGKILL);
        servers_away_[server] = until;
        return;
      }
      case 3:
        return EndHost(host, SIGKILL, until);
      case 4:
        return EndHost(host, SIGTERM, until);
      case 5:
        EndHost(host, SIGTERM, until);
        return EndHost((host + 1) % kHosts, SIGKILL, until);
      case 6:
        for (std::size_t i = 0; i < kHosts; ++i) EndHost(i, SIGKILL, step + 1);
        return;
      default:
        return site_.table_.SetDown(Pick(2) == 0);
    }
  }

  void EndHost(std::size_t host, int signal, int until) {
    site_.SetInRotation(host, false);
    site_.hosts_[host]->process().Signal(signal);
    hosts_away_[host] = until;
  }

  // Starts what has been away long enough. A host that was told to stop may
  // still be at work.
  void StartDue(int step) {
    for (const auto& [server, until] : std::exchange(servers_away_, {})) {
      if (until <= step) {
        site_.StartServer(server);
      } else {
        servers_away_[server] = until;
      }
    }
    for (const auto& [host, until] : std::exchange(hosts_away_, {})) {
      if (until > step || !site_.hosts_[host]->process().HasEnded()) {
        hosts_away_[host] = until;
        continue;
      }
      site_.hosts_[host]->Run(absl::StrCat("h", host, "-", ++restarts_));
      returning_.push_back(host);
    }
    std::erase_if(returning_, [this](std::size_t host) {
      if (hosts_away_.contains(host)) return true;
      if (site_.hosts_[host]->Ready(site_.client_) != 200) return false;
      site_.SetInRotation(host, true);
      return true;
    });
  }

  AnswersSite& site_;
  std::mt19937 random_;
  std::map<std::size_t, int> servers_away_;  // Until that step.
  std::map<std::size_t, int> hosts_away_;
  std::vector<std::size_t> returning_;  // Hosts that aren't ready yet.
  int restarts_ = 0;
};

// Guards against answers that are taken for what they are not while servers,
// hosts and the table service come and go.
BOOST_AUTO_TEST_CASE(AnswersHoldUnderSeriesOfFaults) {
  for (const int seed : Seeds()) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const auto number = static_cast<unsigned>(seed);
      AnswersSite site(MixedServers(number), kHosts, kEvents, number);
      site.StartHosts();
      std::atomic<bool> ends = false;
      auto callers = site.StartCallers(
          {CallKind::kOnce, CallKind::kChat, CallKind::kRead, CallKind::kTalk},
          kCallers, [&ends](std::size_t /*calls*/) { return !ends; });
      // Also where a fault of the test itself ends it.
      const absl::Cleanup end = [&ends] { ends = true; };
      Disturber(site, number).Run();
      ends = true;
      for (std::jthread& caller : callers) caller.join();
      const Judgement verdict = site.Verdict();
      CheckRules(seed, verdict);
      BOOST_TEST(verdict.served > 0);
    }
  }
}

// Refusals alone don't use up the retries, so that the shares show what doubled
// answers cost.
constexpr char kEnoughRetries[] = "[retries]\nper_request = 0.5\nburst = 100\n";

std::vector<FaultyServerSetup> DoublingServers() {
  return std::vector<FaultyServerSetup>(
      kPlainServers + kModelServers,
      {"plain",
       "v1",
       600,
       {"--doubled", "0.1", "--doubled-refusals", "0.1", "--refused", "0.2"}});
}

// Guards against doubled answers that cost the calls behind them.
BOOST_AUTO_TEST_CASE(DoubledAnswersCostFewCalls) {
  for (const int seed : Seeds()) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      AnswersSite site(DoublingServers(), kHosts, kEvents,
                       static_cast<unsigned>(seed));
      site.StartHosts({}, kEnoughRetries);
      site.CallAll({CallKind::kOnce}, kCallers, kCallsOfShare);
      const Judgement verdict = site.Verdict();
      CheckRules(seed, verdict);
      BOOST_TEST(verdict.ServedShare() >= kServed);
    }
  }
}

// The same while hosts are killed one after the other.
BOOST_AUTO_TEST_CASE(DoubledAnswersCostFewCallsWhileHostsAreKilled) {
  for (const int seed : Seeds()) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      AnswersSite site(DoublingServers(), kHosts, kEvents,
                       static_cast<unsigned>(seed));
      site.StartHosts({}, kEnoughRetries);
      std::atomic<bool> ends = false;
      auto callers =
          site.StartCallers({CallKind::kOnce}, kCallers,
                            [&ends](std::size_t /*calls*/) { return !ends; });
      // Also where a fault of the test itself ends it.
      const absl::Cleanup end = [&ends] { ends = true; };
      Disturber disturber(site, static_cast<unsigned>(seed));
      for (std::size_t host = 0; host < kHosts; ++host) {
        absl::SleepFor(kStep);
        disturber.RestartHost(host);
      }
      ends = true;
      for (std::jthread& caller : callers) caller.join();
      const Judgement verdict = site.Verdict();
      CheckRules(seed, verdict);
      BOOST_TEST(verdict.ServedShare() >= kServedWithKills);
    }
  }
}

}  // namespace
}  // namespace gentianlb::process
