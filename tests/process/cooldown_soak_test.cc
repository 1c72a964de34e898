// Seeded series of faults before servers that ask for cooldowns and leave:
// hosts are killed and stopped, the table service is down, and servers begin
// and cease to refuse, overlapping. GENTIANLB_SOAK_SEEDS sets how many seeds
// are played.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>

#include "base/environment_test.h"
#include "process/cooldown_site_test.h"

namespace gentianlb::process {
namespace {

using Faults = standins::PlatformServer::Faults;

constexpr int kSeeds = 2;
constexpr int kSteps = 16;  // Of a seed.
constexpr absl::Duration kStep = absl::Milliseconds(500);
constexpr absl::Duration kEvery = absl::Milliseconds(8);

// The server that got most requests in the last step leaves after so many.
constexpr int kLeavesAfter = 5;

int SeedCount() { return FromEnvironment("GENTIANLB_SOAK_SEEDS", kSeeds); }

class Soak {
 public:
  Soak(unsigned seed, bool streams)
      : site_(streams ? kStreamAndCallConfiguration : kCallConfiguration,
              streams ? "llm" : "plain"),
        random_(seed) {}

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      Continue();
      ChangeServers();
      DisturbHosts();
      if (step == kLeavesAfter) Leave();
      step_at_ = absl::Now();
      site_.Send(kStep, kEvery);
    }
    Continue();
    site_.table_.SetDown(false);
    site_.WaitForAnswers();
    site_.Report();
  }

  const CooldownSite& site() const { return site_; }
  int leaving() const { return *leaving_; }
  absl::Time left_at() const { return left_at_; }

 private:
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }

  // Some servers refuse all, a half or a third of what comes, others nothing.
  void ChangeServers() {
    constexpr const char* kTimes[] = {"0.7", "1.2", "2.5"};
    const int first = Pick(CooldownSite::kServers);
    const int last = std::min(first + 1 + Pick(3), CooldownSite::kServers);
    Faults faults;
    faults.sheds = Pick(3) > 0;
    faults.sheds_one_in = 1 + Pick(3);
    faults.retry_after = kTimes[Pick(3)];
    for (int i = first; i < last; ++i) {
      if (i != leaving_) site_.SetFaults(i, i + 1, faults);
    }
  }

  void DisturbHosts() {
    const auto host = static_cast<std::size_t>(Pick(CooldownSite::kHosts));
    switch (Pick(5)) {
      case 0:
        return site_.Restart(host);
      case 1:
        stopped_ = host;
        return site_.hosts_[host]->process().Signal(SIGSTOP);
      case 2:
        return site_.table_.SetDown(Pick(2) == 0);
      default:
        return;
    }
  }

  // Ends the stop of a host.
  void Continue() {
    if (!stopped_) return;
    site_.hosts_[*stopped_]->process().Signal(SIGCONT);
    site_.Excuse(*stopped_);
    stopped_.reset();
  }

  void Leave() {
    int busiest = 0;
    for (int i = 1; i < CooldownSite::kServers; ++i) {
      const bool busier = site_.ArrivalsSince(i, step_at_) >
                          site_.ArrivalsSince(busiest, step_at_);
      if (busier) busiest = i;
    }
    leaving_ = busiest;
    left_at_ = absl::Now();
    site_.SetFaults(busiest, busiest + 1, {.leaving = true});
  }

  CooldownSite site_;
  std::mt19937 random_;
  std::optional<std::size_t> stopped_;
  absl::Time step_at_;          // When the last step began.
  std::optional<int> leaving_;  // The server that leaves.
  absl::Time left_at_ = absl::InfiniteFuture();
};

// Guards against requests to servers in their cooldown, or that leave, while
// hosts, dispatchers and the table service come and go.
BOOST_AUTO_TEST_CASE(CooldownsAndLeavingHoldUnderSeriesOfFaults) {
  for (int seed = 1; seed <= SeedCount(); ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Soak soak(static_cast<unsigned>(seed), seed % 2 == 0);
      soak.Run();
      const auto [asked, broken] = soak.site().CountCooldowns();
      BOOST_TEST(asked > 0);
      BOOST_TEST(broken == 0);
      BOOST_TEST(soak.site().ArrivalsSince(soak.leaving(), soak.left_at()) > 0);
      BOOST_TEST(soak.site().CountLate(soak.leaving(), soak.left_at()) == 0);
    }
  }
}

}  // namespace
}  // namespace gentianlb::process
