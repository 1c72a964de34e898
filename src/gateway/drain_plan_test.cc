#include "gateway/drain_plan.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

BOOST_AUTO_TEST_CASE(StepsAreOrderedForAnyGracePeriod) {
  for (const int seconds : {1, 2, 4, 8, 30, 600}) {
    const DrainPlan plan = PlanDrain(start, absl::Seconds(seconds));
    BOOST_TEST((plan.close_idle_from > start));
    BOOST_TEST((plan.close_idle_from <= plan.refuse_requests_from));
    BOOST_TEST((plan.refuse_streams_from <= plan.refuse_requests_from));
    BOOST_TEST((plan.refuse_requests_from < plan.end));
    BOOST_TEST((plan.end < start + absl::Seconds(seconds)));
  }
}

// A long stream keeps the process alive to the end of its grace period. A call
// that arrived at the last moment on a kept connection was forwarded and then
// aborted by the exit, so its caller could not know whether it had run.
BOOST_AUTO_TEST_CASE(ALateCallIsRefusedNotAborted) {
  const DrainPlan plan = PlanDrain(start, absl::Seconds(8));
  const absl::Time late_arrival = start + absl::Milliseconds(7590);
  BOOST_TEST((late_arrival >= plan.refuse_requests_from));
  // A request accepted just before has the time that a call may need.
  BOOST_TEST(
      (plan.end - plan.refuse_requests_from >= absl::Milliseconds(1200)));
}

}  // namespace
}  // namespace gentianlb::gateway
