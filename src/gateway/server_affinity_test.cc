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

// Ninety hosts learn at once that the fastest server has free capacity, and
// each sends its waiting requests there. Callers then wait for a second for the
// first token while other servers are idle. With few near hosts per server they
// don't.
BOOST_AUTO_TEST_CASE(AServerHasFewNearHosts) {
  constexpr int kServers = 60;
  int total = 0;
  for (int i = 0; i < kServers; ++i) {
    const int near = NearHosts("server-" + std::to_string(i), kServers);
    BOOST_TEST(near <= 15);
    total += near;
  }
  BOOST_TEST(total > 3 * kServers);
  BOOST_TEST(total < 5 * kServers);
}

// Ninety hosts share a service of four servers. If each server were near to
// only four hosts, most hosts would have to send all requests to far servers.
BOOST_AUTO_TEST_CASE(MostHostsHaveANearServerInASmallService) {
  int hosts_without_near = 0;
  for (int i = 0; i < kHosts; ++i) {
    const EntryHostId host("host-" + std::to_string(i));
    bool has_near = false;
    for (int j = 0; j < 4; ++j) {
      const ServerId server("server-" + std::to_string(j));
      has_near |= IsNear(AffinityFor(host, server, 4, kHosts));
    }
    hosts_without_near += has_near ? 0 : 1;
  }
  BOOST_TEST(hosts_without_near < kHosts / 5);
}

// Eight hosts learn of each other's requests in time. Waiting for a near server
// would cost their callers more than an occasional choice of the same server.
BOOST_AUTO_TEST_CASE(FewHostsUseAllServersNearlyEqually) {
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
