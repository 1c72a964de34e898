// Requests that may run once, over hosts that dispatch for each other, under
// seeded series of faults. GENTIANLB_SENDS_SEEDS sets how many seeds are
// played, and GENTIANLB_SENDS_FIRST_SEED the first one.

#include <boost/test/unit_test.hpp>
#include <string>

#include "base/environment_test.h"
#include "gateway/sends_site_test.h"

namespace gentianlb::gateway {
namespace {

constexpr int kSeeds = 6;
constexpr absl::Duration kTime = absl::Seconds(8);

// Guards against a second send, or a promise of "not run", while a send of the
// same request is open or may have run it.
BOOST_AUTO_TEST_CASE(NoDecisionReachesAnOpenSend) {
  const int first = FromEnvironment("GENTIANLB_SENDS_FIRST_SEED", 1);
  const int seeds = FromEnvironment("GENTIANLB_SENDS_SEEDS", kSeeds);
  for (int seed = first; seed < first + seeds; ++seed) {
    SendsSite site(static_cast<unsigned>(seed));
    site.Run(kTime, /*disturbs=*/true);
    site.Drain();
    BOOST_TEST_MESSAGE("seed " << seed << " requests " << site.requests()
                               << " sends " << site.servers().sends()
                               << " served " << site.servers().served()
                               << " kills " << site.kills());
    for (const std::string& fault : site.servers().Faults()) {
      BOOST_TEST(false, "seed " << seed << " " << fault);
    }
    // Without sends and answers the test would show nothing.
    BOOST_TEST(site.servers().sends() > site.requests() / 2);
    BOOST_TEST(site.servers().served() > site.requests() / 3);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
