// Property test over random scenarios: tiers are served in order, power stays
// within the share, and each request has exactly one outcome.

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "schedule/fake_site_test.h"

namespace gentianlb::schedule {
namespace {

constexpr int kSeeds = 200;

int Pick(std::mt19937_64* random, int below) {
  return static_cast<int>((*random)() % static_cast<std::uint64_t>(below));
}

// Applies one random event. Depending on the seed, the load ranges from light
// to several times the capacity.
void ApplyRandomEvent(FakeSite* site, std::mt19937_64* random) {
  const ServerId server("server-" + std::to_string(Pick(random, 4)));
  switch (Pick(random, 40)) {
    case 0:
      site->speed_factors[server] = Pick(random, 3) * 0.5;
      return;
    case 1:
      site->failures[server] = Pick(random, 2) == 0 ? RequestOutcome::kNotSent
                                                    : RequestOutcome::kFailed;
      return;
    case 2:
      site->failures.clear();
      site->speed_factors.clear();
      return;
    case 3:
      site->SetShare(500 + Pick(random, 2500));
      return;
    case 4:
      site->Deliver(ServerHealthChanged{
          server, static_cast<ServerHealth>(Pick(random, 4))});
      return;
    case 5:
      if (site->requests.empty()) return;
      site->Deliver(CallerDisconnected{site->requests.rbegin()->first});
      return;
    default: {
      const int tier = Pick(random, 3);
      site->Send("workspace-" + std::to_string(Pick(random, 5)), tier,
                 absl::Seconds(1 + Pick(random, 20)), 1 + Pick(random, 4000),
                 1 + Pick(random, 400));
    }
  }
}

// How the dispatcher gets the servers' initial speeds.
enum class Speeds { kConfigured, kEstimated };

std::uint64_t RunScenario(std::uint64_t seed, Speeds speeds, FakeSite* site) {
  std::mt19937_64 random(seed);
  site->AddServers(4);
  if (speeds == Speeds::kEstimated) {
    for (ServerSpec& spec : site->specs) spec.speeds_estimated = true;
    site->Deliver(ServersConfigured{site->specs});
  }
  site->SetShare(2000);
  const int max_steps = 1 + Pick(&random, 20);
  for (int i = 0; i < 400; ++i) {
    ApplyRandomEvent(site, &random);
    site->Run(FakeSite::kStep * Pick(&random, max_steps));
  }
  // All servers recover, so that running requests can finish.
  site->speed_factors.clear();
  site->failures.clear();
  for (const ServerSpec& spec : site->specs) {
    site->Deliver(ServerHealthChanged{spec.id, ServerHealth::kAlive});
  }
  site->Run(absl::Minutes(2));
  return site->dispatcher.signature();
}

void CheckSeeds(Speeds speeds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FakeSite site;
    RunScenario(seed, speeds, &site);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(site.dispatcher.counters().inversions == 0);
      BOOST_TEST(!site.power_exceeded);
      BOOST_TEST(!site.busy_wakeup);
      BOOST_TEST(site.duplicate_outcomes == 0);
      BOOST_TEST(site.outcomes.size() == site.requests.size());
      BOOST_TEST(site.dispatcher.waiting() == 0);
      BOOST_TEST(site.dispatcher.running() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(InvariantsHoldWithConfiguredSpeeds) {
  CheckSeeds(Speeds::kConfigured);
}

BOOST_AUTO_TEST_CASE(InvariantsHoldWithEstimatedSpeeds) {
  CheckSeeds(Speeds::kEstimated);
}

// Guards against nondeterminism: replays and comparisons of hosts or builds
// rely on the same events giving the same decisions.
BOOST_AUTO_TEST_CASE(SameEventsSameDecisions) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeSite first;
    FakeSite second;
    const std::uint64_t signature =
        RunScenario(seed, Speeds::kConfigured, &first);
    BOOST_TEST(signature == RunScenario(seed, Speeds::kConfigured, &second));
    BOOST_TEST(signature != 0);
  }
}

}  // namespace
}  // namespace gentianlb::schedule
