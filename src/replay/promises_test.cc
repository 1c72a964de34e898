// What must hold in every scenario and for every seed, whatever the load. CI
// takes a few seeds; `gentianctl bench --seeds 200` takes many.

#include <boost/test/unit_test.hpp>

#include "replay/bench.h"
#include "replay/deployment.h"
#include "replay/scenario.h"

namespace gentianlb::replay {
namespace {

constexpr std::uint64_t kSeeds = 2;

// Bursts, overload, stragglers, deaths and a falling cap, each with other
// lengths and moments. A user would notice a broken promise as an urgent
// request turned away while lower work waits, as one that is never answered,
// or as a tripped breaker.
BOOST_AUTO_TEST_CASE(NoSeedInvertsTiersExceedsTheCapOrLosesARequest) {
  for (const std::string& scenario : ScenarioNames()) {
    Outcome<SweepFigures> sweep = Capture([&] {
      return RunSweep({"", scenario}, kSeeds);
    });
    BOOST_REQUIRE(sweep.ok());
    BOOST_TEST(sweep.value().violations.empty(), ToText(sweep.value()));
  }
}

BOOST_AUTO_TEST_CASE(AScenarioIsTheSameForASeedAndAnotherForTheNext) {
  for (const std::string& name : ScenarioNames()) {
    auto make = [&](std::uint64_t seed) {
      return Capture([&]() -> Result<Trace> {
               BOOST_LEAF_AUTO(deployment, FindDeployment("association"));
               return MakeScenario(deployment, name, seed);
             })
          .value();
    };
    Trace first = make(1);
    BOOST_TEST((first == make(1)));
    BOOST_TEST((first.events != make(2).events));
  }
}

}  // namespace
}  // namespace gentianlb::replay
