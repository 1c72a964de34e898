// Entry hosts that dispatch for each other, before servers that end under some
// requests whose callers repeat them at once over other hosts.

#include <boost/test/unit_test.hpp>

#include "gateway/deadly_site_test.h"

namespace gentianlb::gateway {
namespace {

using schedule::ContentHash;
using Site = DeadlySite;

constexpr int kServers = Site::kServers;
constexpr int kStreams = Site::kStreams;
constexpr int kMaxServersEnded = 3;

constexpr ContentHash kDeadly = 1;
constexpr ContentHash kWanted = 2;

// Guards against a request that ends server after server, as its caller repeats
// it over other hosts.
BOOST_AUTO_TEST_CASE(ADeadlyRequestEndsThreeServersAtMost) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Site site(hosts, seed);
      site.Run(absl::Milliseconds(200), /*harmless_per_step=*/0);
      site.SendDeadly(kDeadly);
      site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
      BOOST_TEST(site.ServersEnded() == kMaxServersEnded);
      BOOST_TEST(site.SendsOf(kDeadly) == kMaxServersEnded);
    }
  }
}

// Guards against harmless requests that are refused for good since they ran
// beside a deadly one.
BOOST_AUTO_TEST_CASE(RequestsBesideADeadlyOneAreServed) {
  int sent = 0;
  int served = 0;
  int suspected = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
    site.Run(absl::Milliseconds(300), /*harmless_per_step=*/1);
    site.SendDeadly(kDeadly);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/1);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    BOOST_TEST(site.ServersEnded() == kMaxServersEnded);
    sent += site.harmless_sent;
    served += site.harmless_served;
    suspected += site.harmless_suspected;
  }
  BOOST_TEST_MESSAGE("sent " << sent << " served " << served << " suspected "
                             << suspected);
  BOOST_TEST(served >= 0.95 * sent);
  // One in a hundred of those that ran on the servers that ended.
  BOOST_TEST(suspected <= 0.01 * 10 * kMaxServersEnded * kStreams);
}

// Guards against harmless requests that are refused since many servers crash.
BOOST_AUTO_TEST_CASE(ServersThatCrashTogetherMakeNobodySuspect) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Site site(hosts, seed);
      site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
      site.Run(absl::Milliseconds(300), /*harmless_per_step=*/1);
      for (int i = 0; i < kServers / 2; ++i) {
        site.EndServer(site.ServerName(i));
      }
      site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
      BOOST_TEST(site.harmless_suspected == 0);
    }
  }
}

// Guards against a content that many callers ask for and that is refused since
// one of its servers crashed.
BOOST_AUTO_TEST_CASE(AContentThatManyAskForOutlivesACrash) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
    for (int i = 0; i < 40; ++i) site.SendHarmless(kWanted);
    site.Run(absl::Milliseconds(10), /*harmless_per_step=*/0);
    site.EndServer(site.ServerName(0));
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    BOOST_TEST(site.harmless_suspected <= 2);
    BOOST_TEST(site.harmless_served >= 38);
  }
}

// Guards against a request that ends more servers once another host dispatches.
BOOST_AUTO_TEST_CASE(ANewDispatcherKnowsTheDeadlyRequests) {
  for (const int hosts : {8, 64}) {
    Site site(hosts);
    site.Run(absl::Milliseconds(200), /*harmless_per_step=*/0);
    site.SendDeadly(kDeadly);
    site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
    site.groups.hosts.at(site.groups.Dispatcher()).frozen = true;
    site.Run(absl::Seconds(2), /*harmless_per_step=*/0);
    site.SendDeadly(kDeadly);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    BOOST_TEST(site.ServersEnded() == kMaxServersEnded);
  }
}

// Guards against lost and repeated datagrams that let a deadly request through.
// Each lost report of a loss may let it run once more.
BOOST_AUTO_TEST_CASE(ALossyNetworkLetsFewDeadlyRequestsThrough) {
  int ended = 0;
  constexpr int kSeeds = 20;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Site site(8, seed);
    site.groups.lost_percent = 5;
    site.groups.duplicated_percent = 5;
    site.Run(absl::Milliseconds(200), /*harmless_per_step=*/0);
    site.SendDeadly(kDeadly);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    ended += site.ServersEnded();
  }
  BOOST_TEST(ended <= kSeeds * kMaxServersEnded * 1.05);
}

// Guards against a partition across which each side lets more servers end than
// it may alone.
BOOST_AUTO_TEST_CASE(EachSideOfAPartitionCountsForItself) {
  Site site(8);
  site.groups.partition = {"h0", "h1", "h2"};
  site.Run(absl::Seconds(2), /*harmless_per_step=*/0);
  site.SendDeadly(kDeadly);
  site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
  BOOST_TEST(site.ServersEnded() <= 2 * kMaxServersEnded);
}

}  // namespace
}  // namespace gentianlb::gateway
