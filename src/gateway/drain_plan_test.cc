#include "gateway/drain_plan.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_CASE(StepsAreOrderedForAnyGracePeriod) {
  for (const int seconds : {1, 2, 4, 8, 30, 600}) {
    const DrainPlan plan = PlanDrain(start, absl::Seconds(seconds));
    BOOST_TEST((plan.close_idle_from > start));
    BOOST_TEST((plan.close_idle_from <= plan.accept_all_until));
    BOOST_TEST((plan.accept_all_until < plan.answer_all));
    BOOST_TEST((plan.answer_all < plan.end));
    BOOST_TEST((plan.end < start + absl::Seconds(seconds)));
  }
}

// Guards against a request that is accepted later than the platform needs to
// direct callers elsewhere, and whose time goes beyond the end of the process.
BOOST_AUTO_TEST_CASE(ALateRequestIsAcceptedOnlyIfItsTimeEndsBeforeTheHost) {
  const absl::Duration step = absl::Milliseconds(50);
  for (const int seconds : {1, 2, 4, 8, 30}) {
    const absl::Duration grace = absl::Seconds(seconds);
    const DrainPlan plan = PlanDrain(start, grace);
    const absl::Time removed = start + std::min(absl::Seconds(3), grace / 2);
    for (const int timeout_ms : {100, 800, 1200, 2000, 3000, 6000, 15000}) {
      const absl::Duration timeout = absl::Milliseconds(timeout_ms);
      for (absl::Time at = removed; at < plan.end; at += step) {
        if (!plan.Accepts(at, at + timeout)) continue;
        BOOST_TEST((at + timeout < plan.end),
                   "grace " << seconds << " s, timeout " << timeout_ms
                            << " ms, arrival after " << (at - start));
      }
    }
  }
}

// Guards against a host that refuses calls for which it has time.
BOOST_AUTO_TEST_CASE(ARequestIsAcceptedWhileItsTimeEndsBeforeTheHost) {
  const DrainPlan plan = PlanDrain(start, absl::Seconds(8));
  const auto accepts = [&plan](int at_ms, int timeout_ms) {
    const absl::Time at = start + absl::Milliseconds(at_ms);
    return plan.Accepts(at, at + absl::Milliseconds(timeout_ms));
  };
  BOOST_TEST(accepts(2900, 15000));
  BOOST_TEST(accepts(4000, 3000));
  BOOST_TEST(accepts(6000, 1200));
  BOOST_TEST(accepts(6500, 800));
  BOOST_TEST(!accepts(7590, 1200));
  BOOST_TEST(!accepts(6200, 2000));
  BOOST_TEST(!accepts(3100, 6000));
}

}  // namespace
}  // namespace gentianlb::gateway
