#include "gateway/server_affinity.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gentianlb::gateway {
namespace {

constexpr int kHosts = 90;

bool IsNear(const ServerAffinity& affinity) {
  return affinity.cost_factor == 1;
}

int NearHosts(const std::string& server, int servers) {
  int near = 0;
  for (int i = 0; i < kHosts; ++i) {
    const EntryHostId host("host-" + std::to_string(i));
    near +=
        IsNear(AffinityFor(host, ServerId(server), servers, kHosts)) ? 1 : 0;
  }
  return near;
}

// Ninety hosts hear at once that the quickest server has room again, and each
// sends it what waits. Callers see a second pass before the first token while
// servers beside it idle; with a few hosts near to each server they don't.
BOOST_AUTO_TEST_CASE(AServerIsNearToFewOfManyHosts) {
  constexpr int kServers = 60;
  int all = 0;
  for (int i = 0; i < kServers; ++i) {
    const int near = NearHosts("server-" + std::to_string(i), kServers);
    BOOST_TEST(near <= 15);
    all += near;
  }
  BOOST_TEST(all > 3 * kServers);
  BOOST_TEST(all < 5 * kServers);
}

// A service of four servers is shared by ninety hosts. Were each server near to
// four of them, most hosts would have to send all they get to far ones.
BOOST_AUTO_TEST_CASE(MostHostsAreNearToSomeServerOfASmallService) {
  int without = 0;
  for (int i = 0; i < kHosts; ++i) {
    const EntryHostId host("host-" + std::to_string(i));
    bool any = false;
    for (int j = 0; j < 4; ++j) {
      const ServerId server("server-" + std::to_string(j));
      any |= IsNear(AffinityFor(host, server, 4, kHosts));
    }
    without += any ? 0 : 1;
  }
  BOOST_TEST(without < kHosts / 5);
}

// Eight hosts hear of each other in time. Waiting for a near server would cost
// their callers more than choosing the same one now and then.
BOOST_AUTO_TEST_CASE(FewHostsUseAllServersNearlyAlike) {
  for (int i = 0; i < 12; ++i) {
    const ServerId server("server-" + std::to_string(i));
    const ServerAffinity affinity =
        AffinityFor(EntryHostId("h"), server, 12, 8);
    BOOST_TEST(affinity.cost_factor < 1.3);
    BOOST_TEST(affinity.expected_competitors == 0);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
