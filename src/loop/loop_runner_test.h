// Runs an event loop on the thread of a test, in real time.

#ifndef GENTIANLB_LOOP_LOOP_RUNNER_TEST_H_
#define GENTIANLB_LOOP_LOOP_RUNNER_TEST_H_

#include <boost/test/unit_test.hpp>
#include <functional>

#include "absl/time/time.h"
#include "loop/event_loop.h"

namespace gentianlb::loop {

struct LoopRunner {
  void RunFor(absl::Duration span) {
    loop.timers().At(SteadyNow() + span, [this](absl::Time) { loop.Stop(); });
    loop.Run();
  }

  // Fails the test if `done` is not true within five seconds.
  void RunUntil(const std::function<bool()>& done) {
    constexpr absl::Duration kStep = absl::Milliseconds(10);
    constexpr absl::Duration kLimit = absl::Seconds(5);
    const absl::Time end = SteadyNow() + kLimit;
    while (!done() && SteadyNow() < end) RunFor(kStep);
    BOOST_REQUIRE(done());
  }

  EventLoop loop;
};

}  // namespace gentianlb::loop

#endif  // GENTIANLB_LOOP_LOOP_RUNNER_TEST_H_
