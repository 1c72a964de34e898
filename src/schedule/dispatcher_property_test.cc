// Over many seeds: tiers in order, watts within the share, and one end for each
// request, whatever comes in whatever order.

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

// One random happening; loads differ by seed from light to several times full.
void Happen(FakeSite* site, std::mt19937_64* random) {
  const ServerId server("server-" + std::to_string(Pick(random, 4)));
  switch (Pick(random, 40)) {
    case 0:
      site->slowness[server] = Pick(random, 3) * 0.5;
      return;
    case 1:
      site->failing[server] =
          Pick(random, 2) == 0 ? EndKind::kNotSent : EndKind::kBroken;
      return;
    case 2:
      site->failing.clear();
      site->slowness.clear();
      return;
    case 3:
      site->SetShare(500 + Pick(random, 2500));
      return;
    case 4:
      site->Tell(ServerHealthChanged{
          server, static_cast<ServerHealth>(Pick(random, 4))});
      return;
    case 5:
      if (site->requests.empty()) return;
      site->Tell(CallerGone{site->requests.rbegin()->first});
      return;
    default: {
      const int tier = Pick(random, 3);
      site->Send("workspace-" + std::to_string(Pick(random, 5)), tier,
                 absl::Seconds(1 + Pick(random, 20)), 1 + Pick(random, 4000),
                 1 + Pick(random, 400));
    }
  }
}

// What a dispatcher knows of its servers' speeds beforehand.
enum class Speeds { kConfigured, kGuessed };

std::uint64_t Play(std::uint64_t seed, Speeds speeds, FakeSite* site) {
  std::mt19937_64 random(seed);
  site->AddServers(4);
  if (speeds == Speeds::kGuessed) {
    for (ServerSpec& spec : site->specs) spec.speeds_guessed = true;
    site->Tell(ServersConfigured{site->specs});
  }
  site->SetShare(2000);
  const int pause = 1 + Pick(&random, 20);
  for (int i = 0; i < 400; ++i) {
    Happen(site, &random);
    site->Run(FakeSite::kStep * Pick(&random, pause));
  }
  // All well again, so that what still runs can end.
  site->slowness.clear();
  site->failing.clear();
  for (const ServerSpec& spec : site->specs) {
    site->Tell(ServerHealthChanged{spec.id, ServerHealth::kAlive});
  }
  site->Run(absl::Minutes(2));
  return site->dispatcher.signature();
}

void CheckSeeds(Speeds speeds) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FakeSite site;
    Play(seed, speeds, &site);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(site.dispatcher.counters().inversions == 0);
      BOOST_TEST(!site.overdrawn);
      BOOST_TEST(!site.spinning);
      BOOST_TEST(site.ended_twice == 0);
      BOOST_TEST(site.outcomes.size() == site.requests.size());
      BOOST_TEST(site.dispatcher.waiting() == 0);
      BOOST_TEST(site.dispatcher.running() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(OrderPowerAndOneEndForEachRequest) {
  CheckSeeds(Speeds::kConfigured);
}

BOOST_AUTO_TEST_CASE(OrderPowerAndOneEndWithGuessedSpeeds) {
  CheckSeeds(Speeds::kGuessed);
}

// Two hosts or two builds that disagree on the same events could not be
// compared, and a replay would prove nothing.
BOOST_AUTO_TEST_CASE(SameEventsSameDecisions) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeSite first;
    FakeSite second;
    const std::uint64_t signature = Play(seed, Speeds::kConfigured, &first);
    BOOST_TEST(signature == Play(seed, Speeds::kConfigured, &second));
    BOOST_TEST(signature != 0);
  }
}

}  // namespace
}  // namespace gentianlb::schedule
