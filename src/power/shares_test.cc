#include "power/shares.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace gentianlb::power {
namespace {

config::ServerConfig Server(std::string service, std::string zone, double idle,
                            double per_stream) {
  config::ServerConfig server;
  server.service = ServiceId(std::move(service));
  server.zone = ZoneId(std::move(zone));
  server.spec.power = {idle, per_stream, 0};
  server.spec.max_streams = 10;
  return server;
}

double Sum(const std::vector<Share>& shares) {
  double sum = 0;
  for (const Share& share : shares) sum += share.watts;
  return sum;
}

BOOST_AUTO_TEST_CASE(AZoneKeepsItsFloor) {
  config::Configuration c;
  c.power_cap_watts = 1000;
  c.zones = {{ZoneId("a"), 600}, {ZoneId("b"), 0}};
  c.servers = {Server("llm", "a", 100, 90), Server("llm", "b", 100, 90)};
  std::vector<Share> shares = DivideCap(c);
  BOOST_REQUIRE(shares.size() == 2U);
  BOOST_TEST(shares[0].watts >= 600);
  BOOST_TEST(Sum(shares) <= 1000 + 1e-6);
}

// The zones keep their shares without exchanging messages. For any
// configuration the sum of the shares must not exceed the site's cap, or a
// circuit breaker would trip and stop the whole site.
BOOST_AUTO_TEST_CASE(SharesNeverAddUpToMoreThanTheCap) {
  std::mt19937 random(1);
  auto random_below = [&](int limit) {
    return static_cast<double>(random() % limit);
  };
  for (int round = 0; round < 500; ++round) {
    config::Configuration c;
    c.power_cap_watts = random_below(5000);
    for (const char* zone : {"a", "b", "c"}) {
      c.zones.push_back({ZoneId(zone), random_below(2500)});
      for (const char* service : {"llm", "portal"}) {
        if (random() % 3 != 0) {
          c.servers.push_back(
              Server(service, zone, random_below(200), random_below(50)));
        }
      }
    }
    BOOST_REQUIRE(Sum(DivideCap(c)) <= c.power_cap_watts + 1e-6);
  }
}

}  // namespace
}  // namespace gentianlb::power
