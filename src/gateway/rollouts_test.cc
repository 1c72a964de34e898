#include "gateway/rollouts.h"

#include <boost/test/unit_test.hpp>

#include "gateway/rollout_site_test.h"

namespace gentianlb::gateway {
namespace {

constexpr absl::Duration kDuration = absl::Seconds(15);
constexpr int kSeeds = 5;

// What operators allow a bad version, of the requests until the deadline.
constexpr double kAllowedExposure = RolloutSite::kMaxExposure;

BOOST_AUTO_TEST_CASE(ASoundVersionIsCompletedInTimeAndNoAnswerIsCut) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutSite site(seed);
    site.Order("v2", kDuration);
    site.Run(kDuration);
    BOOST_TEST(site.Is(RolloutState::kCompleted), "seed " << seed);
    site.Run(absl::Seconds(1));
    BOOST_TEST(site.stopped_early == 0, "seed " << seed);
  }
}

// Guards against requests that go on to a bad version while hosts wait for the
// status.
BOOST_AUTO_TEST_CASE(ABadVersionIsRolledBackWithinItsExposure) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutSite site(seed);
    site.failing = 0.3;
    site.Order("v2", kDuration);
    site.Run(kDuration);
    BOOST_TEST(site.Is(RolloutState::kRolledBack), "seed " << seed);
    BOOST_TEST(site.exposure() < kAllowedExposure / 4, "seed " << seed);
    BOOST_TEST((site.last_to_new - site.ordered_at < absl::Seconds(3)),
               "seed " << seed);
  }
}

// Guards against a version that turns bad when all requests move to it.
BOOST_AUTO_TEST_CASE(AVersionThatTurnsBadLateStaysWithinItsExposure) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const double from : {1.0, 3.0, 4.0, 4.6}) {
      RolloutSite site(seed);
      site.failing = 0.3;
      site.failing_from = site.fleet.now + absl::Seconds(from);
      site.Order("v2", kDuration);
      site.Run(kDuration);
      BOOST_TEST(site.Is(RolloutState::kRolledBack),
                 "seed " << seed << " from " << from);
      BOOST_TEST(
          site.exposure() < kAllowedExposure,
          "seed " << seed << " from " << from << ": " << site.exposure());
    }
  }
}

// Guards against a bad version that gets requests because its status can't be
// written.
BOOST_AUTO_TEST_CASE(HostsStopByThemselvesWhileTheTableIsDown) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutSite site(seed);
    site.failing = 0.3;
    site.failing_from = site.fleet.now + absl::Seconds(2);
    site.Order("v2", kDuration);
    site.Run(absl::Seconds(2));
    site.table_up = false;
    site.Run(absl::Seconds(6));
    BOOST_TEST((site.last_to_new - site.ordered_at < absl::Milliseconds(3500)),
               "seed " << seed);
    site.table_up = true;
    site.Run(absl::Seconds(3));
    BOOST_TEST(site.Is(RolloutState::kRolledBack), "seed " << seed);
  }
}

// Guards against a roll-out that stands still because the table service is
// silent to the aggregators alone.
BOOST_AUTO_TEST_CASE(OtherHostsWriteWhatAggregatorsCant) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const double failing : {0.0, 0.3}) {
      RolloutSite site(seed);
      for (const std::string& name : site.Aggregators()) {
        site.unable_to_write.insert(name);
      }
      site.failing = failing;
      site.failing_from = site.fleet.now;
      site.Order("v2", kDuration);
      site.Run(kDuration);
      BOOST_TEST(site.Is(failing > 0 ? RolloutState::kRolledBack
                                     : RolloutState::kCompleted),
                 "seed " << seed << " failing " << failing);
      BOOST_TEST(site.stopped_early == 0, "seed " << seed);
    }
  }
}

// Guards against a roll-out that stops, or starts over, with the host that
// leads it.
BOOST_AUTO_TEST_CASE(ARollOutOutlivesItsAggregatorsAtEachStage) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const double at : {0.05, 1.0, 3.1, 4.6, 6.0}) {
      RolloutSite site(seed);
      site.Order("v2", kDuration);
      site.Run(absl::Seconds(at));
      const auto lost = site.Aggregators();
      for (const std::string& name : lost) site.Kill(name);
      site.Run(absl::Seconds(1));
      for (const std::string& name : lost) site.Restart(name);
      site.Run(kDuration - absl::Seconds(at + 1));
      BOOST_TEST(site.Is(RolloutState::kCompleted),
                 "seed " << seed << " at " << at);
      BOOST_TEST(site.stopped_early == 0, "seed " << seed << " at " << at);
    }
  }
}

BOOST_AUTO_TEST_CASE(ABadVersionIsRolledBackThoughAllHostsRestart) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutSite site(seed);
    site.failing = 0.3;
    site.Order("v2", kDuration);
    site.Run(absl::Milliseconds(500));
    for (auto& [name, host] : site.fleet.hosts) site.Kill(name);
    site.Run(absl::Seconds(1));
    for (auto& [name, host] : site.fleet.hosts) site.Restart(name);
    site.Run(absl::Seconds(6));
    BOOST_TEST(site.Is(RolloutState::kRolledBack), "seed " << seed);
    BOOST_TEST(site.exposure() < kAllowedExposure / 2, "seed " << seed);
  }
}

// Guards against hosts that are cut off and go on sending to a version that the
// others have found bad, and against old servers that are stopped while such
// hosts use them.
BOOST_AUTO_TEST_CASE(AZoneThatIsCutOffKeepsToTheOldVersion) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutSite site(seed);
    site.Order("v2", kDuration);
    site.Run(absl::Seconds(4));
    site.CutZone("z1");
    site.Run(absl::Milliseconds(1500));
    for (const auto& [name, host] : site.fleet.hosts) {
      if (host.entry.zone != "z1") continue;
      BOOST_TEST((site.StageOf(name) == RolloutStage::kNone), name);
    }
    site.Run(absl::Seconds(4));
    BOOST_TEST(!site.Is(RolloutState::kCompleted), "seed " << seed);
    site.Heal();
    site.Run(absl::Seconds(8));
    BOOST_TEST(site.Is(RolloutState::kCompleted), "seed " << seed);
    BOOST_TEST(site.stopped_early == 0, "seed " << seed);
  }
}

// Guards against an aggregator that is frozen while it leads and, once it runs
// again, undoes what its successor has written.
BOOST_AUTO_TEST_CASE(AnAggregatorThatWasFrozenUndoesNothing) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutSite site(seed);
    site.failing = 0.3;
    site.Order("v2", kDuration);
    site.Run(absl::Milliseconds(100));
    const auto frozen = site.Aggregators();
    for (const auto& name : frozen) site.fleet.hosts.at(name).frozen = true;
    site.Run(absl::Seconds(5));
    BOOST_REQUIRE(site.Is(RolloutState::kRolledBack));
    for (const auto& name : frozen) site.fleet.hosts.at(name).frozen = false;
    site.Run(absl::Seconds(3));
    BOOST_TEST(site.Is(RolloutState::kRolledBack), "seed " << seed);
  }
}

// Guards against the progress of one order that counts for the next.
BOOST_AUTO_TEST_CASE(AnOrderThatReplacesAnotherStartsAtItsCanary) {
  RolloutSite site(2);
  site.Order("v2", kDuration);
  site.Run(absl::Seconds(5));
  BOOST_REQUIRE((site.status()->stage == RolloutStage::kAll));
  site.Order("v3", kDuration);
  site.Run(absl::Seconds(1));
  BOOST_TEST(site.status()->target == "v3");
  BOOST_TEST((site.status()->stage == RolloutStage::kCanary));
  site.Run(kDuration);
  BOOST_TEST(site.Is(RolloutState::kCompleted));
  BOOST_TEST(site.stopped_early == 0);
}

// A host without peers.
struct LoneHost {
  const ServiceId service{"s"};
  std::vector<std::uint64_t> writes;  // The versions that rows had to have.
  Rollouts rollouts{0.1,
                    {.write =
                         [this](const ServiceId&, const RolloutStatus&,
                                std::uint64_t expected,
                                const std::function<void(bool)>& done) {
                           writes.push_back(expected);
                           done(true);
                         },
                     .on_pools = [] {},
                     .open_requests = [](const ServiceId&) { return 0U; }}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
};

BOOST_AUTO_TEST_CASE(AnOrderForAVersionWithoutServersMovesNothing) {
  LoneHost host;
  host.rollouts.SetOrder(
      host.service, RolloutOrder{host.service, "v9", kDuration, 5}, host.now);
  BOOST_TEST(host.rollouts.ChoosePool(host.service, RequestId("r")).str() ==
             "s");
  BOOST_TEST(!host.rollouts.MaySend(host.service, ServiceId("s@v9")));
}

// Guards against a status that is written over one that this host hasn't read.
BOOST_AUTO_TEST_CASE(AStatusReplacesOnlyTheRowItWasDecidedOn) {
  LoneHost host;
  const RolloutContext context{.status_is_current = true,
                               .is_aggregator = true};
  host.rollouts.SetOrder(
      host.service, RolloutOrder{host.service, "v2", kDuration, 5}, host.now);
  host.rollouts.SetStatus(
      host.service,
      RolloutStatus{RolloutState::kRunning, "v2", 5, RolloutStage::kCanary, {}},
      12, host.now);
  host.rollouts.Tick(context, host.now + kDuration);
  BOOST_REQUIRE(host.writes.size() == 1u);
  BOOST_TEST(host.writes.back() == 12u);
}

// Guards against a roll-out that stands still since its status was removed: the
// next one must be written as a new row.
BOOST_AUTO_TEST_CASE(ARemovedStatusIsWrittenAnew) {
  LoneHost host;
  const RolloutContext context{.status_is_current = true,
                               .is_aggregator = true};
  host.rollouts.SetOrder(
      host.service, RolloutOrder{host.service, "v2", kDuration, 5}, host.now);
  host.rollouts.Tick(context, host.now);
  BOOST_REQUIRE(host.writes.size() == 1u);
  host.rollouts.SetStatus(
      host.service,
      RolloutStatus{RolloutState::kRunning, "v2", 5, RolloutStage::kCanary, {}},
      12, host.now);
  host.rollouts.SetStatus(host.service, std::nullopt, 0, host.now);
  host.rollouts.Tick(context, host.now + absl::Seconds(1));
  BOOST_REQUIRE(host.writes.size() == 2u);
  BOOST_TEST(host.writes.back() == 0u);
}

}  // namespace
}  // namespace gentianlb::gateway
