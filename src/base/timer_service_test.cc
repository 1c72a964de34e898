#include "base/timer_service.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace gentianlb {
namespace {

absl::Time At(int seconds) { return absl::FromUnixSeconds(seconds); }

BOOST_AUTO_TEST_CASE(FiresInOrderOfTimeThenSubscription) {
  TimerService timers;
  std::vector<int> fired;
  timers.At(At(2), [&](absl::Time) { fired.push_back(2); });
  timers.At(At(1), [&](absl::Time) { fired.push_back(1); });
  timers.At(At(2), [&](absl::Time) { fired.push_back(3); });
  timers.Advance(At(2));
  BOOST_TEST(fired == (std::vector<int>{1, 2, 3}),
             boost::test_tools::per_element());
  BOOST_TEST((timers.NextDue() == absl::InfiniteFuture()));
}

// A host is frozen for a minute and resumes. Without skipping, all missed
// periods would fire at once and peers would receive a burst of stale
// heartbeats.
BOOST_AUTO_TEST_CASE(MissedPeriodsAreSkipped) {
  TimerService timers;
  int calls = 0;
  timers.Every(At(1), absl::Seconds(1), [&](absl::Time) { ++calls; });
  timers.Advance(At(61));
  BOOST_TEST(calls == 1);
  BOOST_TEST((timers.NextDue() == At(62)));
}

BOOST_AUTO_TEST_CASE(TimerCancelledWithinACallbackDoesNotFire) {
  TimerService timers;
  int calls = 0;
  TimerId second = 0;
  timers.At(At(1), [&](absl::Time) { timers.Cancel(second); });
  second = timers.At(At(1), [&](absl::Time) { ++calls; });
  timers.Advance(At(5));
  BOOST_TEST(calls == 0);
}

}  // namespace
}  // namespace gentianlb
