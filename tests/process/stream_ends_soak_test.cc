// Seeded series of kills before servers that leave out their framing: a killed
// server is started again at its address at once, under its id or another one,
// while hosts stand still for moments, as with a small share of a core, or for
// longer. Servers refuse, answer twice and break off beside it.
//
// Beside that, each of these is played where its variable isn't 0, and all of
// them in the second case: GENTIANLB_SOAK_SLOW, callers that read slowly;
// GENTIANLB_SOAK_HOST_ENDS, hosts that are killed, stopped and started again;
// GENTIANLB_SOAK_VERSIONS, a second software version that replaces the first;
// GENTIANLB_SOAK_ROUTES, streams that may no longer be resumed;
// GENTIANLB_SOAK_ADDRESSES, servers of another service at the address.
//
// GENTIANLB_SOAK_SEEDS sets how many seeds are played,
// GENTIANLB_SOAK_FIRST_SEED the first one, GENTIANLB_SOAK_HOSTS,
// GENTIANLB_SOAK_SERVERS and GENTIANLB_SOAK_SECONDS the size and length of a
// play, GENTIANLB_SOAK_UNFRAMED the percentage of unframed answers.

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "base/environment_test.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr int kSeeds = 2;
constexpr int kSeedsWithAll = 1;
constexpr int kHosts = 6;
constexpr int kServers = 16;
constexpr int kSeconds = 8;
constexpr int kUnframedPercent = 70;
constexpr int kEvents = 24;
constexpr std::size_t kCallersPerHost = 6;

constexpr std::size_t kKilledAtOnce = 3;
// Until the next are killed, at 16 servers.
constexpr absl::Duration kKillInterval = absl::Milliseconds(250);
constexpr int kServersPerInterval = 16;
// Until the killed server is back.
constexpr int kAwayMs[] = {10, 10, 100, 500};

// Of moments in which a host stands still, and between them.
constexpr int kMinMomentMs = 30;
constexpr int kMaxMomentMs = 200;
constexpr int kMeanPauseMs = 500;
// Longer ones, of one host at a time.
constexpr int kMaxStallMs = 2500;

constexpr std::size_t kSlowCallersOneIn = 3;
constexpr absl::Duration kHostEndInterval = absl::Seconds(1);
// From the change of a configuration until all hosts are held to it, a stall
// included.
constexpr absl::Duration kConfigurationTime = absl::Seconds(4);

struct Disturbances {
  bool slow_callers = false;
  bool host_ends = false;
  bool versions = false;
  bool routes = false;
  bool addresses = false;
};

Disturbances ChosenDisturbances(bool by_default) {
  const auto chosen = [by_default](const char* name) {
    return FromEnvironment(name, by_default ? 1 : 0) != 0;
  };
  return {.slow_callers = chosen("GENTIANLB_SOAK_SLOW"),
          .host_ends = chosen("GENTIANLB_SOAK_HOST_ENDS"),
          .versions = chosen("GENTIANLB_SOAK_VERSIONS"),
          .routes = chosen("GENTIANLB_SOAK_ROUTES"),
          .addresses = chosen("GENTIANLB_SOAK_ADDRESSES")};
}

bool IsPlain(std::size_t server) { return server % 4 == 0; }

std::vector<FaultyServerSetup> Servers(int count, int unframed_percent) {
  const std::string unframed = absl::StrCat(unframed_percent / 100.0);
  std::vector<FaultyServerSetup> servers;
  for (int i = 0; i < count; ++i) {
    FaultyServerSetup setup;
    setup.service = IsPlain(static_cast<std::size_t>(i)) ? "plain" : "llm";
    setup.body_bytes = i % 8 == 0 ? 60'000 : 600;
    setup.options = {"--pieces",
                     "6",
                     "--piece-gap-ms",
                     "20",
                     "--event-gap-ms",
                     absl::StrCat(15 + i % 3 * 15),
                     "--unframed",
                     unframed,
                     "--unframed-streams",
                     unframed,
                     "--refused",
                     "0.05",
                     "--doubled",
                     "0.03",
                     "--cut",
                     "0.05"};
    servers.push_back(std::move(setup));
  }
  return servers;
}

class Dice {
 public:
  explicit Dice(unsigned seed) : random_(seed) {}
  int Between(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  std::size_t Pick(std::size_t count) {
    return static_cast<std::size_t>(Between(0, static_cast<int>(count) - 1));
  }

 private:
  std::mt19937 random_;
};

class Play {
 public:
  Play(unsigned seed, int hosts, int servers, int unframed_percent,
       const Disturbances& disturbances)
      : seed_(seed),
        disturbances_(disturbances),
        host_mutexes_(static_cast<std::size_t>(hosts)),
        site_(Servers(servers, unframed_percent),
              static_cast<std::size_t>(hosts), kEvents, seed) {
    site_.StartHosts();
    if (disturbances_.slow_callers) site_.SetSlowCallers(kSlowCallersOneIn);
  }

  void Run(absl::Duration length) {
    std::vector<std::jthread> threads =
        site_.StartCallers({CallKind::kChat, CallKind::kTalk, CallKind::kChat,
                            CallKind::kRead, CallKind::kTalk, CallKind::kOnce},
                           kCallersPerHost * site_.hosts_.size(),
                           [this](std::size_t /*calls*/) { return !ends_; });
    // Also where a fault of the test itself ends it.
    const absl::Cleanup end = [this] { ends_ = true; };
    for (std::size_t host = 0; host < site_.hosts_.size(); ++host) {
      threads.emplace_back([this, host] { StutterLoop(host); });
    }
    if (disturbances_.host_ends) {
      threads.emplace_back([this] { HostEndLoop(); });
    }
    begin_ = absl::Now();
    length_ = length;
    KillLoop();
    ends_ = true;
    for (std::jthread& thread : threads) thread.join();
  }

  void Check() {
    const Judgement verdict = site_.Verdict();
    const std::vector<CallRecord> calls = site_.Records();
    const auto streams =
        std::count_if(calls.begin(), calls.end(),
                      [](const CallRecord& call) { return call.stream; });
    BOOST_TEST_MESSAGE("seed " << seed_ << " kills " << kills_ << " streams "
                               << streams << " " << verdict.Text());
    BOOST_TEST(verdict.order.empty());
    BOOST_TEST(verdict.mixed.empty());
    BOOST_TEST(verdict.twice.empty());
    BOOST_TEST(verdict.refused.empty());
    BOOST_TEST(verdict.served > 0);
    for (const std::string& line : site_.FindWrongServices()) {
      BOOST_ERROR("ROUTE " << line);
    }
  }

 private:
  // The host stands still for moments, every seventh time for longer.
  void StutterLoop(std::size_t host) {
    Dice dice(seed_ * 1000 + static_cast<unsigned>(host));
    while (!ends_) {
      absl::SleepFor(absl::Milliseconds(dice.Between(0, 2 * kMeanPauseMs)));
      const bool long_stall = dice.Pick(7) == 0;
      const int stall_ms =
          dice.Between(kMinMomentMs, long_stall ? kMaxStallMs : kMaxMomentMs);
      Signal(host, SIGSTOP);
      absl::SleepFor(absl::Milliseconds(stall_ms));
      Signal(host, SIGCONT);
    }
  }

  void Signal(std::size_t host, int signal) {
    absl::MutexLock lock(&host_mutexes_[host]);
    site_.hosts_[host]->process().Signal(signal);
  }

  bool HasEnded(std::size_t host) {
    absl::MutexLock lock(&host_mutexes_[host]);
    return site_.hosts_[host]->process().HasEnded();
  }

  // One host at a time is killed or stopped, and started again.
  void HostEndLoop() {
    Dice dice(seed_ + 1'000'000);
    while (!ends_) {
      absl::SleepFor(kHostEndInterval);
      const std::size_t host = dice.Pick(site_.hosts_.size());
      site_.SetInRotation(host, false);
      Signal(host, dice.Pick(2) == 0 ? SIGKILL : SIGTERM);
      WaitUntil("the host has ended", [&] { return HasEnded(host); });
      {
        absl::MutexLock lock(&host_mutexes_[host]);
        site_.hosts_[host]->Run(absl::StrCat("h", host, "-", ++host_ends_));
      }
      WaitUntil("the host is ready again", [&] {
        return site_.hosts_[host]->Ready(site_.client_) == 200;
      });
      site_.SetInRotation(host, true);
    }
  }

  // Returns whether this share of the play is over.
  bool IsOver(double share) const {
    return absl::Now() > begin_ + share * length_;
  }

  void ChangeRoutesOnce() {
    if (routes_changed_ || !disturbances_.routes || !IsOver(0.25)) return;
    routes_changed_ = true;
    site_.table_.Put("op", "config", ConfigurationWithoutResumption());
    site_.EndResumption(absl::Now() + kConfigurationTime);
  }

  void Kill(std::size_t server) {
    site_.servers_[server]->KillAndWait();
    ++kills_;
  }

  // Starts one of the killed servers again, or it and one of another service,
  // each at the address of the other.
  void Restart(std::size_t server, const std::set<std::size_t>& killed,
               Dice& dice) {
    // A plain server that keeps its id can't be told from its predecessor.
    const bool keeps_id = !IsPlain(server) && dice.Pick(3) == 0;
    const bool exchanges = disturbances_.addresses && dice.Pick(3) == 0;
    const std::size_t other = (server + 1) % site_.servers_.size();
    if (exchanges && IsPlain(server) != IsPlain(other) &&
        !killed.contains(other)) {
      Kill(other);
      return site_.ExchangeAddresses(server, other);
    }
    const bool replaces =
        disturbances_.versions && !IsPlain(server) && IsOver(0.25);
    if (replaces) return site_.ReplaceServer(server, "v2");
    site_.RestartServer(server, keeps_id);
  }

  void KillLoop() {
    Dice dice(seed_);
    const absl::Duration interval =
        kKillInterval * kServersPerInterval / site_.servers_.size();
    while (!IsOver(1)) {
      ChangeRoutesOnce();
      std::set<std::size_t> killed;
      while (killed.size() < kKilledAtOnce) {
        killed.insert(dice.Pick(site_.servers_.size()));
      }
      for (const std::size_t server : killed) Kill(server);
      const absl::Duration away =
          absl::Milliseconds(kAwayMs[dice.Pick(std::size(kAwayMs))]);
      absl::SleepFor(away);
      for (const std::size_t server : killed) Restart(server, killed, dice);
      absl::SleepFor(interval);
    }
  }

  const unsigned seed_;
  const Disturbances disturbances_;
  std::deque<absl::Mutex> host_mutexes_;
  AnswersSite site_;
  std::atomic<bool> ends_ = false;
  absl::Time begin_;
  absl::Duration length_;
  bool routes_changed_ = false;
  int host_ends_ = 0;
  int kills_ = 0;
};

void PlaySeeds(int seeds, bool with_all) {
  const int first = FromEnvironment("GENTIANLB_SOAK_FIRST_SEED", 1);
  seeds = FromEnvironment("GENTIANLB_SOAK_SEEDS", seeds);
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Play play(static_cast<unsigned>(seed),
                FromEnvironment("GENTIANLB_SOAK_HOSTS", kHosts),
                FromEnvironment("GENTIANLB_SOAK_SERVERS", kServers),
                FromEnvironment("GENTIANLB_SOAK_UNFRAMED", kUnframedPercent),
                ChosenDisturbances(with_all));
      play.Run(
          absl::Seconds(FromEnvironment("GENTIANLB_SOAK_SECONDS", kSeconds)));
      play.Check();
    }
  }
}

// Guards against half of an answer that ends as complete because another
// process listens at the address of its server, which was killed.
BOOST_AUTO_TEST_CASE(NoSuccessorSpeaksForAKilledServer) {
  PlaySeeds(kSeeds, /*with_all=*/false);
}

// The same, and streams of two runs, while hosts, versions and routes change.
BOOST_AUTO_TEST_CASE(NoSuccessorSpeaksForAKilledServerWhileAllChanges) {
  PlaySeeds(kSeedsWithAll, /*with_all=*/true);
}

}  // namespace
}  // namespace gentianlb::process
