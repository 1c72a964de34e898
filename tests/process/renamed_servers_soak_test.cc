// Seeded series of kills of servers that write refusals twice: a killed server
// is started again at its address at once, under another id, while its row of
// before stays for a while. Hosts are paused for moments.
//
// GENTIANLB_SOAK_SEEDS sets how many seeds are played,
// GENTIANLB_SOAK_FIRST_SEED the first one, GENTIANLB_SOAK_HOSTS,
// GENTIANLB_SOAK_SERVERS (of each service), GENTIANLB_SOAK_CALLERS (of each
// host) and GENTIANLB_SOAK_SECONDS the size and length of a play,
// GENTIANLB_SOAK_PAUSE the milliseconds between the calls of a caller,
// GENTIANLB_SOAK_REFUSED the percentage of refusals, and GENTIANLB_SOAK_DOUBLED
// that of refusals that are written twice.

#include <signal.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstddef>
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
constexpr int kSeedsWithStreams = 1;
constexpr int kHosts = 6;
constexpr int kServers = 3;  // Of each service.
constexpr int kSeconds = 8;
constexpr int kEvents = 4;
constexpr int kCallersPerHost = 3;
constexpr int kPauseMs = 30;  // Between the calls of a caller.
constexpr int kRefusedPercent = 15;
constexpr int kDoubledPercent = 50;  // Of the refusals.

// Between the kills of one server, on average.
constexpr absl::Duration kKillInterval = absl::Seconds(1);
// For so long the row of a killed server stays.
constexpr int kMaxRowMs = 1500;
// Rows are removed, and servers killed, at such times.
constexpr absl::Duration kTick = absl::Milliseconds(10);

// Of pauses of a host, and the mean time between them.
constexpr int kMinHostPauseMs = 30;
constexpr int kMaxHostPauseMs = 200;
constexpr int kMeanGapMs = 1000;

// Refusals don't use up the retries.
constexpr char kEnoughRetries[] = "[retries]\nper_request = 0.5\nburst = 100\n";

std::string Share(const char* variable, int percent) {
  return absl::StrCat(FromEnvironment(variable, percent) / 100.0);
}

std::vector<FaultyServerSetup> Servers(int count, bool streams) {
  FaultyServerSetup plain;
  plain.service = "plain";
  plain.options = {
      "--work-ms",          "10",
      "--event-gap-ms",     "10",
      "--refused",          Share("GENTIANLB_SOAK_REFUSED", kRefusedPercent),
      "--too-many",         "0.45",
      "--timeouts",         "0.1",
      "--unnamed",          "0.1",
      "--doubled-refusals", Share("GENTIANLB_SOAK_DOUBLED", kDoubledPercent)};
  std::vector<FaultyServerSetup> servers(static_cast<std::size_t>(count),
                                         plain);
  if (!streams) return servers;
  FaultyServerSetup model = plain;
  model.service = "llm";
  servers.insert(servers.end(), static_cast<std::size_t>(count), model);
  return servers;
}

class Random {
 public:
  explicit Random(unsigned seed) : random_(seed) {}
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
  Play(unsigned seed, bool streams)
      : seed_(seed),
        streams_(streams),
        site_(Servers(FromEnvironment("GENTIANLB_SOAK_SERVERS", kServers),
                      streams),
              static_cast<std::size_t>(
                  FromEnvironment("GENTIANLB_SOAK_HOSTS", kHosts)),
              kEvents, seed) {
    site_.StartHosts({}, kEnoughRetries);
  }

  void Run(absl::Duration length) {
    const auto callers = static_cast<std::size_t>(
        FromEnvironment("GENTIANLB_SOAK_CALLERS", kCallersPerHost));
    const absl::Duration pause =
        absl::Milliseconds(FromEnvironment("GENTIANLB_SOAK_PAUSE", kPauseMs));
    const std::vector<CallKind> kinds =
        streams_ ? std::vector{CallKind::kOnce, CallKind::kTalk}
                 : std::vector{CallKind::kOnce};
    std::vector<std::jthread> threads =
        site_.StartCallers(kinds, callers * site_.hosts_.size(),
                           [this, pause](std::size_t /*calls*/) {
                             absl::SleepFor(pause);
                             return !ends_;
                           });
    // Also where a fault of the test itself ends it.
    const absl::Cleanup end = [this] { ends_ = true; };
    for (std::size_t host = 0; host < site_.hosts_.size(); ++host) {
      threads.emplace_back([this, host] { PauseHostLoop(host); });
    }
    KillLoop(absl::Now() + length);
    ends_ = true;
    for (std::jthread& thread : threads) thread.join();
  }

  void Check() {
    const Judgement verdict = site_.Verdict();
    BOOST_TEST_MESSAGE(
        "seed " << seed_ << " kills " << kills_ << " runs "
                << site_.CountReported("run") << " refused "
                << site_.CountReported("refused") << " misdirected "
                << site_.CountReported("misdirected") << " copies "
                << site_.CountReported("copy") << " connections "
                << site_.CountReported("connection") << " " << verdict.Text());
    for (const CallRecord& call : site_.Records()) {
      if (call.answer.status != 0) continue;
      BOOST_TEST_MESSAGE("no answer to "
                         << call.id << " over " << call.host
                         << (call.answer.timed_out ? ", late" : ""));
    }
    BOOST_TEST(verdict.twice.empty());
    BOOST_TEST(verdict.refused.empty());
    BOOST_TEST(verdict.mixed.empty());
    BOOST_TEST(verdict.order.empty());
    BOOST_TEST(verdict.served > 0);
  }

 private:
  void PauseHostLoop(std::size_t host) {
    Random random(seed_ * 1000 + static_cast<unsigned>(host));
    Process& process = site_.hosts_[host]->process();
    while (!ends_) {
      absl::SleepFor(absl::Milliseconds(random.Between(0, 2 * kMeanGapMs)));
      const int pause_ms = random.Between(kMinHostPauseMs, kMaxHostPauseMs);
      process.Signal(SIGSTOP);
      absl::SleepFor(absl::Milliseconds(pause_ms));
      process.Signal(SIGCONT);
    }
  }

  void KillLoop(absl::Time end) {
    Random random(seed_);
    const absl::Duration interval = kKillInterval / site_.servers_.size();
    absl::Time next_kill = absl::Now();
    while (absl::Now() < end) {
      absl::SleepFor(kTick);
      RemoveDueRows();
      if (absl::Now() < next_kill) continue;
      next_kill = absl::Now() + interval * random.Between(50, 150) / 100;
      const std::size_t server = random.Pick(site_.servers_.size());
      site_.servers_[server]->KillAndWait();
      ++kills_;
      const std::string old_id = site_.RestartServerBesideItsRow(server);
      old_rows_.emplace(
          absl::Now() + absl::Milliseconds(random.Between(0, kMaxRowMs)),
          old_id);
    }
  }

  void RemoveDueRows() {
    while (!old_rows_.empty() && old_rows_.begin()->first <= absl::Now()) {
      site_.table_.Remove("servers", old_rows_.begin()->second);
      old_rows_.erase(old_rows_.begin());
    }
  }

  const unsigned seed_;
  const bool streams_;
  AnswersSite site_;
  std::atomic<bool> ends_ = false;
  // Ids of killed servers, by when their rows are removed.
  std::multimap<absl::Time, std::string> old_rows_;
  int kills_ = 0;
};

void PlaySeeds(int seeds, bool streams) {
  const int first = FromEnvironment("GENTIANLB_SOAK_FIRST_SEED", 1);
  seeds = FromEnvironment("GENTIANLB_SOAK_SEEDS", seeds);
  for (int seed = first; seed < first + seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Play play(static_cast<unsigned>(seed), streams);
      play.Run(
          absl::Seconds(FromEnvironment("GENTIANLB_SOAK_SECONDS", kSeconds)));
      play.Check();
    }
  }
}

// Guards against the copy of a refusal that is taken for the answer of the
// server that has the address now.
BOOST_AUTO_TEST_CASE(NoCopyOfARefusalSpeaksForTheNextServer) {
  PlaySeeds(kSeeds, /*streams=*/false);
}

// The same, also for streams that may run once.
BOOST_AUTO_TEST_CASE(NoCopyOfARefusalSpeaksForTheNextServerOfStreams) {
  PlaySeeds(kSeedsWithStreams, /*streams=*/true);
}

}  // namespace
}  // namespace gentianlb::process
